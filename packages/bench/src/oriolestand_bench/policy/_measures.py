"""Compute one number for each measure of a run."""

from collections.abc import Callable
import dataclasses

from oriolestand_bench.policy import _record
from oriolestand_bench.policy import _simulation
from oriolestand_policy import tables

SERVICE = tables.Kind.SERVICE
BATCH = tables.Kind.BATCH
MAX_RETRY_SHARE = 0.1
MAX_EJECT_TASKS = 5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Hold a run, one without batch work, and what the shares are."""

    record: _record.Record
    alone: _record.Record
    workers: int
    service_share: float
    flooding: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """Describe a measure.

    ``target`` is the bound of the design page; ``is_most`` says whether it
    is an upper one. ``of_baseline`` is an upper bound relative to the
    baseline's value.
    """

    name: str
    unit: str
    compute: Callable[[Run], float]
    target: float | None = None
    is_most: bool = True
    of_baseline: float | None = None


def capacity(run: Run, phase: _record.Phase) -> float:
    """Return the slot time of the workers that are up."""
    slots = run.workers * _simulation.SLOTS
    return slots * phase.length - phase.down_ms


def percentile(part: float) -> Callable[[Run], float]:
    """Return a measure of the latency in the event phase."""
    return lambda run: run.record.event.percentile(part)


def of_calm(run: Run) -> float:
    """Return the p99 relative to calm in the same run."""
    return _ratio(
        run.record.event.percentile(0.99), run.record.calm.percentile(0.99)
    )


def of_alone(run: Run) -> float:
    """Return the p99 relative to the same run without batch work."""
    return _ratio(
        run.record.event.percentile(0.99), run.alone.event.percentile(0.99)
    )


def useful(run: Run) -> float:
    """Return the part of the capacity that did completed work."""
    phase = run.record.event
    return (phase.useful() - phase.lost_ms) / capacity(run, phase)


def useful_after(run: Run) -> float:
    """Return the useful part after the event, relative to before."""
    after = run.record.after
    calm = run.record.calm
    return _ratio(after.useful() / after.length, calm.useful() / calm.length)


def batch_bound(run: Run) -> float:
    """Return batch work relative to all that services left."""
    phase = run.record.event
    left = capacity(run, phase) - phase.useful(SERVICE)
    return _ratio(phase.useful(BATCH) - phase.lost_ms, left)


def batch_slots(run: Run) -> float:
    """Return the mean number of slots that did batch work."""
    phase = run.record.event
    return (phase.useful(BATCH) - phase.lost_ms) / phase.length


def evictions(run: Run) -> float:
    """Return the evictions of the whole run."""
    return float(sum(phase.evictions for phase in run.record.phases))


def lost(run: Run) -> float:
    """Return the work lost relative to the batch time of the run."""
    phases = run.record.phases
    spent = sum(phase.task_ms for phase in phases)
    return _ratio(sum(phase.lost_ms for phase in phases), spent)


def kept(run: Run) -> float:
    """Return the least that another team kept in the event.

    That is its useful work, relative to the lesser of its demand and its
    share; tasks have unlimited demand.
    """
    phase = run.record.event
    total = capacity(run, phase)
    parts = []
    for team, kind in (
        ('quick', SERVICE),
        ('roster', SERVICE),
        ('ledger', BATCH),
        ('reshuffle', BATCH),
    ):
        if team in run.flooding:
            continue
        part = run.service_share if kind is SERVICE else 1 - run.service_share
        share = total * part / 2
        if team != 'reshuffle' and (team, kind) not in phase.demand_ms:
            continue
        demand = phase.demand_ms.get((team, kind), share)
        parts.append(_ratio(phase.useful_ms[team, kind], min(share, demand)))
    return min(parts)


def retries(run: Run) -> float:
    """Return the retries relative to the requests of the event."""
    phase = run.record.event
    return _ratio(phase.retries, phase.requests)


def refused(run: Run) -> float:
    """Return the part of the requests that failed in the event."""
    phase = run.record.event
    return _ratio(phase.failed, phase.requests)


def immediate(run: Run) -> float:
    """Return the part of the rejections that came on arrival."""
    delays = run.record.event.refusal_delays
    return _ratio(sum(d == 0 for d in delays), len(delays), 1.0)


def eject_tasks(run: Run) -> float:
    """Return the most starts at a failing worker before it was out."""
    return float(max(run.record.new_failed_starts, default=0))


def reported(run: Run) -> float:
    """Return the jobs that were reported as impossible."""
    return float(run.record.never_reported)


def over_limit(run: Run) -> float:
    """Return how often a worker had more work than slots."""
    return float(run.record.over_limit)


def _ratio(value: float, base: float, empty: float = 0.0) -> float:
    """Return a ratio, or ``empty`` without a base."""
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
        of_baseline=0.5,
    ),
    Measure(name='work lost', unit='ratio', compute=lost, target=0.05),
    Measure(name='kept by others', unit='ratio', compute=kept),
    Measure(name='refused', unit='ratio', compute=refused),
    Measure(name='over limit', unit='count', compute=over_limit, target=0),
)
COLOCATED = (
    Measure(
        name='p99 to p99 without batch',
        unit='ratio',
        compute=of_alone,
        target=1.3,
    ),
    Measure(
        name='batch to work-conserving bound',
        unit='ratio',
        compute=batch_bound,
        target=0.9,
        is_most=False,
    ),
)
FLOOD = (
    Measure(name='p99 to calm', unit='ratio', compute=of_calm, target=1.5),
    Measure(
        name='useful work',
        unit='ratio',
        compute=useful,
        target=0.95,
        is_most=False,
    ),
    Measure(
        name='useful work after to before',
        unit='ratio',
        compute=useful_after,
        target=0.95,
        is_most=False,
    ),
    Measure(
        name='kept by others',
        unit='ratio',
        compute=kept,
        target=0.9,
        is_most=False,
    ),
    Measure(
        name='rejections on arrival',
        unit='ratio',
        compute=immediate,
        target=1.0,
        is_most=False,
    ),
)
FAULT = (
    Measure(
        name='retries', unit='ratio', compute=retries, target=MAX_RETRY_SHARE
    ),
)
EJECTION = (
    Measure(
        name='starts before a failing worker is out',
        unit='count',
        compute=eject_tasks,
        target=MAX_EJECT_TASKS,
    ),
)
NEVER = (
    Measure(
        name='impossible jobs reported',
        unit='count',
        compute=reported,
        target=400,
        is_most=False,
    ),
)
BY_SCENARIO: dict[str, tuple[Measure, ...]] = {
    'calm': COLOCATED,
    'batch_flood': FLOOD,
    'service_flood': FLOOD,
    'load_shift': COLOCATED,
    'noise': COLOCATED,
    'cancellations': COLOCATED[:1],
    'never_run': COLOCATED + NEVER,
    'fast_failer': COLOCATED[:1] + FAULT + EJECTION,
    'wrong_sizes': COLOCATED,
    'upstream_loss': COLOCATED[:1] + FAULT,
    'store_down': COLOCATED[:1],
    'replace_entries': COLOCATED[:1],
    'flood_and_loss': FLOOD + FAULT,
    'noise_and_failer': COLOCATED[:1] + FAULT + EJECTION,
}


def needs_alone(scenario: str) -> bool:
    """Return whether a scenario is compared with a run without batch."""
    return any(m.compute is of_alone for m in BY_SCENARIO[scenario])


def measures_of(scenario: str) -> tuple[Measure, ...]:
    """Return the measures of a scenario; own ones replace common ones."""
    own = BY_SCENARIO[scenario]
    names = {measure.name for measure in own}
    return own + tuple(m for m in COMMON if m.name not in names)
