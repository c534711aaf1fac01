"""Map upstreams to the rows that record their grants."""

import hashlib

SHARDS_PER_DOMAIN = 64
"""Rows per failure domain. It must not change, as daemons with different
values would record grants of an upstream in different rows."""


def shard_key(failure_domain: str, address: str) -> str:
    """Return the key of the row that holds an upstream's grants.

    >>> shard_key('north-1', '10.0.0.1:80')
    'north-1/21'
    """
    digest = hashlib.blake2b(address.encode(), digest_size=4).digest()
    index = int.from_bytes(digest) % SHARDS_PER_DOMAIN
    return f'{failure_domain}/{index:02d}'
