"""Measures of a simulation run and their targets."""

from collections.abc import Callable
import dataclasses

from oriolestand_bench.policy import _record
from oriolestand_bench.policy import _simulation
from oriolestand_policy import tables

SERVICE = tables.Kind.SERVICE
BATCH = tables.Kind.BATCH
MAX_RETRY_RATIO = 0.1
MAX_STARTS_BEFORE_EJECTION = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A simulation run and what is needed to compute its measures.

    ``without_batch`` is the record of the same run without batch work.
    """

    record: _record.Record
    without_batch: _record.Record
    workers: int
    service_share: float
    flooding: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """A measure of a run.

    ``target`` is the bound of the design page, an upper or a lower one by
    ``is_upper_bound``. ``max_baseline_ratio`` is an upper bound relative to
    the value of the baseline.
    """

    name: str
    unit: str
    compute: Callable[[Run], float]
    target: float | None = None
    is_upper_bound: bool = True
    max_baseline_ratio: float | None = None


def slot_time_ms(run: Run, phase: _record.Phase) -> float:
    """Return the slot time of available workers, in milliseconds."""
    slots = run.workers * _simulation.SLOTS
    return slots * phase.length_ms - phase.down_ms


def percentile(fraction: float) -> Callable[[Run], float]:
    """Return a measure of a latency percentile in the event phase."""
    return lambda run: run.record.event.percentile(fraction)


def p99_to_calm(run: Run) -> float:
    """Return the p99 in the event relative to the calm phase."""
    return _ratio(
        run.record.event.percentile(0.99), run.record.calm.percentile(0.99)
    )


def p99_to_without_batch(run: Run) -> float:
    """Return the p99 in the event relative to a run without batch work."""
    return _ratio(
        run.record.event.percentile(0.99),
        run.without_batch.event.percentile(0.99),
    )


def useful(run: Run) -> float:
    """Return the fraction of the capacity spent on completed work."""
    phase = run.record.event
    return (phase.useful() - phase.lost_ms) / slot_time_ms(run, phase)


def useful_after_event(run: Run) -> float:
    """Return the rate of useful work after the event relative to before."""
    after = run.record.after
    calm = run.record.calm
    return _ratio(
        after.useful() / after.length_ms, calm.useful() / calm.length_ms
    )


def batch_to_bound(run: Run) -> float:
    """Return batch work relative to the capacity that services left."""
    phase = run.record.event
    left = slot_time_ms(run, phase) - phase.useful(SERVICE)
    return _ratio(phase.useful(BATCH) - phase.lost_ms, left)


def batch_slots(run: Run) -> float:
    """Return the mean number of slots with useful batch work."""
    phase = run.record.event
    return (phase.useful(BATCH) - phase.lost_ms) / phase.length_ms


def evictions(run: Run) -> float:
    """Return the number of evictions in all phases."""
    return float(sum(phase.evictions for phase in run.record.phases))


def lost(run: Run) -> float:
    """Return the lost batch work relative to all batch work."""
    phases = run.record.phases
    spent = sum(phase.task_ms for phase in phases)
    return _ratio(sum(phase.lost_ms for phase in phases), spent)


def min_team_fraction(run: Run) -> float:
    """Return the lowest fraction that a team got beside a flood.

    The fraction is the useful work of the team relative to its demand or
    its share, whichever is lower. The demand of tasks is unlimited.
    Flooding teams don't count.
    """
    phase = run.record.event
    total = slot_time_ms(run, phase)
    parts = []
    for team, kind in (
        ('quick', SERVICE),
        ('roster', SERVICE),
        ('ledger', BATCH),
        ('reshuffle', BATCH),
    ):
        if team in run.flooding:
            continue
        fraction = (
            run.service_share if kind is SERVICE else 1 - run.service_share
        )
        share = total * fraction / 2
        if team != 'reshuffle' and (team, kind) not in phase.demand_ms:
            continue
        demand = phase.demand_ms.get((team, kind), share)
        parts.append(_ratio(phase.useful_ms[team, kind], min(share, demand)))
    return min(parts)


def retries(run: Run) -> float:
    """Return the retries per request in the event phase."""
    phase = run.record.event
    return _ratio(phase.retries, phase.requests)


def failed_ratio(run: Run) -> float:
    """Return the fraction of requests that failed in the event phase."""
    phase = run.record.event
    return _ratio(phase.failed, phase.requests)


def rejected_on_arrival(run: Run) -> float:
    """Return the fraction of rejections made on arrival."""
    delays = run.record.event.refusal_delays
    return _ratio(sum(d == 0 for d in delays), len(delays), 1.0)


def starts_before_ejection(run: Run) -> float:
    """Return the most starts at a failing worker before its ejection."""
    return float(max(run.record.early_failed_starts, default=0))


def impossible_jobs(run: Run) -> float:
    """Return the number of jobs rejected as impossible to run."""
    return float(run.record.impossible_jobs_reported)


def over_limit(run: Run) -> float:
    """Return how often a worker exceeded its slots."""
    return float(run.record.over_limit)


def _ratio(value: float, base: float, empty: float = 0.0) -> float:
    """Return a ratio, or ``empty`` if the base is 0."""
    return value / base if base else empty


COMMON = (
    Measure(name='p50', unit='ms', compute=percentile(0.5)),
    Measure(name='p99', unit='ms', compute=percentile(0.99)),
    Measure(name='p99.9', unit='ms', compute=percentile(0.999)),
    Measure(name='batch throughput', unit='slots', compute=batch_slots),
    Measure(
        name='evictions',
        unit='count',
        compute=evictions,
        max_baseline_ratio=0.5,
    ),
    Measure(name='work lost', unit='ratio', compute=lost, target=0.05),
    Measure(name='kept by others', unit='ratio', compute=min_team_fraction),
    Measure(name='refused', unit='ratio', compute=failed_ratio),
    Measure(name='over limit', unit='count', compute=over_limit, target=0),
)
COLOCATED = (
    Measure(
        name='p99 to p99 without batch',
        unit='ratio',
        compute=p99_to_without_batch,
        target=1.3,
    ),
    Measure(
        name='batch to work-conserving bound',
        unit='ratio',
        compute=batch_to_bound,
        target=0.9,
        is_upper_bound=False,
    ),
)
FLOOD = (
    Measure(name='p99 to calm', unit='ratio', compute=p99_to_calm, target=1.5),
    Measure(
        name='useful work',
        unit='ratio',
        compute=useful,
        target=0.95,
        is_upper_bound=False,
    ),
    Measure(
        name='useful work after to before',
        unit='ratio',
        compute=useful_after_event,
        target=0.95,
        is_upper_bound=False,
    ),
    Measure(
        name='kept by others',
        unit='ratio',
        compute=min_team_fraction,
        target=0.9,
        is_upper_bound=False,
    ),
    Measure(
        name='rejections on arrival',
        unit='ratio',
        compute=rejected_on_arrival,
        target=1.0,
        is_upper_bound=False,
    ),
)
FAULT = (
    Measure(
        name='retries', unit='ratio', compute=retries, target=MAX_RETRY_RATIO
    ),
)
EJECTION = (
    Measure(
        name='starts before a failing worker is out',
        unit='count',
        compute=starts_before_ejection,
        target=MAX_STARTS_BEFORE_EJECTION,
    ),
)
IMPOSSIBLE_JOBS = (
    Measure(
        name='impossible jobs reported',
        unit='count',
        compute=impossible_jobs,
        target=400,
        is_upper_bound=False,
    ),
)
BY_SCENARIO: dict[str, tuple[Measure, ...]] = {
    'calm': COLOCATED,
    'batch_flood': FLOOD,
    'service_flood': FLOOD,
    'load_shift': COLOCATED,
    'noise': COLOCATED,
    'cancellations': COLOCATED[:1],
    'never_run': COLOCATED + IMPOSSIBLE_JOBS,
    'fast_failer': COLOCATED[:1] + FAULT + EJECTION,
    'wrong_sizes': COLOCATED,
    'upstream_loss': COLOCATED[:1] + FAULT,
    'store_down': COLOCATED[:1],
    'replace_entries': COLOCATED[:1],
    'flood_and_loss': FLOOD + FAULT,
    'noise_and_failer': COLOCATED[:1] + FAULT + EJECTION,
}


def needs_run_without_batch(scenario: str) -> bool:
    """Return whether a scenario needs a run without batch work."""
    return any(
        m.compute is p99_to_without_batch for m in BY_SCENARIO[scenario]
    )


def measures_of(scenario: str) -> tuple[Measure, ...]:
    """Return the measures of a scenario.

    Its specific measures replace common ones of the same name.
    """
    specific = BY_SCENARIO[scenario]
    names = {measure.name for measure in specific}
    return specific + tuple(m for m in COMMON if m.name not in names)
