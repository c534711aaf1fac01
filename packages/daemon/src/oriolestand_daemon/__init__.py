"""The daemon that runs on each entry instance."""
