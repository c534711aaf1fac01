"""Models of the core protocols, verified by a model checker.

Each model module has ``MECHANISMS``, which maps each mechanism of the
protocol to the invariant that it protects, and ``build(without)``, which
returns the protocol without the given mechanism, or complete for ``''``.
"""
