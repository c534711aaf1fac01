"""Estimate how much filling tasks slow the service tasks beside them.

The tail latency of a service task grows as ``base / (1 - load)``, so its
load is ``1 - base / tail``. That load comes from the task's own requests (its
intrinsic load) and from its neighbours. All tasks of a service job have the
same intrinsic load at a time, so any excess of one task over the forecast
for the job is attributed to its neighbours. How much load a filling image
adds to a service image differs widely by pair. A Kalman filter, which treats
the weights of pairs as independent, estimates it.
"""

import dataclasses
import math

from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _forecast

PRIOR_WEIGHT = 0.5
"""Prior for the load that a filling task adds when it uses a whole worker.
Most pairs add a tenth of the share that they use, one in four adds twice the
share."""

PRIOR_VARIANCE = 0.64
PROCESS_NOISE = 0.00002
"""Variance added to a weight with each report, as interference changes slowly.
"""

SAFETY_DEVIATIONS = 1.5
"""Number of standard deviations added to an uncertain weight for placement."""

CONVERGED_DEVIATION = 0.15
"""Standard deviation of a weight after many reports."""

CONVERGED_VARIANCE = 0.09
"""Variance below which a weight counts as converged: pairs with little
interference (a weight of 0.1) and with much (2) can then be told apart."""

MIN_SAVED_CHANGE = 0.3
"""Smallest change of a weight that is worth a write to the store."""

LOAD_NOISE = 0.1
"""Standard deviation of measured loads that the model does not explain."""

TAIL_NOISE = 0.7
"""Standard deviation of a reported tail latency from rounding, in
milliseconds."""

TARGET_MARGIN = 1.0
"""Share of the target that tail latencies should stay below; below 1 it
allows for the lag of reports."""

DEFAULT_LOAD = 0.6
"""Assumed load of a service task without history, near the usual peak."""

RISE_WITHOUT_FORECAST = 0.1
"""Rise in load within seconds to allow for while there is no forecast."""


@dataclasses.dataclass(slots=True)
class _Weight:
    """Estimate of the load that a pair adds, with its variance."""

    value: float = PRIOR_WEIGHT
    variance: float = PRIOR_VARIANCE

    @property
    def bound(self) -> float:
        """Return the weight to plan with, higher while it is uncertain."""
        excess_deviation = max(
            0.0, math.sqrt(self.variance) - CONVERGED_DEVIATION
        )
        return self.value + SAFETY_DEVIATIONS * excess_deviation


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PairWeight:
    """Estimated effect of a filling image on a service image.

    ``weight`` is the load that the filling image would add if it used all
    processors of a worker; ``variance`` is the variance of that estimate.
    """

    image: str
    filling: str
    weight: float
    variance: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LearnedPressure:
    """Learned model, stored so that the next owner need not learn it again.

    ``bases`` are the lowest tail latencies of service images, and
    ``period_ms`` is the period of their loads, both in milliseconds.
    """

    pairs: tuple[PairWeight, ...] = ()
    bases: dict[str, int] = dataclasses.field(default_factory=dict)
    period_ms: float | None = None

    def differs_significantly_from(self, other: 'LearnedPressure') -> bool:
        """Return whether the model differs enough to affect placement."""
        if self.bases != other.bases:
            return True
        if (self.period_ms is None) != (other.period_ms is None):
            return True
        other_weights = {(p.image, p.filling): p.weight for p in other.pairs}
        return any(
            abs(p.weight - other_weights.get((p.image, p.filling), -1.0))
            > MIN_SAVED_CHANGE
            for p in self.pairs
        )


