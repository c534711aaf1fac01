"""Define what the dispatcher asks its surroundings to do."""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import admission


class Effect:
    """Ask for one thing to be done."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEffect(Effect):
    """Concern one request."""

    ticket: admission.Ticket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendLocal(RequestEffect):
    """Send the request to an upstream on a slot that is now taken."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendPeer(RequestEffect):
    """Forward the request to the peer with an instance id."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fail(RequestEffect):
    """Tell the caller that the request ended with an error."""

    error: core.OriolestandError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish(RequestEffect):
    """Note that the caller has its whole answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evict(Effect):
    """Ask the owner of a reservation to evict its task.

    The slots come back with ``Dispatcher.unreserve`` once it has stopped.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Throttle(Effect):
    """Ask the owner of a reservation to slow its task, or to stop that."""

    key: str
    is_on: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoomForTasks(Effect):
    """Tell that a batch task that found no place may find one now."""

    pool: str
