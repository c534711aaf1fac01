"""Limit the starts on workers whose failure domain was taken back.

They are empty, so that every waiting task would go there at once, and they may
be cold: work on them is slow at first. The starts that a worker may have had
since the return grow with the square of the time.
"""

from oriolestand_policy.scheduling import _cell
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _run_numbers

MIN_RAMP_MS = 5_000
"""Time after the return from which starts on a worker are not limited."""

MAX_RAMP_MS = 30_000
"""Longest such time, whatever the entry of a worker says."""

RAMP_STARTS = 100
"""Starts that a worker may have had when its limit ends. Workers have room for
fewer tasks, so that the limit ends without a step."""


def ramp_ms(info: _fleet.WorkerInfo) -> int:
    """Return for how long after the return the starts are limited."""
    return min(MAX_RAMP_MS, max(MIN_RAMP_MS, info.warm_up_ms))


def allowed_starts(elapsed_ms: int, length_ms: int) -> int:
    """Return how many starts a worker may have had since the return.

    >>> [allowed_starts(t, 5_000) for t in (0, 500, 1_000, 2_000, 5_000)]
    [1, 2, 5, 17, 101]
    """
    return 1 + RAMP_STARTS * elapsed_ms * elapsed_ms // (length_ms * length_ms)


class ReturnRamp:
    """Limits of the starts on the workers of a cell."""

    def __init__(self, cell: _cell.Cell) -> None:
        self._cell = cell
        self._are_starts_limited = False

    def update(self, now_ms: int) -> None:
        """Set how many starts each worker may get in a round."""
        if not self._cell.returned_ms and not self._are_starts_limited:
            return
        self._are_starts_limited = False
        for worker in self._cell.workers.values():
            starts_left = self._starts_left(worker, now_ms)
            if starts_left != worker.starts_left:
                worker.starts_left = starts_left
                # Placement keeps what it has calculated for a version.
                worker.version += 1
            if starts_left is None:
                worker.starts_since_return = 0
            else:
                self._are_starts_limited = True

    def _starts_left(self, worker: _fleet.Worker, now_ms: int) -> int | None:
        """Return how many starts a worker may get, None if not limited."""
        domain = worker.info.failure_domain
        returned_ms = self._cell.returned_ms.get(domain)
        length_ms = ramp_ms(worker.info)
        if returned_ms is None or worker.is_evacuated:
            return None
        if now_ms - returned_ms >= length_ms:
            return None
        allowed = allowed_starts(max(0, now_ms - returned_ms), length_ms)
        started = worker.starts_since_return
        started += self._adopted_count(worker, returned_ms)
        return max(0, allowed - started)

    def _adopted_count(self, worker: _fleet.Worker, returned_ms: int) -> int:
        """Return how many runs of former owners were adopted since a return.

        Former owners may have started them since then, and what they started
        counts as well. Those from before the evacuation only delay starts.
        """
        first_number = _run_numbers.first_of(self._cell.epoch)
        return sum(
            run.since_ms >= returned_ms and run.number < first_number
            for run in worker.runs.values()
        )
