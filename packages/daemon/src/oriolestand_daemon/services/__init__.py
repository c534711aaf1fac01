"""Hold the services of a daemon, one folder each, found by name."""
