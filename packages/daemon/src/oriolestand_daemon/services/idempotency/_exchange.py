"""Hold the state of one request with a key."""

import enum
import hashlib

from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.idempotency import const
from oriolestand_daemon.services.idempotency import models
from oriolestand_policy import idempotency


class Phase(enum.Enum):
    """Name how far a request has come.

    ``DIGESTING`` reads the body of a repeat without running it.
    """

    CLAIMING = 'claiming'
    DIGESTING = 'digesting'
    RUNNING = 'running'


class KeyedExchange:
    """Collect digest and answer of a request while they pass through.

    The caller's side sends to ``xid``, the server's side to ``xid + 1``.
    """

    def __init__(self, xid: int, msg: exchange.OpenExchange) -> None:
        self.xid = xid
        self.opened = msg
        self.caller = msg.caller
        self.key = models.row_key(msg.head.team, msg.head.idempotency_key)
        self.phase = Phase.CLAIMING
        self.server: exchange.Endpoint | None = None
        self.known: idempotency.VersionedRecord | None = None
        self.version = 0
        self.is_cancelled = False
        self._hash = hashlib.sha256()
        self._is_body_whole = msg.head.body_length == 0
        self._head: exchange.ResponseHead | None = None
        self._answer: bytearray | None = bytearray()

    @property
    def digest(self) -> str | None:
        """Return the digest of the body once it is whole."""
        return self._hash.hexdigest() if self._is_body_whole else None

    def add_body(self, data: bytes) -> None:
        """Digest a part of the body."""
        self._hash.update(data)

    def end_body(self) -> None:
        """Note that the body is whole."""
        self._is_body_whole = True

    def begin_answer(self, head: exchange.ResponseHead) -> None:
        """Keep the head of the answer."""
        self._head = head
        if len(head.headers) > const.MAX_STORED_HEADERS:
            self._answer = None

    def add_answer(self, data: bytes) -> None:
        """Keep a part of the answer while it is small."""
        if self._answer is None:
            return
        self._answer += data
        if len(self._answer) > const.MAX_STORED_BODY_BYTES:
            self._answer = None

    def claim(self, version: int) -> idempotency.Claim:
        """Return the write that must precede the request."""
        self.phase = Phase.CLAIMING
        self.version = version
        return idempotency.Claim(
            key=self.key,
            version=version,
            record=self._record(idempotency.KeyState.STARTED),
        )

    def settle(self, state: idempotency.KeyState) -> idempotency.Settle:
        """Return the write that follows the claim."""
        return idempotency.Settle(
            key=self.key, version=self.version + 1, record=self._record(state)
        )

    def _record(self, state: idempotency.KeyState) -> idempotency.KeyRecord:
        """Return the record in a state."""
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
