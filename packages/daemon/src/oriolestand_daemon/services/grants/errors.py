"""Define the errors of the grants service."""

import oriolestand_core as core


class MalformedShardError(core.OriolestandError):
    """Raise when a shard's row does not have the expected form."""

    code = 'malformed_shard'
