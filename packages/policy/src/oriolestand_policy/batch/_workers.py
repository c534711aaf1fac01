"""Choose workers by demand class and eject failing ones."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import oriolestand_core as core
from oriolestand_policy.batch import _row

FAILURES_TO_EJECT = 5
"""Number of jobs with failed runs, without a success in between, after which
a worker is ejected."""
PROBE_INTERVAL_MS = 10_000
REFUSAL_PAUSE_MS = 5_000
"""Time for which a worker that refused a task gets no new ones. A refusal
shows that it has fewer free resources than counted here."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerSpec:
    """Total resources of one worker."""

    address: str
    slots: int
    accelerators: int = 0
    memory_mb: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Worker:
    """Free resources of a worker and its jobs that failed since a success."""

    spec: WorkerSpec
    free_slots: int = 0
    accelerators: int = 0
    memory_mb: int = 0
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    probe_at: core.Millis | None = None
    runs: int = 0
    paused_until: core.Millis | None = None

    def fits(self, demand: _row.Demand) -> bool:
        """Return whether a demand fits into the free resources."""
        return (
            demand.slots <= self.free_slots
            and demand.accelerators <= self.accelerators
            and demand.memory_mb <= self.memory_mb
        )

    def missing_share(self, demand: _row.Demand, free_slots: int) -> float:
        """Return the largest share of a demanded resource that is missing."""
        slots = min(self.free_slots, free_slots)
        shares = [(demand.slots - slots) / max(1, demand.slots)]
        if demand.accelerators:
            missing = demand.accelerators - self.accelerators
            shares.append(missing / demand.accelerators)
        if demand.memory_mb:
            missing = demand.memory_mb - self.memory_mb
            shares.append(missing / demand.memory_mb)
        return max(0.0, *shares)


