"""Errors of the grants service."""

import oriolestand_core as core


class MalformedShardError(core.OriolestandError):
    """Raised when the stored row of a shard or home cannot be parsed."""

    code = 'malformed_shard'
