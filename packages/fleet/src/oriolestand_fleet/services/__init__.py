"""Services of the fleet daemon, one package each."""
