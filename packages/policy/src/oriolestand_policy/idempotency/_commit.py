"""Group writes of idempotency keys into few transactions."""

import collections
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.idempotency import _record

MAX_WRITES_PER_COMMIT = 64
MAX_OUTCOMES = 10_000
"""Maximum number of queued outcomes while the store is down.

A key whose outcome is dropped stays ``started``, which is safe.
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
    """Write of the end of a request; repeated until it takes effect."""


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
    """Queue of key writes that yields one batch at a time, in order."""

    def __init__(self, limit: int = MAX_WRITES_PER_COMMIT) -> None:
        self._limit = limit
        self._waiting: collections.deque[KeyWrite] = collections.deque()
        self._is_busy = False

    @property
    def is_idle(self) -> bool:
        """Return whether no write is queued or in progress."""
        return not self._waiting and not self._is_busy

    def add(self, write: KeyWrite) -> None:
        """Queue a write."""
        self._waiting.append(write)

    def take(self) -> WriteBatch | None:
        """Return the next batch; None if one is in progress or none is due."""
        if self._is_busy or not self._waiting:
            return None
        self._is_busy = True
        chosen: dict[str, KeyWrite] = {}
        later: list[KeyWrite] = []
        while self._waiting and len(chosen) < self._limit:
            write = self._waiting.popleft()
            if write.key in chosen:
                later.append(write)
            else:
                chosen[write.key] = write
        self._waiting.extendleft(reversed(later))
        return WriteBatch(writes=tuple(chosen.values()))

    def complete_applied(self, batch: WriteBatch) -> list[Claim]:
        """Complete an applied batch; return its claims."""
        self._is_busy = False
        return [w for w in batch.writes if isinstance(w, Claim)]

    def complete_conflicted(
        self,
        batch: WriteBatch,
        rows: Mapping[str, _record.VersionedRecord],
    ) -> tuple[list[Claim], list[Conflict]]:
        """Complete a batch that was not applied because of conflicts.

        Return the claims that had taken effect earlier, and the conflicts
        with other requests. Other writes are queued again, except outcomes
        that had taken effect or lost their row to another request.

        :param rows: current rows whose version check failed, by key.
        """
        self._is_busy = False
        done: list[Claim] = []
        conflicts: list[Conflict] = []
        again: list[KeyWrite] = []
        for write in batch.writes:
            stored = rows.get(write.key)
            if stored is None and (rows or not write.version):
                again.append(write)
            elif stored is not None and _is_same_request(write, stored):
                if isinstance(write, Claim):
                    done.append(write)
                elif stored.record != write.record:
                    again.append(
                        dataclasses.replace(write, version=stored.version)
                    )
            elif isinstance(write, Claim):
                conflicts.append(Conflict(claim=write, existing=stored))
        self._waiting.extendleft(reversed(again))
        return done, conflicts

    def complete_failed(
        self, batch: WriteBatch, is_certain: bool
    ) -> list[Claim]:
        """Complete a failed batch; return its claims.

        Outcomes are queued again. Unless it is certain that nothing was
        written, the outcome ``did_not_run`` is queued for each claim.

        :param is_certain: whether the store certainly wrote nothing.
        """
        self._is_busy = False
        claims = []
        for write in batch.writes:
            if not isinstance(write, Claim):
                self._requeue_outcome(write)
                continue
            claims.append(write)
            if not is_certain:
                self._requeue_outcome(make_not_run_write(write, write.version))
        return claims

    def _requeue_outcome(self, write: KeyWrite) -> None:
        """Queue an outcome again unless ``MAX_OUTCOMES`` writes are queued."""
        if len(self._waiting) < MAX_OUTCOMES:
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
