"""Run jobs on a fleet of leased workers.

Every daemon accepts jobs and serves their state. One daemon at a time owns
a cell, which is a group of workers, and schedules tasks on it. Persistent
state is kept in the row store of the platform. The store and the workers are
reached through the services ``store`` and ``orders`` of an adapter package.
"""
