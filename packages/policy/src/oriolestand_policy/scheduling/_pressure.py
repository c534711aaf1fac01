"""Learn how filling tasks slow the service tasks beside them.

The tail of a service task's response times grows as ``base / (1 - load)``,
so that ``1 - base / tail`` tells its load, from its own requests and from
what runs beside it. All tasks of a service job have the same own load at a
time; the excess of one over what is forecast for the job comes from its
neighbours. How much a filling image adds to a service image differs widely
by pair and is learned by a Kalman filter whose weights count as independent.
"""

import dataclasses
import math

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _forecast

PRIOR_WEIGHT = 0.5
"""Load that a filling task is expected to add when it uses a whole worker.
Most pairs add a tenth of the share, one in four adds twice the share."""

PRIOR_VARIANCE = 0.64
DRIFT = 0.00002
"""Variance that a weight gains with each report, as harm changes slowly."""

CAUTION = 1.5
"""Standard deviations added to a weight before a task is placed."""

SURE_DEVIATION = 0.15
"""Standard deviation of a weight that many reports have confirmed."""

KNOWN_VARIANCE = 0.09
"""Variance of a weight below which it is told from the other kind."""

NOTABLE_CHANGE = 0.3
"""Change of a weight that is worth a write to the store."""

LOAD_NOISE = 0.1
"""Standard deviation of a load that tails do not explain."""

TAIL_NOISE = 0.7
"""Standard deviation of a reported tail in milliseconds, from rounding."""

TARGET_MARGIN = 1.0
"""Share of the target that tails should stay below, as reports lag."""

UNSEEN_LOAD = 0.6
"""Load of a service task of which nothing is known, near its usual peak."""

UNKNOWN_RISE = 0.1
"""Load that may be added within seconds while its course is not known."""


@dataclasses.dataclass(slots=True)
class _Weight:
    """Hold the load that a pair adds, and how uncertain that is."""

    value: float = PRIOR_WEIGHT
    variance: float = PRIOR_VARIANCE

    @property
    def bound(self) -> float:
        """Return the weight to plan with, higher while it is uncertain."""
        unsure = max(0.0, math.sqrt(self.variance) - SURE_DEVIATION)
        return self.value + CAUTION * unsure


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PairWeight:
    """Hold what is learned of a service image beside a filling image.

    ``weight`` is the load that the filling image would add on all processors
    of a worker; ``variance`` says how uncertain it is.
    """

    image: str
    filling: str
    weight: float
    variance: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LearnedPressure:
    """Hold what a successor of an owner need not learn again.

    ``bases`` are the lowest tails of service images in milliseconds.
    """

    pairs: tuple[PairWeight, ...] = ()
    bases: dict[str, int] = dataclasses.field(default_factory=dict)
    period_ms: float | None = None

    def differs_from(self, other: 'LearnedPressure') -> bool:
        """Return whether another state would lead to other decisions."""
        if self.bases != other.bases:
            return True
        if (self.period_ms is None) != (other.period_ms is None):
            return True
        known = {(p.image, p.filling): p.weight for p in other.pairs}
        return any(
            abs(p.weight - known.get((p.image, p.filling), -1.0))
            > NOTABLE_CHANGE
            for p in self.pairs
        )


