"""Drive daemons from the command line."""
