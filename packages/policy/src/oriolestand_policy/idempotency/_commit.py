"""Group writes of idempotency keys into few transactions."""

import collections
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.idempotency import _record

MAX_WRITES_PER_BATCH = 64
MAX_QUEUED_WRITES = 10_000
"""Queue length at which failed writes of outcomes are dropped.

It bounds the memory used while the store is down. A key whose outcome is not
written stays ``started``, so a repeated request is refused with the verdict
``may_have_run``.
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWrite:
    """Write of a record, conditional on its row being at ``version``.

    Version 0 means that there must be no row.
    """

    key: str
    version: int
    record: _record.KeyRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim(KeyWrite):
    """Write that claims a key; the request is sent only after it succeeds."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeWrite(KeyWrite):
    """Write that records the outcome of a request; retried until applied."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteBatch:
    """Writes of one transaction; each key occurs at most once."""

    writes: tuple[KeyWrite, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A claim that failed, with the conflicting row of another request.

    ``existing`` is None if the conflicting row was not returned.
    """

    claim: Claim
    existing: _record.VersionedRecord | None


class GroupCommit:
    """Queue of key writes that are committed in order, one batch at a time.

    A batch is written in one transaction.
    """

    def __init__(self, limit: int = MAX_WRITES_PER_BATCH) -> None:
        self._limit = limit
        self._waiting: collections.deque[KeyWrite] = collections.deque()
        self._is_batch_in_progress = False

    @property
    def is_idle(self) -> bool:
        """Return whether no write is queued or in progress."""
        return not self._waiting and not self._is_batch_in_progress

    def add(self, write: KeyWrite) -> None:
        """Queue a write."""
        self._waiting.append(write)

    def take(self) -> WriteBatch | None:
        """Return the next batch; None if one is in progress or none queued."""
        if self._is_batch_in_progress or not self._waiting:
            return None
        self._is_batch_in_progress = True
        chosen: dict[str, KeyWrite] = {}
        deferred: list[KeyWrite] = []
        while self._waiting and len(chosen) < self._limit:
            write = self._waiting.popleft()
            if write.key in chosen:
                deferred.append(write)
            else:
                chosen[write.key] = write
        self._waiting.extendleft(reversed(deferred))
        return WriteBatch(writes=tuple(chosen.values()))

    def complete_applied(self, batch: WriteBatch) -> list[Claim]:
        """Complete a batch that was applied; return its claims."""
        self._is_batch_in_progress = False
        return [w for w in batch.writes if isinstance(w, Claim)]

    def complete_conflicted(
        self,
        batch: WriteBatch,
        rows: Mapping[str, _record.VersionedRecord],
    ) -> tuple[list[Claim], list[Conflict]]:
        """Complete a batch that was not applied because of conflicts.

        Return the claims that an earlier attempt had already written, and
        the conflicts with other requests. The other writes are queued again,
        except outcomes that were already written or whose row now belongs
        to another request.

        :param rows: current rows of the keys whose version check failed, by
            key.
        """
        self._is_batch_in_progress = False
        already_applied: list[Claim] = []
        conflicts: list[Conflict] = []
        to_retry: list[KeyWrite] = []
        for write in batch.writes:
            stored = rows.get(write.key)
            # If ``rows`` has any row, only the writes with a row in it
            # conflicted. If it is empty, a row that a write expected to exist
            # is missing; writes that expect no row (version 0) did not
            # conflict.
            if stored is None and (rows or not write.version):
                to_retry.append(write)
            elif stored is not None and _is_same_request(write, stored):
                if isinstance(write, Claim):
                    already_applied.append(write)
                elif stored.record != write.record:
                    to_retry.append(
                        dataclasses.replace(write, version=stored.version)
                    )
            elif isinstance(write, Claim):
                conflicts.append(Conflict(claim=write, existing=stored))
        self._waiting.extendleft(reversed(to_retry))
        return already_applied, conflicts

    def complete_failed(
        self, batch: WriteBatch, nothing_written: bool
    ) -> list[Claim]:
        """Complete a batch that failed; return its claims.

        Outcomes are queued again. If the claims may have been written, a
        write that records ``did_not_run`` is queued for each of them.

        :param nothing_written: whether it is certain that the store wrote
            nothing.
        """
        self._is_batch_in_progress = False
        claims = []
        for write in batch.writes:
            if not isinstance(write, Claim):
                self._queue_outcome(write)
                continue
            claims.append(write)
            if not nothing_written:
                self._queue_outcome(make_not_run_write(write, write.version))
        return claims

    def _queue_outcome(self, write: KeyWrite) -> None:
        """Queue the write of an outcome unless the queue is full."""
        if len(self._waiting) < MAX_QUEUED_WRITES:
            self._waiting.append(write)


def make_not_run_write(claim: Claim, version: int) -> OutcomeWrite:
    """Return the write that records a claimed request as not run."""
    record = dataclasses.replace(
        claim.record, state=_record.KeyState.DID_NOT_RUN
    )
    return OutcomeWrite(key=claim.key, version=version, record=record)


def _is_same_request(write: KeyWrite, stored: _record.VersionedRecord) -> bool:
    """Return whether a stored row belongs to the request of a write."""
    return stored.record.request_id == write.record.request_id
