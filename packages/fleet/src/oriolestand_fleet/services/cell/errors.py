"""Errors of the cell service."""

import oriolestand_core as core


class OwnershipLostError(core.OriolestandError):
    """Raised when another daemon owns the cell."""

    code = 'deposed'
