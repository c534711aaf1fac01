"""Define the typed messages between the services of a daemon.

Services import these contracts and never each other.
"""
