"""Eject failing upstreams and probe them."""

import abc
import collections
import dataclasses
import heapq

import oriolestand_core as core
from oriolestand_policy import placement

MAX_FAILURES = 5
"""Consecutive failures after which an upstream is ejected."""
MAX_EJECTED_SHARE = 0.5
"""Maximum fraction of a pool under long ejection at a time. It must cover the
loss of one failure domain of three. Further failing upstreams are ejected too,
but probed at short intervals: when they were not ejected, they attracted all
requests of an entry instance whose failure domain was lost."""
SHORT_PROBE_DELAY_MS = 200
"""Time to the next probe for upstreams beyond ``MAX_EJECTED_SHARE``."""
PROBE_DELAY_MS = 1_000
MAX_PROBE_DELAY_MS = 30_000
SUSPECT_UPSTREAMS = 3
"""Number of upstreams on which an origin may fail without a success in between
before it is assumed to cause its failures itself."""
MAX_ORIGINS = 4_096


class Health(abc.ABC):
    """Policy that sets the ``start_limit`` of upstreams from their results."""

    @abc.abstractmethod
    def add(self, upstream: placement.UpstreamState) -> None:
        """Start tracking an upstream."""

    @abc.abstractmethod
    def remove(self, upstream: placement.UpstreamState) -> None:
        """Stop tracking an upstream."""

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
        """Record whether a request or task failed on an upstream.

        :param source: id of the request or task.
        :param origin: its team or job; empty if the request or task cannot
            have caused the failure.
        :param started: when it was sent; its success does not clear failures
            that occurred later.
        """

    @abc.abstractmethod
    def allow_due_probes(
        self, now: core.Millis
    ) -> list[placement.UpstreamState]:
        """Allow the probes that are due; return the upstreams concerned."""


class NeverEject(Health):
    """Policy that never ejects an upstream."""

    def add(self, upstream: placement.UpstreamState) -> None:
        """Do nothing, as nothing is tracked."""

    def remove(self, upstream: placement.UpstreamState) -> None:
        """Do nothing, as nothing is tracked."""

    def record_result(
        self,
        upstream: placement.UpstreamState,
        source: str,
        origin: str,
        failed: bool,
        started: core.Millis,
        now: core.Millis,
    ) -> None:
        """Ignore the result."""

    def allow_due_probes(
        self, now: core.Millis
    ) -> list[placement.UpstreamState]:
        """Return no upstreams, as none is ejected."""
        return []


@dataclasses.dataclass(slots=True, kw_only=True)
class _UpstreamRecord:
    """Results and ejection state of one upstream.

    ``failed_sources`` has the requests and tasks whose failure counts towards
    ejection. ``counted_origins`` has the untrusted origins of which one
    failure was counted.
    """

    upstream: placement.UpstreamState
    has_succeeded: bool = False
    is_ejected: bool = False
    is_short_ejection: bool = False
    failed_at: int = 0
    delay_ms: int = PROBE_DELAY_MS
    failed_sources: set[str] = dataclasses.field(default_factory=set)
    counted_origins: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, kw_only=True)
class _OriginHistory:
    """Upstreams on which an origin failed since its last success."""

    has_succeeded: bool = False
    failed_on: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_trusted(self) -> bool:
        """Return whether each of its failures counts against upstreams."""
        return self.has_succeeded and len(self.failed_on) < SUSPECT_UPSTREAMS


