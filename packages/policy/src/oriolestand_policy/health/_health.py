"""Take failing upstreams out of use and probe them."""

import abc
import collections
import dataclasses
import heapq

import oriolestand_core as core
from oriolestand_policy import placement

MAX_FAILURES = 5
"""Consecutive failures after which an upstream is out of use."""
MAX_EJECTED_SHARE = 0.5
"""Part of a pool that may be out for long at once; a loss of one failure
domain of three must fit. Others are probed again and again soon: left in use,
they drew all requests of an entry instance whose failure domain was lost."""
SHORT_PROBE_DELAY_MS = 200
PROBE_DELAY_MS = 1_000
MAX_PROBE_DELAY_MS = 30_000
SUSPECT_UPSTREAMS = 3
"""An origin that fails on this many upstreams in a row, without a success
anywhere, is itself the likely cause."""
MAX_ORIGINS = 4_096


class Health(abc.ABC):
    """Set ``start_limit`` of upstreams from the results seen there."""

    @abc.abstractmethod
    def add(self, upstream: placement.UpstreamState) -> None:
        """Begin to watch an upstream."""

    @abc.abstractmethod
    def remove(self, upstream: placement.UpstreamState) -> None:
        """Stop watching an upstream."""

    @abc.abstractmethod
    def record_result(
        self,
        upstream: placement.UpstreamState,
        source: str,
        origin: str,
        failed: bool,
        started: core.Millis,
        now: core.Millis,
    ) -> None:
        """Record a result.

        :param source: id of the request or task.
        :param started: when it was sent; a success says nothing about
            failures of what was sent later.
        :param origin: the team or job that it belongs to; empty if the
            failure cannot be the fault of what was sent.
        """

    @abc.abstractmethod
    def due(self, now: core.Millis) -> list[placement.UpstreamState]:
        """Return upstreams whose ``start_limit`` changed with time."""


class NoHealth(Health):
    """Keep every upstream in use."""

    def add(self, upstream: placement.UpstreamState) -> None:
        """Watch nothing."""

    def remove(self, upstream: placement.UpstreamState) -> None:
        """Watch nothing."""

    def record_result(
        self,
        upstream: placement.UpstreamState,
        source: str,
        origin: str,
        failed: bool,
        started: core.Millis,
        now: core.Millis,
    ) -> None:
        """Record nothing."""

    def due(self, now: core.Millis) -> list[placement.UpstreamState]:
        """Return nothing."""
        return []


@dataclasses.dataclass(slots=True, kw_only=True)
class _Record:
    """Hold what is known of one upstream."""

    upstream: placement.UpstreamState
    has_succeeded: bool = False
    is_ejected: bool = False
    is_brief: bool = False
    failed_at: int = 0
    delay_ms: int = PROBE_DELAY_MS
    sources: set[str] = dataclasses.field(default_factory=set)
    origins: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Origin:
    """Hold where an origin failed since its last success."""

    has_succeeded: bool = False
    failed_on: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_trusted(self) -> bool:
        """Return whether its failures speak against the upstream."""
        return self.has_succeeded and len(self.failed_on) < SUSPECT_UPSTREAMS


class FailureHealth(Health):
    """Eject after consecutive failures of different requests.

    An upstream with open failures, or without any success so far, may
    have only as many starts open as it has failures left. An origin that
    has not succeeded lately counts once for each upstream.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._origins: collections.OrderedDict[str, _Origin] = (
            collections.OrderedDict()
        )
        self._members: collections.Counter[str] = collections.Counter()
        self._ejected: collections.Counter[str] = collections.Counter()
        self._due: list[tuple[int, str]] = []

    def add(self, upstream: placement.UpstreamState) -> None:
        """Begin with a few starts until the first success."""
        self._records[upstream.address] = _Record(upstream=upstream)
        self._members[upstream.pool] += 1
        upstream.start_limit = MAX_FAILURES

    def remove(self, upstream: placement.UpstreamState) -> None:
        """Forget an upstream."""
        record = self._records.pop(upstream.address, None)
        if record is None:
            return
        self._members[upstream.pool] -= 1
        if record.is_ejected:
            self._ejected[upstream.pool] -= 1

    def record_result(
        self,
        upstream: placement.UpstreamState,
        source: str,
        origin: str,
        failed: bool,
        started: core.Millis,
        now: core.Millis,
    ) -> None:
        """Count a failure, or clear the count."""
        record = self._records.get(upstream.address)
        if record is None:
            return
        if not failed:
            self._succeed(record, origin, started)
            return
        record.failed_at = now
        counts = not origin or self._is_new_evidence(record, origin)
        if record.is_ejected:
            self._postpone(record, now)
            return
        if counts:
            record.sources.add(source)
        failures = len(record.sources)
        if failures >= MAX_FAILURES:
            record.is_ejected = True
            record.is_brief = not self._may_eject(upstream.pool)
            self._ejected[upstream.pool] += 1
            self._postpone(record, now)
            return
        if failures or not record.has_succeeded:
            upstream.start_limit = max(1, MAX_FAILURES - failures)

    def due(self, now: core.Millis) -> list[placement.UpstreamState]:
        """Let ejected upstreams be probed with one start."""
        changed = []
        while self._due and self._due[0][0] <= now:
            _, address = heapq.heappop(self._due)
            record = self._records.get(address)
            if record is not None and record.is_ejected:
                record.upstream.start_limit = 1
                changed.append(record.upstream)
        return changed

    def _is_new_evidence(self, record: _Record, origin: str) -> bool:
        """Return whether a failure of an origin speaks against an upstream.

        Only the first one does if the origin fails elsewhere as well.
        """
        past = self._origin(origin)
        past.failed_on.add(record.upstream.address)
        if past.is_trusted:
            return True
        is_new = origin not in record.origins
        record.origins.add(origin)
        return is_new

    def _origin(self, name: str) -> _Origin:
        """Return the history of an origin; forget the oldest ones."""
        past = self._origins.get(name)
        if past is None:
            past = self._origins[name] = _Origin()
            if len(self._origins) > MAX_ORIGINS:
                self._origins.popitem(last=False)
        return past

    def _succeed(
        self, record: _Record, origin: str, started: core.Millis
    ) -> None:
        """Take an upstream into full use and trust the origin."""
        past = self._origin(origin)
        past.has_succeeded = True
        if past.failed_on:
            past.failed_on.clear()
        if record.has_succeeded and not record.sources:
            return
        if record.sources and started < record.failed_at:
            return
        record.has_succeeded = True
        record.sources.clear()
        record.origins.clear()
        record.upstream.start_limit = None
        record.delay_ms = PROBE_DELAY_MS
        if record.is_ejected:
            record.is_ejected = False
            self._ejected[record.upstream.pool] -= 1

    def _may_eject(self, pool: str) -> bool:
        """Return whether one more may be out for long."""
        most = self._members[pool] * MAX_EJECTED_SHARE
        return self._ejected[pool] + 1 <= most

    def _postpone(self, record: _Record, now: core.Millis) -> None:
        """Close an upstream until its next probe."""
        if record.upstream.start_limit == 0:
            return
        record.upstream.start_limit = 0
        delay = SHORT_PROBE_DELAY_MS if record.is_brief else record.delay_ms
        heapq.heappush(self._due, (now + delay, record.upstream.address))
        record.delay_ms = min(2 * record.delay_ms, MAX_PROBE_DELAY_MS)
