"""Benchmarks of the daemon and its policies, and protocol models."""
