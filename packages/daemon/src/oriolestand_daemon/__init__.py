"""Run one entry instance of oriolestand."""
