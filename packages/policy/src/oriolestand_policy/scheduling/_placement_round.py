"""State of placement that holds for one scheduling round."""

from collections.abc import Collection
import dataclasses
from typing import NamedTuple

from oriolestand_policy.scheduling import _candidates
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _gang_fit
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _pressure


class Demands(NamedTuple):
    """What the ranks of workers for a task depend on.

    ``step`` is set if the tasks of a step on a worker are limited. ``filling``
    is the image of a filling task, ``service`` that of a service task.
    ``may_be_slowed`` is whether a filling task may run below full pace.
    """

    cpu: int
    memory_mb: int
    accelerators: int
    label: str
    rack: str
    max_per_worker: int
    step: _candidates.StepKey | None
    is_service: bool
    service: str
    filling: str | None
    may_be_slowed: bool = False


def demands_of(task: _jobs.Task) -> Demands:
    """Return what the ranks of workers for a task depend on."""
    spec = task.spec
    return Demands(
        cpu=spec.cpu,
        memory_mb=spec.memory_mb,
        accelerators=spec.accelerators,
        label=spec.label,
        rack=spec.rack,
        max_per_worker=spec.max_per_worker,
        step=task.key[:3] if spec.max_per_worker else None,
        is_service=spec.is_service,
        service=spec.image if spec.is_service else '',
        filling=spec.image if spec.is_filling else None,
        may_be_slowed=task.may_be_slowed,
    )


@dataclasses.dataclass(slots=True)
class PoolRound:
    """Usable workers of a pool in a round, and their queues by demands.

    ``views`` are those of the workers. ``high_tails`` tells whether a tail
    latency on each is near its target; it is empty until it is needed.
    ``changed`` are the indices of the selected workers, in order. ``sums`` are
    by label, and ``rooms`` the number of tasks that fit by their demands; both
    are kept with the length of ``changed`` that they hold for.
    """

    workers: list[_fleet.Worker] = dataclasses.field(default_factory=list)
    views: list[_candidates.WorkerView] = dataclasses.field(
        default_factory=list
    )
    high_tails: list[bool] = dataclasses.field(default_factory=list)
    changed: list[int] = dataclasses.field(default_factory=list)
    queues: dict[Demands, _candidates.CandidateQueue] = dataclasses.field(
        default_factory=dict
    )
    sums: dict[str, _gang_fit.Sums] = dataclasses.field(default_factory=dict)
    rooms: dict[Demands, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    _indices: dict[str, int] = dataclasses.field(default_factory=dict)

    def mark_changed(self, worker: _fleet.Worker) -> None:
        """Add a worker to the changed ones if it may get tasks."""
        if len(self._indices) != len(self.workers):
            self._indices = {
                other.info.id: index
                for index, other in enumerate(self.workers)
            }
        index = self._indices.get(worker.info.id)
        if index is not None and self.workers[index] is worker:
            self.changed.append(index)

    def sums_of(self, label: str) -> tuple[_gang_fit.Sums, int]:
        """Return what workers with a label have free, and the checks."""
        sums = self.sums.get(label)
        if sums is not None and sums.stamp == len(self.changed):
            return sums, 0
        sums = self.sums[label] = _gang_fit.sums_of(
            [w for w in self.workers if not label or label in w.info.labels],
            len(self.changed),
        )
        return sums, len(self.workers) // _gang_fit.LOOKUPS_PER_CHECK

    def drop_queues(self, filling: str) -> None:
        """Remove the queues for filling tasks of an image."""
        for demands in [d for d in self.queues if d.filling == filling]:
            del self.queues[demands]


@dataclasses.dataclass(frozen=True, slots=True)
class FillingCapacity:
    """Capacity of a worker for filling tasks.

    ``free`` is in thousandths of a core. ``is_tail_high`` is whether a tail
    latency is near its target, so that nothing may be added. ``headrooms``
    is the load that may still be added, by service image.
    """

    free: float
    is_tail_high: bool
    headrooms: dict[str, float]


class RoundForecast:
    """Forecasts of one round, each calculated once.

    Loads are the highest expected within ``ahead_ms``.
    ``planned_weights`` are the weights for placement, by filling image and
    service image.
    """

    def __init__(
        self,
        pressure: _pressure.InterferenceModel,
        now_ms: int,
        ahead_ms: int,
    ) -> None:
        self._pressure = pressure
        self._now_ms = now_ms
        self._ahead_ms = ahead_ms
        self._intrinsic_loads: dict[_candidates.StepKey, float] = {}
        self._max_loads: dict[tuple[str, int], float] = {}
        self._bounds: dict[tuple[str, str], float] = {}
        self.planned_weights: dict[str, dict[str, float]] = {}

    def weight_bound(self, image: str, filling: str) -> float:
        """Return the upper bound of the weight of a pair."""
        bound = self._bounds.get((image, filling))
        if bound is None:
            bound = self._pressure.weight_bound(image, filling)
            self._bounds[(image, filling)] = bound
        return bound

    def headrooms(
        self,
        view: _candidates.WorkerView,
        filling: Collection[tuple[str, float]],
    ) -> dict[str, float]:
        """Return the load that may be added to a worker's service images.

        ``filling`` are the image and share of processors of filling tasks.
        """
        headrooms: dict[str, float] = {}
        intrinsic_loads = self._intrinsic_loads
        for run in view.services:
            spec = run.spec
            image = spec.image
            step_key = run.key[:3]
            intrinsic = intrinsic_loads.get(step_key)
            if intrinsic is None:
                intrinsic = self._intrinsic_load(step_key)
            headroom = self._max_load(image, spec.target_ms) - intrinsic
            lowest = headrooms.get(image)
            if lowest is None or headroom < lowest:
                headrooms[image] = headroom
        bounds = self._bounds
        for image, headroom in headrooms.items():
            added = 0.0
            for other, share in filling:
                bound = bounds.get((image, other))
                if bound is None:
                    bound = self.weight_bound(image, other)
                added += bound * share
            headrooms[image] = headroom - added
        return headrooms

    def _max_load(self, image: str, target_ms: int) -> float:
        """Return the highest load that meets a latency target."""
        load = self._max_loads.get((image, target_ms))
        if load is None:
            load = self._pressure.max_load(image, target_ms)
            self._max_loads[(image, target_ms)] = load
        return load

    def _intrinsic_load(self, step_key: _candidates.StepKey) -> float:
        """Calculate and keep the highest intrinsic load of a service job."""
        load = self._pressure.intrinsic_load(
            step_key, self._now_ms, self._ahead_ms
        )
        self._intrinsic_loads[step_key] = load
        return load
