"""Limit the work that a round spends on filling tasks that fit nowhere."""

from collections.abc import Hashable

MAX_FAILED_FIT_CHECKS_PER_ROUND = 3_000
"""Maximum number of fit checks, one per worker, that a round spends on filling
tasks that fit on no worker. Under overload hundreds of jobs wait, so that
without a limit a round would take too long."""


class FitBudget:
    """Choose the filling tasks to examine, by classes of equal demands.

    A round that reaches the limit is followed by one that passes over the
    classes that were examined before. Otherwise the most urgent tasks would
    use up each round, and others would wait although they fit. Every other
    round begins with the most urgent tasks again.
    """

    def __init__(self) -> None:
        self._examined: set[Hashable] = set()
        self._is_continuing = False
        self._is_exhausted = False
        self._failures_left = 0

    def begin_round(self, worker_count: int) -> None:
        """Start a round with the full limit."""
        # A failed placement checks every worker.
        self._failures_left = MAX_FAILED_FIT_CHECKS_PER_ROUND // max(
            1, worker_count
        )
        self._is_exhausted = False

    def allows(self, demand_class: Hashable) -> bool:
        """Return whether to examine the tasks of a class in this round."""
        if self._failures_left < 0:
            self._is_exhausted = True
            return False
        return not (self._is_continuing and demand_class in self._examined)

    def on_failed(self, demand_class: Hashable) -> None:
        """Count a class of which no task fits."""
        self._failures_left -= 1
        self._examined.add(demand_class)

    def end_round(self) -> None:
        """Decide where the next round begins."""
        if self._is_exhausted:
            self._is_continuing = not self._is_continuing
            return
        self._is_continuing = False
        self._examined.clear()
