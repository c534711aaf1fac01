"""State of one request with an idempotency key."""

import enum
import hashlib

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.idempotency import const
from oriolestand_daemon.services.idempotency import models
from oriolestand_policy import idempotency


class Phase(enum.Enum):
    """Progress of a request.

    ``DIGESTING`` reads the body of a repeated request to compare its digest,
    without running the request.
    """

    CLAIMING = 'claiming'
    DIGESTING = 'digesting'
    RUNNING = 'running'


class KeyedExchange:
    """Computes the digest and buffers the response of a proxied request.

    Messages from the caller's side have the exchange id ``xid``, those from
    the server's side ``xid + 1``.
    """

    def __init__(self, xid: int, msg: exchange.OpenExchange) -> None:
        self.xid = xid
        self.opened = msg
        self.caller = msg.caller
        self.key = models.row_key(msg.head.team, msg.head.idempotency_key)
        self.phase = Phase.CLAIMING
        self.server: exchange.Endpoint | None = None
        self.existing: idempotency.VersionedRecord | None = None
        self.version = 0
        self.is_cancelled = False
        self._hash = hashlib.sha256()
        self._is_body_complete = msg.head.body_length == 0
        self._response_head: exchange.ResponseHead | None = None
        self._response_body: bytearray | None = bytearray()

    @property
    def digest(self) -> str | None:
        """Return the digest of the body once it is complete."""
        return self._hash.hexdigest() if self._is_body_complete else None

    def add_body(self, data: bytes) -> None:
        """Add a chunk of the body to the digest."""
        self._hash.update(data)

    def end_body(self) -> None:
        """Mark the body as complete."""
        self._is_body_complete = True

    def begin_response(self, head: exchange.ResponseHead) -> None:
        """Record the response head; do not store one with too many headers."""
        self._response_head = head
        if len(head.headers) > const.MAX_STORED_HEADERS:
            self._response_body = None

    def add_response_chunk(self, data: bytes) -> None:
        """Buffer a response chunk; drop a body that is too large to store."""
        if self._response_body is None:
            return
        self._response_body += data
        if len(self._response_body) > const.MAX_STORED_BODY_BYTES:
            self._response_body = None

    def claim(self, version: int) -> idempotency.Claim:
        """Return the write that must be applied before the request runs."""
        self.phase = Phase.CLAIMING
        self.version = version
        return idempotency.Claim(
            key=self.key,
            version=version,
            record=self._record(idempotency.KeyState.STARTED),
        )

    def make_outcome_write(
        self, state: idempotency.KeyState
    ) -> idempotency.OutcomeWrite:
        """Return the write that records the outcome after the claim."""
        return idempotency.OutcomeWrite(
            key=self.key, version=self.version + 1, record=self._record(state)
        )

    def _record(self, state: idempotency.KeyState) -> idempotency.KeyRecord:
        """Return the record to store for the key in a state."""
        answer = None
        has_run = state is idempotency.KeyState.RAN
        if (
            has_run
            and self._response_head is not None
            and self._response_body is not None
        ):
            answer = idempotency.StoredAnswer(
                status=self._response_head.status,
                headers=self._response_head.headers,
                body=bytes(self._response_body),
            )
        head = self.opened.head
        return idempotency.KeyRecord(
            state=state,
            request_id=head.request_id,
            method=head.method,
            target=head.target,
            digest=(self.digest or '') if has_run else '',
            answer=answer,
        )
