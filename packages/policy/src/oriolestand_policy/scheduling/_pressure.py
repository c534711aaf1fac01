"""Learn how filling tasks slow the service tasks beside them.

The tail of a service task's response times grows as ``base / (1 - load)``,
so that ``1 - base / tail`` tells its load, from its own requests and from
what runs beside it. All tasks of a service job have the same own load at a
time; the excess of one over its siblings comes from its neighbours. How much
a filling image adds to a service image differs widely by pair and is learned
by a Kalman filter whose weights count as independent.
"""

import dataclasses

from oriolestand_policy.scheduling import _fleet

PRIOR_WEIGHT = 0.1
"""Load that a filling task is expected to add when it uses a whole worker."""

PRIOR_VARIANCE = 0.25
DRIFT = 0.0005
"""Variance that a weight gains with each report, as harm changes slowly."""

LOAD_NOISE = 0.03
"""Standard deviation of a load that tails do not explain."""

TAIL_NOISE = 0.7
"""Standard deviation of a reported tail in milliseconds, from rounding."""

TARGET_MARGIN = 0.9
"""Share of the target that tails should stay below, as reports lag."""

REPORT_AGE_MS = 1_300
"""Reports older than this say nothing about the present load."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _OwnLoad:
    """Hold the latest loads of the tasks of a service job."""

    loads: dict[int, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    value: float = 0.0

    def update(self, index: int, load: float, now_ms: int) -> None:
        """Take over the load of one task; the least disturbed one counts."""
        self.loads[index] = (load, now_ms)
        self.value = min(
            value
            for value, when in self.loads.values()
            if now_ms - when <= REPORT_AGE_MS
        )


@dataclasses.dataclass(slots=True)
class _Weight:
    """Hold the load that a pair adds, and how uncertain that is."""

    value: float = PRIOR_WEIGHT
    variance: float = PRIOR_VARIANCE


class Pressure:
    """Estimate the load of service tasks beside filling tasks."""

    def __init__(self) -> None:
        self._weights: dict[tuple[str, str], _Weight] = {}
        self._bases: dict[str, int] = {}
        self._own: dict[tuple[str, int, int], _OwnLoad] = {}

    def observe(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Learn from what a worker has just reported of its runs."""
        shares: dict[str, float] = {}
        for run in worker.runs.values():
            if run.spec.is_filling and run.phase is _fleet.RunPhase.RUNNING:
                image = run.spec.image
                shares[image] = shares.get(image, 0.0) + _share(run, worker)
        for run in worker.runs.values():
            if not _is_serving(run):
                continue
            load = self._load(run)
            own = self._own.setdefault(run.key[:3], _OwnLoad())
            own.update(run.key.index, load, now_ms)
            if shares:
                self._learn(run, shares, load - own.value)

    def _load(self, run: _fleet.Run) -> float:
        """Return the load that the tail of a service task stands for."""
        image = run.spec.image
        tail = max(1, run.measured)
        base = min(self._bases.get(image, tail), tail)
        self._bases[image] = base
        return 1.0 - base / tail

    def _learn(
        self, run: _fleet.Run, shares: dict[str, float], excess: float
    ) -> None:
        """Correct the weights of the pairs that were seen together."""
        image = run.spec.image
        weights = {
            other: self._weights.setdefault((image, other), _Weight())
            for other in shares
        }
        expected = sum(weights[o].value * part for o, part in shares.items())
        tail = max(1, run.measured)
        rounding = TAIL_NOISE * self._bases[image] / (tail * tail)
        noise = rounding * rounding + LOAD_NOISE * LOAD_NOISE
        total = noise + sum(
            weights[o].variance * part * part for o, part in shares.items()
        )
        for other, part in shares.items():
            weight = weights[other]
            gain = weight.variance * part / total
            weight.value = max(0.0, weight.value + gain * (excess - expected))
            weight.variance = (1.0 - gain * part) * weight.variance + DRIFT

    def weight(self, image: str, filling: str) -> float:
        """Return the load that a filling image adds to a service image.

        It is for a filling task that uses all processors of a worker.
        """
        found = self._weights.get((image, filling))
        return PRIOR_WEIGHT if found is None else found.value

    def limit(self, run: _fleet.Run) -> float:
        """Return the highest load at which a tail is well in its target."""
        base = self._bases.get(run.spec.image, 1)
        target = run.spec.target_ms * TARGET_MARGIN
        return max(0.0, 1.0 - base / target) if target > 0 else 1.0

    def own_load(self, run: _fleet.Run) -> float:
        """Return the load that a service task brings itself."""
        own = self._own.get(run.key[:3])
        return own.value if own is not None else 0.0

    def excess(
        self,
        worker: _fleet.Worker,
        image: str = '',
        share: float = 0.0,
    ) -> float:
        """Return by how much the worst service task passes its limit.

        ``image`` and ``share`` describe a filling task that would be added.
        Negative when all service tasks have room.
        """
        filling = [
            (run.spec.image, planned_share(run, worker))
            for run in worker.runs.values()
            if run.spec.is_filling
        ]
        if image:
            filling.append((image, share))
        worst = -1.0
        for run in worker.runs.values():
            if not run.spec.is_service:
                continue
            added = sum(
                self.weight(run.spec.image, other) * part
                for other, part in filling
            )
            worst = max(worst, self.own_load(run) + added - self.limit(run))
        return worst

    def forget_job(self, job: str) -> None:
        """Drop what is known of the load of a job."""
        for key in [key for key in self._own if key[0] == job]:
            del self._own[key]


def _is_serving(run: _fleet.Run) -> bool:
    """Return whether a run is a service task that answers requests."""
    return (
        run.spec.is_service
        and run.phase is _fleet.RunPhase.RUNNING
        and run.percent == 100
        and run.measured > 0
    )


def _share(run: _fleet.Run, worker: _fleet.Worker) -> float:
    """Return the share of a worker's processors that a run uses."""
    return run.measured / max(1, worker.info.cpu)


def planned_share(run: _fleet.Run, worker: _fleet.Worker) -> float:
    """Return the share that a run would use at its pace."""
    return run.spec.cpu * run.pace / 100 / max(1, worker.info.cpu)
