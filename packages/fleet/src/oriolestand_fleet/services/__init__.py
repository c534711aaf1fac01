"""Contain the services of the fleet daemon, one folder each."""
