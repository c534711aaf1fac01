"""Define the messages of one exchange: a request and its answer.

The messages for bodies and answers are those of the protocol between
daemons, so that a local and a remote server side look the same.
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
    """Name one side of an exchange: a task and its id there."""

    task: core.Task
    xid: int

    def post(self, message: object) -> None:
        """Send a message to this side."""
        self.task.post(message)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Hold the head of a request; ``body_length`` None means unknown.

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
    """Ask dispatch to serve a request for the caller's side."""

    head: RequestHead
    ticket: admission.Ticket
    caller: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartExchange:
    """Ask ``upstreams`` or ``peers`` to make one attempt.

    ``target`` is an upstream's address or a peer's instance id. The
    receiver answers the caller's side, and dispatch when it has ended.
    """

    head: RequestHead
    ticket_id: str
    target: str
    caller: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeAccepted:
    """Tell the caller's side where to send the body."""

    xid: int
    server: Endpoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeFailed:
    """Tell the caller's side that the exchange ended with an error."""

    xid: int
    error: core.OriolestandError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelRequest:
    """Tell dispatch that nobody waits for a request any more.

    The reply says whether the request was waiting and is dropped; if not,
    its attempt is aborted and reports its end.
    """

    ticket_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelAttempt:
    """Tell ``upstreams`` or ``peers`` to abort the attempt for a ticket.

    The attempt still reports its end to dispatch, which frees the slot.
    """

    ticket_id: str
    target: str
