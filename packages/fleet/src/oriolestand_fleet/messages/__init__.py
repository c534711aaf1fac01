"""Define the messages between the services of the fleet daemon."""
