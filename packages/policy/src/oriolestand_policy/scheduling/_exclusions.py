"""Exclude workers on which tasks fail or stall.

Tasks may fail on sound workers, and a task may look stalled because of a wrong
estimate. So failures count for a limited time, and only a share of a pool is
excluded: if more workers are suspect, the task or the pool is at fault.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs

FAILURES_TO_AVOID = 3
"""Number of tasks that must fail on a worker within ``FAILURE_WINDOW_MS``,
without a completed task in between, before it gets no new tasks for some
time."""

FAILURE_WINDOW_MS = 20_000
"""Longer than two exclusions, so that a worker that keeps failing is excluded
again after a single failure."""

FAILURE_AVOID_MS = 8_000
STALL_AVOID_MS = 4_000
"""Stalls of five to seven seconds have been observed on workers."""

MAX_AVOIDED_SHARE = 0.5
"""Share of a group of workers that may be excluded at once. As it is below 1,
at least one stays usable."""


def forget_old_failures(worker: _fleet.Worker, now_ms: int) -> None:
    """Remove the failures that are older than the window."""
    if not worker.failed_tasks:
        return
    worker.failed_tasks = {
        key: failed_ms
        for key, failed_ms in worker.failed_tasks.items()
        if now_ms - failed_ms < FAILURE_WINDOW_MS
    }


def record_failure(
    worker: _fleet.Worker, key: _jobs.TaskKey, now_ms: int
) -> bool:
    """Count a failed run; return whether its worker is excluded for it.

    Repeated failures of a task count once, as the task may be at fault.
    """
    worker.failed_tasks[key] = now_ms
    if worker.recent_failures < FAILURES_TO_AVOID:
        return False
    worker.avoid_until_ms = max(
        worker.avoid_until_ms, now_ms + FAILURE_AVOID_MS
    )
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFailures:
    """Recent failures of one incarnation of a worker, the oldest first.

    ``avoid_until_ms`` is when its exclusion ends, which may be for stalled
    runs; 0 if it is not excluded.
    """

    process_start_ms: int
    failed_ms: tuple[int, ...]
    avoid_until_ms: int = 0

    @property
    def latest_ms(self) -> int:
        """Return the end of the exclusion, or when the last task failed.

        A worker that is excluded for stalled runs need not have failures.
        """
        return max((self.avoid_until_ms, *self.failed_ms))


class FormerFailures:
    """Failures that a former owner has seen and this one does not know.

    Without them each new owner would give tasks to a worker that fails all of
    them, until as many have failed again.
    """

    def __init__(self) -> None:
        self._by_worker: dict[str, WorkerFailures] = {}

    def restore(self, failures: Mapping[str, WorkerFailures]) -> None:
        """Keep the stored failures until their workers report."""
        self._by_worker = dict(failures)

    def apply(self, worker: _fleet.Worker, process_start_ms: int) -> None:
        """Count the failures of a worker that reports for the first time.

        Those of an earlier incarnation do not count.
        """
        former = self._by_worker.pop(worker.info.id, None)
        if former is None or former.process_start_ms != process_start_ms:
            return
        for number, failed_ms in enumerate(former.failed_ms):
            # The tasks are not known; each failure is that of another one.
            worker.failed_tasks[_jobs.TaskKey('', 0, 0, number)] = failed_ms
        worker.avoid_until_ms = max(
            worker.avoid_until_ms, former.avoid_until_ms
        )

    def to_store(
        self, workers: Iterable[_fleet.Worker], now_ms: int
    ) -> dict[str, WorkerFailures]:
        """Return the failures that the next owner must know."""
        found = dict(self._by_worker)
        for worker in workers:
            if worker.failed_tasks or worker.avoid_until_ms > now_ms:
                found[worker.info.id] = WorkerFailures(
                    process_start_ms=worker.info.process_start_ms,
                    failed_ms=tuple(sorted(worker.failed_tasks.values())),
                    avoid_until_ms=worker.avoid_until_ms,
                )
        return recent(found, now_ms)


def recent(
    failures: Mapping[str, WorkerFailures], now_ms: int
) -> dict[str, WorkerFailures]:
    """Return the failures within the window, and exclusions that go on.

    Of a worker, as many failures are returned as exclude it.
    """
    found: dict[str, WorkerFailures] = {}
    for worker_id, former in failures.items():
        failed_ms = tuple(
            t for t in former.failed_ms if now_ms - t < FAILURE_WINDOW_MS
        )[-FAILURES_TO_AVOID:]
        is_excluded = now_ms < former.avoid_until_ms
        if failed_ms or is_excluded:
            found[worker_id] = dataclasses.replace(
                former,
                failed_ms=failed_ms,
                avoid_until_ms=former.avoid_until_ms if is_excluded else 0,
            )
    return found


def record_stall(worker: _fleet.Worker, now_ms: int) -> None:
    """Exclude a worker on which runs have stalled."""
    worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + STALL_AVOID_MS)


def limit(
    workers: Collection[_fleet.Worker], labels: Set[str], now_ms: int
) -> None:
    """Readmit the workers beyond the share of their group that is excluded.

    The workers of a pool are a group, and so are those of a pool that have one
    of ``labels``, which waiting tasks require. Those whose exclusion ends
    first are readmitted.
    """
    pools: set[str] = set()
    for worker in workers:
        worker.is_readmitted = now_ms < worker.avoid_until_ms
        if worker.is_readmitted:
            pools.add(worker.info.pool)
    if not pools:
        return
    groups: dict[tuple[str, str], list[_fleet.Worker]] = (
        collections.defaultdict(list)
    )
    for worker in workers:
        pool = worker.info.pool
        if pool in pools and _eligibility.is_sound(worker, now_ms):
            for label in ('', *(worker.info.labels & labels)):
                groups[pool, label].append(worker)
    readmitted_ids: set[str] = set()
    for group in groups.values():
        suspects = [w for w in group if w.is_readmitted]
        suspects.sort(
            key=lambda w: (w.avoid_until_ms, w.info.id), reverse=True
        )
        excluded_count = int(MAX_AVOIDED_SHARE * len(group))
        readmitted_ids |= {w.info.id for w in suspects[excluded_count:]}
    for worker in workers:
        worker.is_readmitted &= worker.info.id in readmitted_ids
