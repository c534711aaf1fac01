"""Run jobs on a fleet of leased workers.

All daemons accept jobs and answer for them; one daemon at a time owns a
cell, which is a group of workers, and decides what runs there. What must
last is in the row store of the platform. The store and the workers are
services named ``store`` and ``orders``, which an adapter provides.
"""
