"""Messages between the services of the fleet daemon."""
