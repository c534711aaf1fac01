"""Effects that the dispatcher returns for its driver to execute."""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import admission


class Effect:
    """Base class of the effects of the dispatcher."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEffect(Effect):
    """Base class of the effects on one request."""

    ticket: admission.Ticket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendToUpstream(RequestEffect):
    """Send the request to an upstream; its slot is already taken."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardToPeer(RequestEffect):
    """Forward the request to a peer, given by its instance id."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fail(RequestEffect):
    """Answer the request with an error."""

    error: core.OriolestandError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish(RequestEffect):
    """End the request; the caller has received the whole response."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evict(Effect):
    """Evict the task that holds the reservation ``key``.

    ``Dispatcher.unreserve`` releases the slots once the task has stopped.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Throttle(Effect):
    """Throttle the task that holds the reservation ``key``, or stop that.

    ``is_on`` is whether the task is to be throttled from now on.
    """

    key: str
    is_on: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskSlotsAvailable(Effect):
    """Hint that batch tasks that could not be placed should retry now."""

    pool: str
