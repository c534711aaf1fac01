"""Define what the dispatcher asks its surroundings to do."""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import admission


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """Concern one request."""

    ticket: admission.Ticket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendLocal(Effect):
    """Send the request to an upstream on a slot that is now taken."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendPeer(Effect):
    """Forward the request to the peer with an instance id."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fail(Effect):
    """Tell the caller that the request ended with an error."""

    error: core.OriolestandError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish(Effect):
    """Note that the caller has its whole answer."""
