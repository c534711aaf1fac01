"""Decide what to do: state and a message in, effects or a result out.

Nothing in this package imports Twisted or a codec, so that the daemon, the
bench, the differential tests and the model checks run the same code.
"""
