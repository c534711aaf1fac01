"""Remember lost workers until it is known how they ended.

A worker that nobody hears of may have crashed, or be cut off and run on. Only
another incarnation, under its id or at its address, tells that it has ended.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from oriolestand_policy.scheduling import _crashes
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _jobs

MAX_LOST_WORKERS = 1_000
"""Most workers that are remembered; the oldest are forgotten."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LostWorker:
    """A worker that was given up, and the tasks that its end counts against.

    ``process_start_ms`` is when its process started, 0 if unknown.
    """

    id: str
    address: str
    process_start_ms: int
    suspects: Mapping[_jobs.TaskKey, _crashes.Suspect]

    def has_ended_before(self, info: _fleet.WorkerInfo) -> bool:
        """Return whether a worker shows that this one has ended."""
        if info.id != self.id:
            return True
        return 0 < self.process_start_ms < info.process_start_ms


class LostWorkers:
    """Lost workers on which tasks had just started."""

    def __init__(self) -> None:
        self._by_id: dict[str, LostWorker] = {}

    def add(self, lost: LostWorker) -> None:
        """Remember a worker and add to what is known of it."""
        known = self._by_id.pop(lost.id, None)
        if known is not None:
            lost = dataclasses.replace(
                lost,
                suspects={**known.suspects, **lost.suspects},
            )
        self._by_id[lost.id] = lost
        if len(self._by_id) > MAX_LOST_WORKERS:
            del self._by_id[next(iter(self._by_id))]

    def take(self, info: _fleet.WorkerInfo) -> Iterator[LostWorker]:
        """Yield and forget the workers that a registered one tells of.

        These are the former incarnations under its id and at its address.
        """
        for lost in list(self._by_id.values()):
            if lost.id == info.id or lost.address == info.address:
                del self._by_id[lost.id]
                yield lost
