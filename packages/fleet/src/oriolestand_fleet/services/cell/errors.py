"""Define the errors of the cell service."""

import oriolestand_core as core


class DeposedError(core.OriolestandError):
    """Raise when another daemon owns the cell."""

    code = 'deposed'
