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
    """Records the digest and the answer of a request while proxying it.

    The caller's side sends to ``xid``, the server's side to ``xid + 1``.
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
        self._head: exchange.ResponseHead | None = None
        self._answer: bytearray | None = bytearray()

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

    def begin_answer(self, head: exchange.ResponseHead) -> None:
        """Record the head of the answer; too many headers prevent storage."""
        self._head = head
        if len(head.headers) > const.MAX_STORED_HEADERS:
            self._answer = None

    def add_answer(self, data: bytes) -> None:
        """Record a chunk of the answer, unless it is too large to store."""
        if self._answer is None:
            return
        self._answer += data
        if len(self._answer) > const.MAX_STORED_BODY_BYTES:
            self._answer = None

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
        """Return the key's record for a state."""
        answer = None
        has_run = state is idempotency.KeyState.RAN
        if has_run and self._head is not None and self._answer is not None:
            answer = idempotency.StoredAnswer(
                status=self._head.status,
                headers=self._head.headers,
                body=bytes(self._answer),
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
