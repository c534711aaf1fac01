"""Figures of a run: goodput, and the share of jobs in time."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from oriolestand_bench.goodput import _jobs
from oriolestand_bench.goodput import _offline
from oriolestand_bench.goodput import _simulation
from oriolestand_bench.goodput import _traffic

DECILES = 10


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Result of a run; amounts of work are in cores, over the load.

    ``goodput`` is the work of jobs in time, ``late`` that of late ones.
    ``fluid`` and ``offline`` are the references of ``_offline``. The others
    are shares from 0 to 1; those of jobs count jobs, not work. ``deciles``
    are those of filling jobs, the smallest first; ``domains`` those of the
    failure domain of the caller. The last ones count filling jobs: ``refused``
    each time, ``accepted``, done in time and late, and ``stuck`` at the end.
    """

    workers: int
    load: float
    setting: str
    seed: int
    jobs: int
    room: float
    offered: float
    goodput: float
    late: float
    fluid: float
    offline: float
    quick_in_time: float
    filling_in_time: float
    deciles: tuple[float, ...]
    domains: tuple[float, ...]
    services_at_work: float
    services_in_target: float
    harm_stops: int
    starts: int
    refused: int
    accepted: int
    filling_done: int
    filling_late: int
    stuck: int

    @property
    def share(self) -> float:
        """Return the goodput as a share of the offered work."""
        return self.goodput / self.offered if self.offered else 0.0


def share_in_time(records: Iterable[_jobs.JobRecord]) -> float:
    """Return the share of jobs that were in time, 0 without jobs."""
    results = [record.result for record in records]
    if not results:
        return 0.0
    return results.count(_jobs.Result.IN_TIME) / len(results)


def _count(records: Iterable[_jobs.JobRecord], result: _jobs.Result) -> int:
    """Return how many jobs have a result."""
    return sum(record.result is result for record in records)


def of_kind(
    records: Iterable[_jobs.JobRecord], kind: _traffic.Kind
) -> list[_jobs.JobRecord]:
    """Return the jobs of a kind, the smallest first."""
    found = [record for record in records if record.planned.kind is kind]
    return sorted(found, key=lambda record: record.planned.work)


def parts(
    records: Sequence[_jobs.JobRecord], count: int
) -> list[Sequence[_jobs.JobRecord]]:
    """Divide jobs into parts of nearly equal length.

    >>> parts([], 2)
    [[], []]
    """
    ends = [len(records) * number // count for number in range(count + 1)]
    return [records[ends[n] : ends[n + 1]] for n in range(count)]


def _work_of(
    records: Iterable[_jobs.JobRecord], *results: _jobs.Result
) -> float:
    """Return the work of the jobs with some results, in core seconds."""
    return sum(
        record.planned.work for record in records if record.result in results
    )


def figures_of(
    simulation: _simulation.GoodputSimulation,
    records: Sequence[_jobs.JobRecord],
) -> Figures:
    """Return the figures of a case that has been played."""
    case, services = simulation.case, simulation.services
    seconds = case.load_ms / 1_000
    planned = [record.planned for record in records]
    cores = _offline.capacity(case)
    filling = of_kind(records, _traffic.Kind.FILLING)
    return Figures(
        workers=case.workers,
        load=case.load,
        setting=case.setting.value,
        seed=case.seed,
        jobs=len(records),
        room=case.room,
        offered=_work_of(records, *_jobs.Result) / seconds,
        goodput=_work_of(records, _jobs.Result.IN_TIME) / seconds,
        late=_work_of(records, _jobs.Result.LATE) / seconds,
        fluid=_offline.fluid_bound(planned, cores) / seconds,
        offline=_offline.best_order(planned, cores) / seconds,
        quick_in_time=share_in_time(of_kind(records, _traffic.Kind.QUICK)),
        filling_in_time=share_in_time(filling),
        deciles=tuple(share_in_time(part) for part in parts(filling, DECILES)),
        domains=tuple(
            share_in_time(r for r in records if r.planned.domain == domain)
            for domain in range(_traffic.FAILURE_DOMAINS)
        ),
        services_at_work=services.at_work / services.all_tasks,
        services_in_target=services.within_target / services.all_tasks,
        harm_stops=sum(record.harm_stops for record in records),
        starts=sum(record.starts for record in records),
        refused=sum(record.accepted_ms < 0 for record in filling),
        accepted=sum(record.accepted_ms >= 0 for record in filling),
        filling_done=_count(filling, _jobs.Result.IN_TIME),
        filling_late=_count(filling, _jobs.Result.LATE),
        stuck=simulation.stuck,
    )