class FailureHealth(Health):
    """Policy that ejects after consecutive failures of different requests.

    An upstream with recent failures, or without any success so far, may
    have only as many pending starts as failures remain until its ejection.
    Failures of an origin without a recent success count once per upstream.
    """

    def __init__(self) -> None:
        self._records: dict[str, _UpstreamRecord] = {}
        self._origins: collections.OrderedDict[str, _OriginHistory] = (
            collections.OrderedDict()
        )
        self._pool_sizes: collections.Counter[str] = collections.Counter()
        self._ejected: collections.Counter[str] = collections.Counter()
        self._probe_times: list[tuple[int, str]] = []

    def add(self, upstream: placement.UpstreamState) -> None:
        """Start tracking an upstream; limit its starts until it succeeds."""
        self._records[upstream.address] = _UpstreamRecord(upstream=upstream)
        self._pool_sizes[upstream.pool] += 1
        upstream.start_limit = MAX_FAILURES

    def remove(self, upstream: placement.UpstreamState) -> None:
        """Stop tracking an upstream."""
        record = self._records.pop(upstream.address, None)
        if record is None:
            return
        self._pool_sizes[upstream.pool] -= 1
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
        """Count a failure, or clear the failures on success."""
        record = self._records.get(upstream.address)
        if record is None:
            return
        if not failed:
            self._record_success(record, origin, started)
            return
        record.failed_at = now
        is_evidence = not origin or self._is_new_evidence(record, origin)
        if record.is_ejected:
            self._schedule_probe(record, now)
            return
        if is_evidence:
            record.failed_sources.add(source)
        failures = len(record.failed_sources)
        if failures >= MAX_FAILURES:
            record.is_ejected = True
            record.is_short_ejection = not self._may_eject_for_long(
                upstream.pool
            )
            self._ejected[upstream.pool] += 1
            self._schedule_probe(record, now)
            return
        if failures or not record.has_succeeded:
            upstream.start_limit = max(1, MAX_FAILURES - failures)

    def allow_due_probes(
        self, now: core.Millis
    ) -> list[placement.UpstreamState]:
        """Allow one probe of each ejected upstream whose delay has passed.

        Return these upstreams.
        """
        changed = []
        while self._probe_times and self._probe_times[0][0] <= now:
            _, address = heapq.heappop(self._probe_times)
            record = self._records.get(address)
            if record is not None and record.is_ejected:
                record.upstream.start_limit = 1
                changed.append(record.upstream)
        return changed

    def _is_new_evidence(self, record: _UpstreamRecord, origin: str) -> bool:
        """Return whether a failure is evidence against an upstream.

        Failures of an origin that is not trusted count only once for each
        upstream.
        """
        history = self._history_of(origin)
        history.failed_on.add(record.upstream.address)
        if history.is_trusted:
            return True
        is_new = origin not in record.counted_origins
        record.counted_origins.add(origin)
        return is_new

    def _history_of(self, name: str) -> _OriginHistory:
        """Return the history of an origin, created on first use.

        At most ``MAX_ORIGINS`` are kept; the oldest ones are dropped.
        """
        history = self._origins.get(name)
        if history is None:
            history = self._origins[name] = _OriginHistory()
            if len(self._origins) > MAX_ORIGINS:
                self._origins.popitem(last=False)
        return history

    def _record_success(
        self, record: _UpstreamRecord, origin: str, started: core.Millis
    ) -> None:
        """Clear the failures of an origin and an upstream; lift its limit.

        If the upstream has failed since the request or task was sent, its
        state stays.
        """
        history = self._history_of(origin)
        history.has_succeeded = True
        if history.failed_on:
            history.failed_on.clear()
        if record.has_succeeded and not record.failed_sources:
            return
        if record.failed_sources and started < record.failed_at:
            return
        record.has_succeeded = True
        record.failed_sources.clear()
        record.counted_origins.clear()
        record.upstream.start_limit = None
        record.delay_ms = PROBE_DELAY_MS
        if record.is_ejected:
            record.is_ejected = False
            self._ejected[record.upstream.pool] -= 1

    def _may_eject_for_long(self, pool: str) -> bool:
        """Return whether a pool may have one more long ejection."""
        limit = self._pool_sizes[pool] * MAX_EJECTED_SHARE
        return self._ejected[pool] + 1 <= limit

    def _schedule_probe(
        self, record: _UpstreamRecord, now: core.Millis
    ) -> None:
        """Schedule the next probe and allow no starts until then."""
        if record.upstream.start_limit == 0:
            return
        record.upstream.start_limit = 0
        delay = (
            SHORT_PROBE_DELAY_MS
            if record.is_short_ejection
            else record.delay_ms
        )
        heapq.heappush(
            self._probe_times, (now + delay, record.upstream.address)
        )
        record.delay_ms = min(2 * record.delay_ms, MAX_PROBE_DELAY_MS)