class WorkerIndex:
    """Index of workers that finds one for a demand without a full scan.

    It keeps the fitting workers of each demand class; a change of one worker
    costs one check per class. Only tasks placed through the index are
    counted; the dispatcher checks that granted slots are free.
    """

    def __init__(self) -> None:
        self._workers: dict[str, _Worker] = {}
        self._fitting: dict[_row.Demand, dict[str, None]] = {}
        self._excluded: frozenset[str] = frozenset()
        self._kinds: frozenset[_row.Demand] | None = None

    def set_worker(self, spec: WorkerSpec) -> None:
        """Add a worker or change its total resources."""
        worker = self._workers.get(spec.address)
        if worker is not None and worker.spec == spec:
            return
        self._kinds = None
        if worker is None:
            worker = _Worker(
                spec=spec,
                free_slots=spec.slots,
                accelerators=spec.accelerators,
                memory_mb=spec.memory_mb,
            )
            self._workers[spec.address] = worker
        else:
            worker.free_slots += spec.slots - worker.spec.slots
            worker.accelerators += spec.accelerators - worker.spec.accelerators
            worker.memory_mb += spec.memory_mb - worker.spec.memory_mb
            worker.spec = spec
        self._update(worker)

    def remove(self, address: str) -> None:
        """Remove a worker."""
        if self._workers.pop(address, None) is not None:
            self._kinds = None
            for addresses in self._fitting.values():
                addresses.pop(address, None)

    def set_excluded(self, addresses: frozenset[str]) -> None:
        """Set the workers that get no more tasks, though theirs still count.

        A task keeps its resources until it ends, also if the worker comes
        back before.
        """
        self._excluded = addresses
        self._kinds = None

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses of the workers."""
        return frozenset(self._workers)

    def can_run(self, demand: _row.Demand) -> bool:
        """Return whether an idle, not excluded worker satisfies a demand."""
        if self._kinds is None:
            self._kinds = frozenset(
                _kind(worker.spec)
                for address, worker in self._workers.items()
                if address not in self._excluded
            )
        return any(_fits_kind(demand, kind) for kind in self._kinds)

    def can_host(
        self, address: str, demand: _row.Demand, now: core.Millis
    ) -> bool:
        """Return whether a usable worker, when idle, satisfies a demand."""
        worker = self._workers.get(address)
        if worker is None or not self._is_usable(worker, now):
            return False
        return _fits_kind(demand, _kind(worker.spec))

    def leaves_free(
        self, address: str, demand: _row.Demand, room: _row.Demand
    ) -> bool:
        """Return whether a demand leaves resources of a worker free."""
        worker = self._workers[address]
        return (
            worker.free_slots - demand.slots >= room.slots
            and (
                not demand.accelerators
                or worker.accelerators - demand.accelerators
                >= room.accelerators
            )
            and (
                not demand.memory_mb
                or worker.memory_mb - demand.memory_mb >= room.memory_mb
            )
        )

    def choose_room(
        self,
        demand: _row.Demand,
        now: core.Millis,
        free_slots: Callable[[str], int | None],
        avoid: str = '',
    ) -> str | None:
        """Return the usable worker that lacks the least for a demand.

        Run times are unknown, so the worker that has the largest share of the
        demand free is taken to be the one on which it fits soonest.

        :param free_slots: returns the free slots of a worker, or None for a
            worker that is not to be chosen.
        :param avoid: worker to choose only if there is no other one.
        """
        best: tuple[bool, float] | None = None
        found = None
        for address, worker in self._workers.items():
            if not self.can_host(address, demand, now):
                continue
            free = free_slots(address)
            if free is None:
                continue
            rank = (address == avoid, worker.missing_share(demand, free))
            if best is None or rank < best:
                best, found = rank, address
        return found

    def choose(
        self,
        demand: _row.Demand,
        now: core.Millis,
        avoid: str = '',
        may_use: Callable[[str], bool] | None = None,
    ) -> str | None:
        """Return a usable worker with the resources for a demand, or None.

        :param avoid: worker to choose only if no other one fits.
        :param may_use: returns whether a worker may be chosen; None if each
            one may.
        """
        if demand not in self._fitting:
            self._fitting[demand] = {
                w.spec.address: None
                for w in self._workers.values()
                if w.fits(demand)
            }
        fallback = None
        for address in self._fitting[demand]:
            if not self._is_usable(self._workers[address], now):
                continue
            if may_use is not None and not may_use(address):
                continue
            if address != avoid:
                return address
            fallback = address
        return fallback

    def accepts(
        self, address: str, demand: _row.Demand, now: core.Millis
    ) -> bool:
        """Return whether a worker is listed, usable and fits a demand."""
        worker = self._workers.get(address)
        if worker is None or not worker.fits(demand):
            return False
        return self._is_usable(worker, now)

    def _is_usable(self, worker: _Worker, now: core.Millis) -> bool:
        """Return whether a worker may get a task, possibly as a probe."""
        if worker.spec.address in self._excluded:
            return False
        if worker.paused_until is not None and now < worker.paused_until:
            return False
        if len(worker.failed_jobs) < FAILURES_TO_EJECT:
            return True
        if worker.runs or worker.probe_at is None:
            return False
        return now >= worker.probe_at

    def take(self, address: str, demand: _row.Demand) -> None:
        """Take resources of a worker for a task."""
        worker = self._workers.get(address)
        if worker is None:
            return
        worker.runs += 1
        worker.free_slots -= demand.slots
        worker.accelerators -= demand.accelerators
        worker.memory_mb -= demand.memory_mb
        self._update(worker)

    def release(self, address: str, demand: _row.Demand) -> None:
        """Release the resources of a task that ended at a worker."""
        worker = self._workers.get(address)
        if worker is None:
            return
        worker.runs -= 1
        worker.accelerators += demand.accelerators
        worker.memory_mb += demand.memory_mb
        worker.free_slots += demand.slots
        self._update(worker)

    def record_result(
        self, address: str, job: str, failed: bool, now: core.Millis
    ) -> None:
        """Record whether a run failed.

        Failures of the same job count once, so that a single faulty job
        does not get a worker ejected.
        """
        worker = self._workers.get(address)
        if worker is None:
            return
        if not failed:
            worker.failed_jobs.clear()
            worker.probe_at = None
            return
        worker.failed_jobs.add(job)
        if len(worker.failed_jobs) >= FAILURES_TO_EJECT:
            worker.probe_at = core.Millis(now + PROBE_INTERVAL_MS)

    def record_refusal(self, address: str, now: core.Millis) -> None:
        """Pause a worker that refused a task."""
        worker = self._workers.get(address)
        if worker is not None:
            worker.paused_until = core.Millis(now + REFUSAL_PAUSE_MS)

    def _update(self, worker: _Worker) -> None:
        """Update the demand classes that a worker fits."""
        address = worker.spec.address
        for demand, addresses in self._fitting.items():
            # Moving the worker to the end spreads tasks over all workers.
            addresses.pop(address, None)
            if worker.fits(demand):
                addresses[address] = None


def unplaceable_reason(
    demand: _row.Demand, specs: Iterable[WorkerSpec], pool: str
) -> str:
    """Return why no worker can ever satisfy a demand, or '' if one can.

    >>> spec = WorkerSpec(address='w', slots=8)
    >>> unplaceable_reason(_row.Demand(slots=9), [spec], 'main')
    'no worker of pool main has 9 slots; the most is 8'
    """
    all_specs = list(specs)
    if not all_specs:
        return ''
    for name in ('slots', 'accelerators', 'memory_mb'):
        needed = getattr(demand, name)
        most = max(getattr(spec, name) for spec in all_specs)
        if needed > most:
            return (
                f'no worker of pool {pool} has {needed} {name};'
                f' the most is {most}'
            )
    if any(_could_run(spec, demand) for spec in all_specs):
        return ''
    return f'no single worker of pool {pool} has all that the task needs'


def _could_run(spec: WorkerSpec, demand: _row.Demand) -> bool:
    """Return whether a worker, when idle, could satisfy a demand."""
    return _fits_kind(demand, _kind(spec))


def _kind(spec: WorkerSpec) -> _row.Demand:
    """Return the largest demand that a worker could satisfy."""
    return _row.Demand(
        slots=spec.slots,
        accelerators=spec.accelerators,
        memory_mb=spec.memory_mb,
    )


def _fits_kind(demand: _row.Demand, kind: _row.Demand) -> bool:
    """Return whether a demand is within the largest one of a worker."""
    return (
        demand.slots <= kind.slots
        and demand.accelerators <= kind.accelerators
        and demand.memory_mb <= kind.memory_mb
    )
