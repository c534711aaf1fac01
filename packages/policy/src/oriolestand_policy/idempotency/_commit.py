"""Collect writes of keys into few transactions."""

import collections
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.idempotency import _record

MAX_WRITES_PER_COMMIT = 64
MAX_SETTLES = 10_000
"""Bounds outcomes that wait while the store is down.

A key whose outcome is dropped stays ``started``, which is safe.
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyWrite:
    """Write a key's record if its row is at ``version``, 0 for no row."""

    key: str
    version: int
    record: _record.KeyRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim(KeyWrite):
    """Record that a request starts, before it is sent; it waits."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settle(KeyWrite):
    """Record how a request ended; repeated until it takes effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteBatch:
    """Hold the writes of one transaction; no key occurs twice."""

    writes: tuple[KeyWrite, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Hold a claim that found the row of another request."""

    claim: Claim
    known: _record.VersionedRecord | None


class GroupCommit:
    """Hand out one batch of writes at a time, in order of arrival."""

    def __init__(self, limit: int = MAX_WRITES_PER_COMMIT) -> None:
        self._limit = limit
        self._waiting: collections.deque[KeyWrite] = collections.deque()
        self._is_busy = False

    @property
    def is_idle(self) -> bool:
        """Return whether no write waits or is in progress."""
        return not self._waiting and not self._is_busy

    def add(self, write: KeyWrite) -> None:
        """Queue a write."""
        self._waiting.append(write)

    def take(self) -> WriteBatch | None:
        """Return the next batch, or None while one is in progress."""
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

    def applied(self, batch: WriteBatch) -> list[Claim]:
        """Return the claims that took effect."""
        self._is_busy = False
        return [w for w in batch.writes if isinstance(w, Claim)]

    def conflicted(
        self,
        batch: WriteBatch,
        rows: Mapping[str, _record.VersionedRecord],
    ) -> tuple[list[Claim], list[Conflict]]:
        """Sort out a batch that was not applied.

        ``rows`` are the rows whose checks failed. Return claims that took
        effect before, and claims that met another request. All others are
        queued again.
        """
        self._is_busy = False
        done: list[Claim] = []
        conflicts: list[Conflict] = []
        again: list[KeyWrite] = []
        for write in batch.writes:
            known = rows.get(write.key)
            if known is None and (rows or not write.version):
                again.append(write)
            elif known is not None and _is_own(write, known):
                if isinstance(write, Claim):
                    done.append(write)
                elif known.record != write.record:
                    again.append(
                        dataclasses.replace(write, version=known.version)
                    )
            elif isinstance(write, Claim):
                conflicts.append(Conflict(claim=write, known=known))
        self._waiting.extendleft(reversed(again))
        return done, conflicts

    def failed(self, batch: WriteBatch, is_certain: bool) -> list[Claim]:
        """Return the claims of a batch that the store did not take.

        Settles are queued again. When it is not certain that nothing was
        written, each claim is followed by a settle that says that its
        request did not run.
        """
        self._is_busy = False
        claims = []
        for write in batch.writes:
            if not isinstance(write, Claim):
                self._requeue(write)
                continue
            claims.append(write)
            if not is_certain:
                self._requeue(withdraw(write, write.version))
        return claims

    def _requeue(self, write: KeyWrite) -> None:
        """Queue a settle unless too many wait."""
        if len(self._waiting) < MAX_SETTLES:
            self._waiting.append(write)


def withdraw(claim: Claim, version: int) -> Settle:
    """Return the write that says that a claimed request did not run."""
    record = dataclasses.replace(
        claim.record, state=_record.KeyState.DID_NOT_RUN
    )
    return Settle(key=claim.key, version=version, record=record)


def _is_own(write: KeyWrite, known: _record.VersionedRecord) -> bool:
    """Return whether a row was written for the same request."""
    return known.record.request_id == write.record.request_id
