"""Scheduling policies without input or output.

Each policy takes state and a message and returns effects or a result. Nothing
in this package imports Twisted or a codec, so that the daemon, the bench, the
differential tests and the model checks run the same code.
"""