class Pressure:
    """Estimate the load of service tasks beside filling tasks."""

    def __init__(self) -> None:
        self._weights: dict[tuple[str, str], _Weight] = {}
        self._bases: dict[str, int] = {}
        self._histories: dict[tuple[str, int, int], _forecast.LoadHistory] = {}
        self._search = _forecast.PeriodSearch()

    def observe(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Learn from what a worker has just reported of its runs."""
        self._search.run(self._histories.values(), now_ms)
        shares: dict[str, float] = {}
        for run in worker.runs.values():
            if run.spec.is_filling and run.phase is _fleet.RunPhase.RUNNING:
                image = run.spec.image
                shares[image] = shares.get(image, 0.0) + _share(run, worker)
        for run in worker.runs.values():
            if _is_serving(run):
                self._observe_run(run, shares, now_ms)

    def _observe_run(
        self, run: _fleet.Run, shares: dict[str, float], now_ms: int
    ) -> None:
        """Learn from the tail of one service task."""
        load = self._load(run)
        image = run.spec.image
        weights = {
            other: self._weights.setdefault((image, other), _Weight())
            for other in shares
        }
        expected = sum(weights[o].value * part for o, part in shares.items())
        history = self._histories.setdefault(
            run.key[:3], _forecast.LoadHistory()
        )
        # What neighbours are thought to add stays in: a weight that is too
        # high would make the own load look low and so confirm itself.
        history.add(load, now_ms, self._search.period_ms)
        if shares:
            excess = load - history.value(now_ms)
            self._learn(run, weights, shares, excess - expected)

    def _load(self, run: _fleet.Run) -> float:
        """Return the load that the tail of a service task stands for."""
        image = run.spec.image
        tail = max(1, run.measured)
        base = min(self._bases.get(image, tail), tail)
        self._bases[image] = base
        return 1.0 - base / tail

    def _learn(
        self,
        run: _fleet.Run,
        weights: dict[str, _Weight],
        shares: dict[str, float],
        surprise: float,
    ) -> None:
        """Correct the weights of the pairs that were seen together."""
        tail = max(1, run.measured)
        rounding = TAIL_NOISE * self._bases[run.spec.image] / (tail * tail)
        noise = LOAD_NOISE
        history = self._histories[run.key[:3]]
        if not history.is_known:
            noise = UNKNOWN_RISE + LOAD_NOISE
        noise = rounding * rounding + noise * noise
        total = noise + sum(
            weights[o].variance * part * part for o, part in shares.items()
        )
        for other, part in shares.items():
            weight = weights[other]
            if history.is_short and weight.variance < KNOWN_VARIANCE:
                # The own load may contain what the neighbours add, which
                # would make a weight that is known fade.
                continue
            gain = weight.variance * part / total
            weight.value = max(0.0, weight.value + gain * surprise)
            weight.variance = (1.0 - gain * part) * weight.variance + DRIFT

    def weight(self, image: str, filling: str) -> float:
        """Return the load that a filling image adds to a service image.

        It is for a filling task that uses all processors of a worker.
        """
        found = self._weights.get((image, filling))
        return PRIOR_WEIGHT if found is None else found.value

    def weight_bound(self, image: str, filling: str) -> float:
        """Return the most that a filling image may add to a service image."""
        found = self._weights.get((image, filling))
        return (_Weight() if found is None else found).bound

    def is_known(self, image: str, filling: str) -> bool:
        """Return whether reports have shown what a pair adds."""
        found = self._weights.get((image, filling))
        return found is not None and found.variance < KNOWN_VARIANCE

    def limit(self, run: _fleet.Run) -> float:
        """Return the highest load at which a tail is well in its target."""
        base = self._bases.get(run.spec.image, 1)
        target = run.spec.target_ms * TARGET_MARGIN
        return max(0.0, 1.0 - base / target) if target > 0 else 1.0

    def own_load(self, run: _fleet.Run, now_ms: int, ahead_ms: int) -> float:
        """Return the highest load that a service task will bring itself.

        ``ahead_ms`` is how far to look ahead.
        """
        history = self._histories.get(run.key[:3])
        if history is None:
            return UNSEEN_LOAD
        load = history.peak(now_ms, ahead_ms)
        if ahead_ms and not history.is_known:
            load += UNKNOWN_RISE
        return load

    def rooms(
        self, worker: _fleet.Worker, now_ms: int, ahead_ms: int
    ) -> dict[str, float]:
        """Return the load that neighbours may add, by service image."""
        rooms: dict[str, float] = {}
        for run in worker.runs.values():
            if not run.spec.is_service or not run.spec.target_ms:
                continue
            own = self.own_load(run, now_ms, ahead_ms)
            room = self.limit(run) - own
            image = run.spec.image
            rooms[image] = min(room, rooms.get(image, room))
        return rooms

    def bound_beside(self, worker: _fleet.Worker, image: str) -> float:
        """Return the most that all filling tasks may add to an image."""
        return sum(
            self.weight_bound(image, run.spec.image)
            * planned_share(run, worker)
            for run in worker.runs.values()
            if run.spec.is_filling
        )

    def added_beside(self, worker: _fleet.Worker, image: str) -> float:
        """Return what the filling tasks at work add to a service image."""
        return sum(
            self.weight(image, run.spec.image) * planned_share(run, worker)
            for run in worker.runs.values()
            if run.spec.is_filling
        )

    def learned(self) -> LearnedPressure:
        """Return what has been learned with some certainty."""
        pairs = tuple(
            PairWeight(
                image=image,
                filling=filling,
                weight=round(weight.value, 2),
                variance=round(weight.variance, 4),
            )
            for (image, filling), weight in self._weights.items()
            if weight.variance < KNOWN_VARIANCE
        )
        return LearnedPressure(
            pairs=pairs,
            bases=dict(self._bases),
            period_ms=self._search.period_ms,
        )

    def restore(self, learned: LearnedPressure) -> None:
        """Take over what another owner has learned."""
        for pair in learned.pairs:
            self._weights[(pair.image, pair.filling)] = _Weight(
                pair.weight, pair.variance
            )
        self._bases.update(learned.bases)
        if learned.period_ms is not None:
            self._search.add(learned.period_ms)

    def forget_job(self, job: str) -> None:
        """Drop what is known of the load of a job."""
        for key in [key for key in self._histories if key[0] == job]:
            del self._histories[key]


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
