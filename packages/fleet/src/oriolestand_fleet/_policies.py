"""Encode and decode the policies of routes in rows of the store."""

import functools
from typing import Any

import msgspec

from oriolestand_fleet import _rows
from oriolestand_policy import scheduling

MAX_SHARED_POLICIES = 256
"""Limits the cache of policies; further routes only share less memory."""


class PolicyRow(msgspec.Struct, frozen=True, array_like=True):
    """Policy of a route, as stored in rows.

    It is stored as a list in the order of the fields, without the last ones
    that have their default value, as every daemon receives those of jobs.
    Later versions may add fields at the end.
    """

    pool: str
    priority: _rows.Count = 0
    max_attempts: _rows.Count = 1
    stretch: _rows.Amount = 1.0
    target_ms: _rows.Count = 0
    needs_tickets: bool = False


@functools.lru_cache(maxsize=MAX_SHARED_POLICIES)
def to_policy(route: str, row: PolicyRow) -> scheduling.RoutePolicy:
    """Return a policy, the same object for rows that are equal."""
    return scheduling.RoutePolicy(name=route, **msgspec.structs.asdict(row))


def encode_policy(policy: scheduling.RoutePolicy) -> list[Any]:
    """Return the list of a policy that is stored in rows."""
    fields = msgspec.structs.fields(PolicyRow)
    values = [getattr(policy, field.name) for field in fields]
    # The first field has no default value.
    while values[-1] == fields[len(values) - 1].default:
        values.pop()
    return values
