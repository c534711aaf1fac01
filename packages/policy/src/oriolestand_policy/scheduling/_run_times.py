"""Learn how long the tasks of a route run, from their declared estimates.

This answers overload with estimates that are far off: the objective of a job
and the time that it still needs follow from them, and so does the order in
which jobs are started. For tasks whose declared estimates vary by a factor of
2.8 and whose run times vary by 1.5, a declared estimate mostly tells noise.
"""

import dataclasses
import math
from typing import NamedTuple

from oriolestand_policy.scheduling import _specs

PRIOR_TASKS = 8.0
"""Number of observed steps that outweigh the declared estimates."""

PRIOR_VARIANCE = 0.5
"""Variance of the logarithm of estimates that the prior stands for."""

MAX_STEPS = 300.0
"""Number of observed steps that count; older ones fade out."""

MIN_TIME_MS = 1
REVISION_GROWTH = 1.25
"""The estimates are revised when the observations have grown by this factor,
as each revision calculates the times of all waiting jobs anew."""

_Key = tuple[str, _specs.TaskKind]


@dataclasses.dataclass(slots=True)
class _Regression:
    """Regression of the logarithm of run times on that of estimates.

    The prior is that run times equal the estimates. ``count`` is the number
    of observed steps; the other fields are weighted means and central sums.
    """

    count: float = 0.0
    mean_estimate: float = 0.0
    mean_time: float = 0.0
    variance_sum: float = 0.0
    covariance_sum: float = 0.0

    def add(self, estimate: float, time: float, weight: float) -> None:
        """Add an observation of logarithms."""
        if self.count + weight > MAX_STEPS:
            fade = (MAX_STEPS - weight) / self.count
            self.count *= fade
            self.variance_sum *= fade
            self.covariance_sum *= fade
        self.count += weight
        share = weight / self.count
        from_mean = estimate - self.mean_estimate
        time_from_mean = time - self.mean_time
        self.mean_estimate += share * from_mean
        self.mean_time += share * time_from_mean
        self.variance_sum += (
            weight * from_mean * (estimate - self.mean_estimate)
        )
        self.covariance_sum += weight * from_mean * (time - self.mean_time)

    def line(self) -> '_Line':
        """Return the expected run times at present."""
        prior = PRIOR_TASKS * PRIOR_VARIANCE
        # Noise must not order jobs against their estimates, nor more strongly.
        slope = min(
            1.0,
            max(
                0.0,
                (self.covariance_sum + prior) / (self.variance_sum + prior),
            ),
        )
        trust = self.count / (self.count + PRIOR_TASKS)
        offset = trust * (self.mean_time - self.mean_estimate)
        return _Line(self.mean_estimate, self.mean_estimate + offset, slope)


class _Line(NamedTuple):
    """Logarithm of the expected run time, by that of the estimate."""

    estimate: float
    time: float
    slope: float

    def predict(self, estimate: float) -> float:
        """Return the logarithm of the expected run time."""
        return self.time + self.slope * (estimate - self.estimate)


class RunTimeModel:
    """Expected run times by route and kind of task.

    Expected run times change only together with ``revision``, so that what
    follows from them can be kept until then.
    """

    def __init__(self) -> None:
        self._regressions: dict[_Key, _Regression] = {}
        self._lines: dict[_Key, _Line] = {}
        self._next_revision_count = 1.0
        self._total = 0.0
        self.revision = 0

    def observe(self, route: str, spec: _specs.StepSpec, time_ms: int) -> None:
        """Add the run time of one task of a step, at full pace."""
        if spec.estimate_ms <= 0:
            return
        key = (route, spec.kind)
        # The tasks of a step take nearly the same time, so that together they
        # count as one observation.
        weight = 1.0 / max(1, spec.count)
        self._regressions.setdefault(key, _Regression()).add(
            math.log(spec.estimate_ms),
            math.log(max(MIN_TIME_MS, time_ms)),
            weight,
        )
        self._total += weight
        if self._total >= self._next_revision_count:
            self._next_revision_count = min(
                self._total * REVISION_GROWTH, self._total + MAX_STEPS
            )
            self.revision += 1
            self._lines = {
                key: found.line() for key, found in self._regressions.items()
            }

    def expected_ms(self, route: str, spec: _specs.StepSpec) -> int:
        """Return the expected run time of a task of a step."""
        line = self._lines.get((route, spec.kind))
        if line is None or spec.estimate_ms <= 0:
            return spec.estimate_ms
        return round(math.exp(line.predict(math.log(spec.estimate_ms))))
