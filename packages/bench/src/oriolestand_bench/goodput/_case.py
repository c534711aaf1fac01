"""What a run simulates."""

import dataclasses
import enum

from oriolestand_bench import _workers
from oriolestand_bench.goodput import _goodput_workers
from oriolestand_bench.goodput import _traffic

SERVICE_CLAIM = 0.8
"""Share of all processors that services request."""

SERVICE_CPU = 13_000
SERVICE_TASKS = 6
LOAD_MS = 40_000
COUNTED_AFTER_MS = 30_000
GONE_SHARE = 0.25
GONE_MS = 9_000
WIDE_FLEET = 200
WIDE_FACTOR = 5
"""Factor of the width of steps in fleets of at least ``WIDE_FLEET``."""


class Setting(enum.StrEnum):
    """What happens in the middle of the load.

    CALM: nothing. GONE: a quarter of the workers crash, and start again after
    ``GONE_MS``. NEW_OWNER: another daemon takes over the cell.
    """

    CALM = 'calm'
    GONE = 'workers gone'
    NEW_OWNER = 'new owner'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """What a run simulates; ``load`` is a multiple of the room.

    With ``are_images_calm`` no filling image slows service tasks strongly.
    """

    workers: int
    load: float
    setting: Setting = Setting.CALM
    seed: int = 1
    load_ms: int = LOAD_MS
    are_images_calm: bool = False

    @property
    def width_factor(self) -> int:
        """Return the factor of the width of steps."""
        return WIDE_FACTOR if self.workers >= WIDE_FLEET else 1

    @property
    def service_jobs(self) -> int:
        """Return the number of service jobs."""
        cpu = SERVICE_CLAIM * self.workers * _workers.WORKER_CPU
        return round(cpu / (SERVICE_TASKS * SERVICE_CPU))

    @property
    def room(self) -> float:
        """Return the cores that services leave idle on average."""
        claimed = self.service_jobs * SERVICE_TASKS * SERVICE_CPU
        load = claimed * _goodput_workers.MEAN_SERVICE_LOAD
        return (self.workers * _workers.WORKER_CPU - load) / 1_000

    def plan(
        self, part: str, load: float, duration_ms: int
    ) -> list[_traffic.PlannedJob]:
        """Return the jobs of a part of the run."""
        return _traffic.plan(
            f'{self.seed}/{part}',
            load * self.room,
            duration_ms,
            self.width_factor,
        )
