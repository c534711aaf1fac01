"""Specify the core protocols as small models and check them.

Each model module has ``build(without)``, which returns the protocol with
one mechanism removed, or whole for an empty name, and ``MECHANISMS``, which
maps each mechanism to the invariant that it protects.
"""
