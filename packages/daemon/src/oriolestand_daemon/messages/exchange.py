"""Define the messages of an exchange, that is a request and its response.

The messages for bodies and responses are those of the protocol between
daemons, so that local and remote server sides use the same interface.
"""

import dataclasses

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import tables
from oriolestand_wire import Accepted
from oriolestand_wire import BodyChunk
from oriolestand_wire import BodyEnd
from oriolestand_wire import Cancel
from oriolestand_wire import Credit
from oriolestand_wire import ResponseChunk
from oriolestand_wire import ResponseEnd
from oriolestand_wire import ResponseHead

CREDIT_BYTES = 64 * 1024

__all__ = [
    'Accepted',
    'BodyChunk',
    'BodyEnd',
    'CREDIT_BYTES',
    'Cancel',
    'CancelAttempt',
    'CancelRequest',
    'Credit',
    'Endpoint',
    'ExchangeAccepted',
    'ExchangeFailed',
    'OpenExchange',
    'RequestHead',
    'ResponseChunk',
    'ResponseEnd',
    'ResponseHead',
    'StartExchange',
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One side of an exchange: a task and the id of the exchange there."""

    task: core.Task
    xid: int

    def post(self, message: object) -> None:
        """Send a message to this side."""
        self.task.post(message)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """The head of a request; ``body_length`` is None if it is unknown.

    ``deadline`` is on the monotonic clock of this daemon.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    route: tables.Route
    generation: int
    deadline: core.Millis
    team: str
    traceparent: str = ''
    hops: int = 0
    body_length: int | None = 0
    idempotency_key: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenExchange:
    """Request to dispatch to serve a request for the caller side."""

    head: RequestHead
    ticket: admission.Ticket
    caller: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartExchange:
    """Request to ``upstreams`` or ``peers`` to make one attempt.

    ``target`` is the address of an upstream or the instance id of a peer.
    The receiver sends the response to the caller side, and the outcome to
    dispatch.
    """

    head: RequestHead
    ticket_id: str
    target: str
    caller: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeAccepted:
    """Notify the caller side of the endpoint for the request body."""

    xid: int
    server: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeFailed:
    """Notify the caller side that the exchange ended with an error."""

    xid: int
    error: core.OriolestandError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelRequest:
    """Notify dispatch that the caller of a request has left.

    The reply is True if the request was queued and has been dropped.
    Otherwise its attempt is aborted and reports its end.
    """

    ticket_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Request to ``upstreams`` or ``peers`` to abort an attempt by ticket.

    The attempt still reports its end to dispatch, which frees the slot.
    """

    ticket_id: str
    target: str
