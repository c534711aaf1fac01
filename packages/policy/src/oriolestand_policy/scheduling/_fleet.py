"""Hold what is known of the workers and of what runs on them."""

import dataclasses
import enum

from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _specs

CLOCK_RATE_NUM = 98
CLOCK_RATE_DEN = 100
"""A worker's clock may be 2% slow."""


class RunPhase(enum.Enum):
    """Name what is known of a run.

    STARTING: the order was sent. IN_DOUBT: it got no answer. RUNNING: the
    worker lists it. STOPPING: a stop was sent, the end is not listed yet.
    """

    STARTING = 'starting'
    IN_DOUBT = 'in_doubt'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Hold one run that may take capacity of a worker."""

    key: _jobs.TaskKey
    number: int
    spec: _specs.StepSpec
    phase: RunPhase
    since_ms: int
    is_stop_settled: bool = False
    stop_sent_ms: int = -1
    percent: int = 0
    percent_ms: int = 0
    measured: int = 0
    pace: int = 100
    paced_ms: int = 0
    over_since_ms: int = -1
    missing_looks: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """Describe one life of a worker, as it says of itself."""

    id: str
    pool: str
    address: str
    failure_domain: str
    cpu: int
    memory_mb: int
    accelerators: int = 0
    labels: frozenset[str] = frozenset()
    rack: str = ''
    is_leaving: bool = False
    born_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Worker:
    """Hold a worker; ``runs`` is all that may take its capacity.

    A worker is recorded once the store has it in the list that a successor
    of the owner reads: nothing may be started on it before.
    """

    info: WorkerInfo
    runs: dict[tuple[_jobs.TaskKey, int], Run] = dataclasses.field(
        default_factory=dict
    )
    is_probed: bool = False
    is_recorded: bool = False
    is_listed: bool = True
    seen_ms: int = -1
    clock_ms: int = 0
    lease_end_ms: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    used_accelerators: int = 0
    filling_cpu: int = 0
    service_cpu: int = 0
    recent_failures: int = 0
    avoid_until_ms: int = 0
    relieved_ms: int = 0

    def clock_at_least(self, now_ms: int) -> int:
        """Return a lower bound of the worker's clock."""
        if self.seen_ms < 0:
            return 0
        passed = now_ms - self.seen_ms
        return self.clock_ms + passed * CLOCK_RATE_NUM // CLOCK_RATE_DEN

    def is_lease_over(self, now_ms: int, margin_ms: int) -> bool:
        """Return whether all that ran here has certainly been ended."""
        return self.clock_at_least(now_ms) > self.lease_end_ms + margin_ms

    def add(self, run: Run) -> None:
        """Count a run against the capacity."""
        self.runs[(run.key, run.number)] = run
        self._count(run, 1)

    def drop(self, run: Run) -> None:
        """Give back the capacity of a run."""
        if self.runs.pop((run.key, run.number), None) is not None:
            self._count(run, -1)

    def _count(self, run: Run, sign: int) -> None:
        """Add or subtract what a run takes."""
        spec = run.spec
        if spec.is_filling:
            self.filling_cpu += sign * spec.cpu
        else:
            self.used_cpu += sign * spec.cpu
        if spec.is_service:
            self.service_cpu += sign * spec.cpu
        self.used_memory += sign * spec.memory_mb
        self.used_accelerators += sign * spec.accelerators

    def fits(self, spec: _specs.StepSpec) -> bool:
        """Return whether a task fits beside all that may run here."""
        info = self.info
        cpu = 0 if spec.is_filling else spec.cpu
        return (
            self.used_cpu + cpu <= info.cpu
            and self.used_memory + spec.memory_mb <= info.memory_mb
            and self.used_accelerators + spec.accelerators <= info.accelerators
        )

    def can_ever_run(self, spec: _specs.StepSpec) -> bool:
        """Return whether a task would fit on the empty worker."""
        info = self.info
        return (
            spec.cpu <= info.cpu
            and spec.memory_mb <= info.memory_mb
            and spec.accelerators <= info.accelerators
            and (not spec.label or spec.label in info.labels)
        )