class InterferenceModel:
    """Model of service load and of interference by filling tasks."""

    def __init__(self) -> None:
        self._weights: dict[tuple[str, str], _Weight] = {}
        self._bases: dict[str, int] = {}
        # Load histories by job, occurrence and step.
        self._histories: dict[tuple[str, int, int], _forecast.LoadHistory] = {}
        self._search = _forecast.PeriodSearch()

    def observe(self, worker: _fleet.Worker, now_ms: int) -> None:
        """Update the estimates from the latest report of a worker."""
        self._search.run(self._histories.values(), now_ms)
        shares: dict[str, float] = {}
        for run in worker.filling.values():
            if run.phase is _fleet.RunPhase.RUNNING:
                image = run.spec.image
                shares[image] = shares.get(image, 0.0) + _used_share(
                    run, worker
                )
        period_ms = self._search.period_ms
        filling = list(shares.items())
        for run in worker.services.values():
            if _is_serving(run):
                self._observe_run(run, filling, period_ms, now_ms)

    def _observe_run(
        self,
        run: _fleet.Run,
        filling: list[tuple[str, float]],
        period_ms: float | None,
        now_ms: int,
    ) -> None:
        """Update the estimates from the tail latency of one service task.

        ``filling`` are the filling images beside it and their shares.
        """
        load = self._observed_load(run)
        step_key = run.key[:3]
        history = self._histories.get(step_key)
        if history is None:
            history = self._histories[step_key] = _forecast.LoadHistory()
        # The load that neighbours are expected to add is not subtracted: a
        # weight that is too high would make the intrinsic load look low,
        # and so confirm itself.
        history.add(load, now_ms, period_ms)
        if not filling:
            return
        image = run.spec.image
        shares = [
            (self._weight_of((image, other)), share)
            for other, share in filling
        ]
        expected = 0.0
        for weight, share in shares:
            expected += weight.value * share
        excess = load - history.value(now_ms)
        self._update_weights(run, history, shares, excess - expected)

    def _weight_of(self, pair: tuple[str, str]) -> _Weight:
        """Return the weight of a pair, added if it is missing."""
        weight = self._weights.get(pair)
        if weight is None:
            weight = self._weights[pair] = _Weight()
        return weight

    def _observed_load(self, run: _fleet.Run) -> float:
        """Return the load that the tail latency of a service task implies."""
        image = run.spec.image
        tail = max(1, run.measured)
        base = min(self._bases.get(image, tail), tail)
        self._bases[image] = base
        return 1.0 - base / tail

    def _update_weights(
        self,
        run: _fleet.Run,
        history: _forecast.LoadHistory,
        shares: list[tuple[_Weight, float]],
        innovation: float,
    ) -> None:
        """Update the weights of the pairs observed together.

        ``history`` is that of the service task, and ``shares`` are the weight
        and the share of each filling image. ``innovation`` is the measured
        added load minus the expected one.
        """
        tail = max(1, run.measured)
        rounding = TAIL_NOISE * self._bases[run.spec.image] / (tail * tail)
        noise = LOAD_NOISE
        if not history.has_forecast:
            noise = RISE_WITHOUT_FORECAST + LOAD_NOISE
        noise = rounding * rounding + noise * noise
        variance = 0.0
        for weight, share in shares:
            variance += weight.variance * share * share
        total = noise + variance
        has_few_bins = history.has_few_bins
        for weight, share in shares:
            if has_few_bins and weight.variance < CONVERGED_VARIANCE:
                # With so little history, the intrinsic load may include the
                # load that neighbours add, so that a converged weight would
                # decay.
                continue
            gain = weight.variance * share / total
            weight.value = max(0.0, weight.value + gain * innovation)
            weight.variance = (
                1.0 - gain * share
            ) * weight.variance + PROCESS_NOISE

    def weight(self, image: str, filling: str) -> float:
        """Return the estimated load that a filling image adds to an image.

        The load is for a filling task that uses all processors of a worker.
        """
        found = self._weights.get((image, filling))
        return PRIOR_WEIGHT if found is None else found.value

    def weight_bound(self, image: str, filling: str) -> float:
        """Return the upper bound for ``weight`` to plan with."""
        found = self._weights.get((image, filling))
        return (_Weight() if found is None else found).bound

    def has_estimate(self, image: str, filling: str) -> bool:
        """Return whether the weight of a pair has converged."""
        found = self._weights.get((image, filling))
        return found is not None and found.variance < CONVERGED_VARIANCE

    def max_load(self, image: str, target_ms: int) -> float:
        """Return the highest load at which a task meets its latency target."""
        base = self._bases.get(image, 1)
        target = target_ms * TARGET_MARGIN
        return max(0.0, 1.0 - base / target) if target > 0 else 1.0

    def intrinsic_load(
        self, step_key: tuple[str, int, int], now_ms: int, ahead_ms: int
    ) -> float:
        """Return the highest intrinsic load expected within ``ahead_ms``.

        ``step_key`` is the job, occurrence and step of a service task.
        """
        history = self._histories.get(step_key)
        if history is None:
            return DEFAULT_LOAD
        load = history.peak(now_ms, ahead_ms)
        if ahead_ms and not history.has_forecast:
            load += RISE_WITHOUT_FORECAST
        return load

    def headrooms(
        self, worker: _fleet.Worker, now_ms: int, ahead_ms: int
    ) -> dict[str, float]:
        """Return the load that neighbours may add, by service image.

        The headroom is what the highest intrinsic load that is expected
        within ``ahead_ms`` leaves below the limit.
        """
        headrooms: dict[str, float] = {}
        for run in worker.services.values():
            if not run.spec.target_ms:
                continue
            intrinsic = self.intrinsic_load(run.key[:3], now_ms, ahead_ms)
            image = run.spec.image
            headroom = self.max_load(image, run.spec.target_ms) - intrinsic
            headrooms[image] = min(headroom, headrooms.get(image, headroom))
        return headrooms

    def added_load(self, worker: _fleet.Worker, image: str) -> float:
        """Return the estimated load that filling tasks add, at their pace."""
        return sum(
            self.weight(image, run.spec.image) * planned_share(run, worker)
            for run in worker.filling.values()
        )

    def learned(self) -> LearnedPressure:
        """Return the converged estimates."""
        pairs = tuple(
            PairWeight(
                image=image,
                filling=filling,
                weight=round(weight.value, 2),
                variance=round(weight.variance, 4),
            )
            for (image, filling), weight in self._weights.items()
            if weight.variance < CONVERGED_VARIANCE
        )
        return LearnedPressure(
            pairs=pairs,
            bases=dict(self._bases),
            period_ms=self._search.period_ms,
        )

    def restore(self, learned: LearnedPressure) -> None:
        """Load the estimates that a former owner stored."""
        for pair in learned.pairs:
            self._weights[(pair.image, pair.filling)] = _Weight(
                pair.weight, pair.variance
            )
        self._bases.update(learned.bases)
        if learned.period_ms is not None:
            self._search.add(learned.period_ms)

    def remove_job(self, job: str) -> None:
        """Remove the load histories of a job."""
        for key in [key for key in self._histories if key[0] == job]:
            del self._histories[key]


def _is_serving(run: _fleet.Run) -> bool:
    """Return whether a service task serves requests."""
    return (
        run.phase is _fleet.RunPhase.RUNNING
        and run.percent == 100
        and run.measured > 0
    )


def _used_share(run: _fleet.Run, worker: _fleet.Worker) -> float:
    """Return the share of a worker's processors that a run uses now."""
    return worker.capacity.share(run.measured)


def planned_share(run: _fleet.Run, worker: _fleet.Worker) -> float:
    """Return the share of processors that a run requests, at its pace."""
    return worker.capacity.paced_share(run.spec.cpu, run.pace)
