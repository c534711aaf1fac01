"""Measure the daemon and its decisions; check the protocol models."""
