"""Account of the processors of workers, as it is reported to operators."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Figures:
    """Account of the processors of one or more workers.

    ``size_cpu`` and ``overcommitted_cpu`` equal the sum of
    ``busy_service_cpu``, ``plain_cpu`` (plain and gang tasks),
    ``paced_filling_cpu`` and ``idle_cpu``. Services count as busy, filling
    tasks at their pace. Plain tasks displace filling ones, so that a worker
    may be overcommitted until these end. ``largest_idle_cpu`` is that of one
    worker, less ``kept_cpu``, which is kept for waiting filling tasks.
    ``reserved_cpu`` is reserved for other waiting tasks, free or not yet.
    ``free_cpu`` and ``largest_free_cpu`` are what plain, gang and service
    tasks have not requested, ``filling_cpu`` is the request of filling tasks.
    """

    size_cpu: int = 0
    busy_service_cpu: int = 0
    plain_cpu: int = 0
    paced_filling_cpu: int = 0
    idle_cpu: int = 0
    overcommitted_cpu: int = 0
    largest_idle_cpu: int = 0
    reserved_cpu: int = 0
    kept_cpu: int = 0
    free_cpu: int = 0
    largest_free_cpu: int = 0
    filling_cpu: int = 0

    @property
    def is_balanced(self) -> bool:
        """Return whether the parts add up to the size."""
        parts = self.busy_service_cpu + self.plain_cpu
        parts += self.paced_filling_cpu + self.idle_cpu
        return parts == self.size_cpu + self.overcommitted_cpu
