"""State of the workers of a cell and of the runs on them."""

from collections.abc import Iterable
import dataclasses
import enum

from oriolestand_policy.scheduling import _amounts
from oriolestand_policy.scheduling import _capacity
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _specs

LEASE_MARGIN_MS = 500
"""Time allowed for a worker to end its runs after its lease has expired."""

CLOCK_RATE_NUM = 98
CLOCK_RATE_DEN = 100
"""Slowest rate of a worker's clock, as a fraction: up to 2% slow."""


MAX_REPORT_AGE_MS = 2_500
"""A worker whose last report is older than this gets no new tasks, unless
the owner polls it later than usual."""


NOTHING_DESCRIBED = -1
"""Start time in place of that of an entry if none has been read."""


class RunPhase(enum.Enum):
    """Phases of a run, as far as the owner can tell.

    STARTING: the start order was sent. IN_DOUBT: the start order was not
    answered. RUNNING: the worker confirmed or listed the run. STOPPING: the
    worker answered a stop order but has not reported the end yet.
    """

    STARTING = 'starting'
    IN_DOUBT = 'in_doubt'
    RUNNING = 'running'
    STOPPING = 'stopping'


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """A run that occupies, or may occupy, capacity of a worker.

    ``since_ms`` is when the run entered its phase. ``is_stop_settled`` is
    whether the worker answered a stop order, and ``stop_sent_ms`` is when one
    was last sent, -1 if never. ``percent`` (the progress) and ``measured``
    are the last values of ``RunReport``. ``progress_changed_ms`` and
    ``paced_ms`` are when the progress and the pace last changed, and
    ``progress_clock_ms`` is the worker's clock in the first report with the
    present progress. ``first_percent`` is the progress that it began with, -1
    if none was reported, and ``stalls`` counts the runs of the task before it
    that were stopped as stalled.
    ``over_since_ms`` is since when the tail latency has exceeded its target,
    -1 if it does not. ``is_pace_in_doubt`` is whether the worker may not have
    received the last pace, or may apply an earlier one after it.
    ``missed_polls`` counts consecutive reports that omit the run.
    ``is_proven`` is whether a report showed that the worker survived it for
    longer than a task takes to crash a worker. ``is_sent`` is whether the
    worker may have received the start order, which can wait for a record to
    be written and for a connection. ``has_begun`` is whether a worker has
    answered the start or listed the run, so that it has certainly read the
    order. ``is_whole`` is whether this owner has
    started the run without a checkpoint, so that it lasts as long as the task.
    ``is_reported`` is whether the present incarnation of the worker has listed
    the run, and ``is_confirmed`` whether that, or its clock in the answer to
    the start, shows that it has begun the run. ``doubt_ms`` is when the start
    was given up without an answer, -1 if it was not. ``pending_crash`` is the
    crash of an earlier incarnation that counts against the task unless the
    present one has the run.
    """

    key: _jobs.TaskKey
    number: int
    spec: _specs.StepSpec
    phase: RunPhase
    since_ms: int
    is_stop_settled: bool = False
    stop_sent_ms: int = -1
    percent: int = 0
    progress_changed_ms: int = 0
    progress_clock_ms: int = 0
    first_percent: int = -1
    stalls: int = 0
    measured: int = 0
    pace: int = _capacity.FULL_PACE
    paced_ms: int = 0
    is_pace_in_doubt: bool = False
    over_since_ms: int = -1
    missed_polls: int = 0
    is_proven: bool = False
    is_sent: bool = False
    has_begun: bool = False
    is_whole: bool = False
    is_reported: bool = False
    is_confirmed: bool = False
    doubt_ms: int = -1
    pending_crash: _jobs.Crash | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerInfo:
    """Attributes that one incarnation of a worker reports of itself.

    ``warm_up_ms`` is for how long it expected to be slow after its start.
    """

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
    process_start_ms: int = 0
    warm_up_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Worker:
    """A worker; ``runs`` holds all runs that may occupy its capacity.

    ``services`` and ``filling`` are the service tasks and the filling tasks
    among the runs, in the same order. ``services_version`` counts the changes
    of ``services``. Only ``add`` and ``drop`` change them.
    ``is_probed`` is whether the worker has reported to this owner,
    ``are_runs_known`` whether one of its reports listed all ends, and
    ``is_listed`` whether it is registered. ``is_recorded`` is whether the
    store holds the worker in the list that the next owner reads. No task may
    be started on it before, as the next owner would not poll it.
    ``failed_tasks`` are the tasks that failed on the worker recently, and
    when. It is excluded until ``avoid_until_ms``, for failed or stalled runs,
    unless ``is_readmitted``, and until ``backoff_until_ms``, as it rejected a
    start order. ``capacity`` is the account of its size and of what runs and
    waiting tasks take of it; ``update_info`` and the methods that change runs
    keep it up to date.
    ``lease_end_ms`` is when its lease ends at the latest, and
    ``requested_end_ms`` the latest end that this owner has requested, 0 if
    none. ``leased_ms`` is when a lease was last requested, -1 if none was.
    ``unreachable_ms`` is when the first poll since the last report failed, -1
    if none did. ``failed_polls`` counts those polls, and ``polled_ms`` is when
    the last poll was sent. A report older than ``max_report_age_ms`` shows
    that the worker is silent. ``is_on_probation`` is whether it is kept for a
    suspect, so that no other task starts beside it. ``version`` counts the
    changes that the selection of workers depends on. ``is_evacuated`` is
    whether its failure domain is evacuated, so that it gets no new tasks.
    ``starts_left`` is how many starts it may get in the round, None if that is
    not limited, and ``starts_since_return`` how many it has had since its
    domain was taken back. ``kept_for`` is the
    filling task that idle processors are kept for.
    ``hidden_runs`` is how many runs the last report lists that cannot be read
    and may be an owner's, and ``foreign_runs`` how many that are none, as they
    outlived a lease. While ``is_lapsing``, no lease is requested.
    ``announced`` is the entry of another incarnation that no report has shown
    yet, and ``refuted`` one that a report has shown to be wrong. The last poll
    before ``announced`` was read was sent at ``announced_after_ms``.
    ``polled_address`` is where the last poll was sent to.
    ``entry`` is the last entry that was read, and ``described_ms`` the start
    time in the one that ``info`` is from, ``NOTHING_DESCRIBED`` if there is
    none. ``tells_start`` is whether the reports of this incarnation have a
    start time, and ``is_entry_trusted`` whether entries with another one
    describe it all the same. ``undescribed_ms`` is when a poll showed that it
    is not described, -1 if it is.
    Polls that are sent after ``fenced_after_ms`` make the worker refuse orders
    that were sent before, which may be for its former incarnation; it is -1 if
    there are none or if such a poll has been answered.
    ``report_sent_ms`` is when the poll of the last report was sent.
    ``other_lease_over_ms`` is when the lease is over that was begun with an
    answered start, by whichever incarnation, on the owner's clock, and
    ``doubted_ms`` when the clock in such an answer last showed that it is not
    the known one; they are -1 if there is no such answer.
    ``former`` is the incarnation before, ``answered_ms`` when this one last
    answered a poll, and ``claimed_ms`` when the former one did so after it, -1
    if it did not or is gone.
    ``is_report_arriving`` is whether the first part of a report has arrived,
    and ``has_awaited_report`` whether one that had begun has not come in full
    since the last report.
    """

    info: WorkerInfo
    runs: dict[tuple[_jobs.TaskKey, int], Run] = dataclasses.field(
        default_factory=dict
    )
    services: dict[tuple[_jobs.TaskKey, int], Run] = dataclasses.field(
        init=False, default_factory=dict
    )
    filling: dict[tuple[_jobs.TaskKey, int], Run] = dataclasses.field(
        init=False, default_factory=dict
    )
    services_version: int = dataclasses.field(init=False, default=0)
    is_probed: bool = False
    are_runs_known: bool = False
    is_recorded: bool = False
    is_listed: bool = True
    last_report_ms: int = -1
    clock_ms: int = 0
    lease_end_ms: int = 0
    requested_end_ms: int = 0
    leased_ms: int = -1
    failed_tasks: dict[_jobs.TaskKey, int] = dataclasses.field(
        default_factory=dict
    )
    avoid_until_ms: int = 0
    is_readmitted: bool = False
    backoff_until_ms: int = 0
    mitigated_ms: int = 0
    unreachable_ms: int = -1
    failed_polls: int = 0
    polled_ms: int = -1
    max_report_age_ms: int = MAX_REPORT_AGE_MS
    is_on_probation: bool = False
    version: int = 0
    is_evacuated: bool = False
    starts_left: int | None = None
    starts_since_return: int = 0
    kept_for: _jobs.Task | None = None
    hidden_runs: int = 0
    foreign_runs: int = 0
    is_lapsing: bool = False
    announced: WorkerInfo | None = None
    announced_after_ms: int = -1
    refuted: WorkerInfo | None = None
    polled_address: str = ''
    entry: WorkerInfo | None = None
    described_ms: int | None = None
    tells_start: bool = False
    is_start_missing: bool = False
    is_entry_trusted: bool = False
    undescribed_ms: int = -1
    fenced_after_ms: int = -1
    report_sent_ms: int = -1
    other_lease_over_ms: int = -1
    doubted_ms: int = -1
    former: 'Worker | None' = None
    answered_ms: int = -1
    claimed_ms: int = -1
    is_report_arriving: bool = False
    has_awaited_report: bool = False
    capacity: _capacity.Capacity = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Start an account of the worker's size."""
        info = self.info
        if self.described_ms is None:
            self.described_ms = info.process_start_ms
            self.entry = info
        self.capacity = _capacity.Capacity(
            cpu=info.cpu,
            memory_mb=info.memory_mb,
            accelerators=info.accelerators,
        )

    @property
    def recent_failures(self) -> int:
        """Return the number of tasks that failed on the worker recently."""
        return len(self.failed_tasks)

    @property
    def is_mixed(self) -> bool:
        """Return whether filling tasks may disturb service tasks here."""
        return self.capacity.is_mixed

    @property
    def has_slow_service(self) -> bool:
        """Return whether a service task exceeds its target."""
        return any(run.over_since_ms >= 0 for run in self.runs.values())

    @property
    def has_missing_runs(self) -> bool:
        """Return whether the last report omits a run that may have ended."""
        return any(run.missed_polls for run in self.runs.values())

    @property
    def is_polled_late(self) -> bool:
        """Return whether a busy owner polls the worker later than usual."""
        return self.max_report_age_ms > MAX_REPORT_AGE_MS

    @property
    def is_in_doubt(self) -> bool:
        """Return whether another incarnation may answer for this one."""
        return (
            self.announced is not None
            or self.doubted_ms >= 0
            or self.claimed_ms >= 0
        )

    @property
    def is_described(self) -> bool:
        """Return whether ``info`` is the description of this incarnation.

        Another one may have had other labels, or another size or pool.
        """
        return (
            not self.tells_start
            or self.is_entry_trusted
            or self.described_ms == self.info.process_start_ms
        )

    @property
    def poll_address(self) -> str:
        """Return where to send the next poll.

        While an entry is in doubt, polls that fail go to both addresses.
        """
        if self.announced is not None and self.failed_polls % 2:
            return self.announced.address
        return self.info.address

    def min_clock_ms(self, now_ms: int) -> int:
        """Return a lower bound of the worker's clock at present."""
        if self.last_report_ms < 0:
            return 0
        passed = now_ms - self.last_report_ms
        if passed < 0:
            return self.clock_ms + passed
        return self.clock_ms + passed * CLOCK_RATE_NUM // CLOCK_RATE_DEN

    def max_clock_ms(self, now_ms: int) -> int:
        """Return an upper bound of the worker's clock at present."""
        passed = now_ms - self.report_sent_ms
        return self.clock_ms + passed * CLOCK_RATE_DEN // CLOCK_RATE_NUM

    def is_lease_expired(self, now_ms: int, margin_ms: int) -> bool:
        """Return whether the lease and all runs have certainly ended."""
        return self.min_clock_ms(now_ms) > self.lease_end_ms + margin_ms

    def lease_over_ms(self, margin_ms: int) -> int:
        """Return from when on ``is_lease_expired`` holds without reports."""
        left_ms = self.lease_end_ms + margin_ms - self.clock_ms
        return self.last_report_ms + max(
            0, -(-(left_ms + 1) * CLOCK_RATE_DEN // CLOCK_RATE_NUM)
        )

    def update_info(self, info: WorkerInfo) -> None:
        """Set the attributes that the worker reports of itself."""
        self.info = info
        self.capacity.resize(info.cpu, info.memory_mb, info.accelerators)

    def add(self, run: Run) -> None:
        """Add a run and its use of capacity."""
        run_key = (run.key, run.number)
        self.runs[run_key] = run
        if run.spec.is_service:
            self.services[run_key] = run
            self.services_version += 1
        if run.spec.is_filling:
            self.filling[run_key] = run
        self.capacity.add(run.spec, run.pace)
        self.version += 1

    def drop(self, run: Run) -> None:
        """Remove a run and its use of capacity."""
        run_key = (run.key, run.number)
        if self.runs.pop(run_key, None) is None:
            return
        if self.services.pop(run_key, None) is not None:
            self.services_version += 1
        self.filling.pop(run_key, None)
        self.capacity.add(run.spec, run.pace, sign=-1)
        self.version += 1

    def set_pace(self, run: Run, pace: int) -> None:
        """Set the pace in percent of a run on the worker."""
        self.capacity.change_pace(run.spec, run.pace, pace)
        run.pace = pace
        self.version += 1

    def count_start(self) -> None:
        """Count a start, if starts are limited since a return."""
        if self.starts_left is not None:
            self.starts_left = max(0, self.starts_left - 1)
            self.starts_since_return += 1

    def reserve(self, spec: _specs.StepSpec) -> None:
        """Keep capacity free for a waiting task."""
        self.capacity.reserve(spec)
        self.version += 1

    def unreserve(self, spec: _specs.StepSpec) -> None:
        """Return the capacity that was kept free for a task."""
        self.capacity.reserve(spec, sign=-1)
        self.version += 1

    def keep_for(self, task: _jobs.Task | None) -> None:
        """Keep idle processors for a filling task, or for none."""
        is_new = self.capacity.keep(task.spec if task is not None else None)
        if is_new or task is not self.kept_for:
            self.version += 1
            self.kept_for = task

    def shortage(
        self, spec: _specs.StepSpec, *, is_kept: bool = False
    ) -> _obstacles.Obstacle | None:
        """Return what a task lacks beside the runs and reservations.

        ``is_kept`` is whether idle processors are kept for this task.
        """
        if self.starts_left is not None and self.starts_left <= 0:
            return _obstacles.Obstacle.RETURNED
        return self.capacity.shortage(spec, is_kept=is_kept)

    def room_for(self, spec: _specs.StepSpec, limit: int) -> int:
        """Return how many such tasks fit, at most ``limit``.

        Idle processors for filling tasks are not counted here.
        """
        if self.shortage(spec) is not None:
            return 0
        return self.capacity.room_for(spec, limit)

    def account_errors(self, reserved: Iterable[_specs.StepSpec]) -> list[str]:
        """Return which sums of the account do not follow from its entries.

        ``reserved`` are the tasks that capacity is reserved for.
        """
        info = self.info
        errors = self.capacity.discrepancies(
            [_capacity.Use(run.spec, run.pace) for run in self.runs.values()],
            reserved,
        )
        size = _amounts.Amounts(info.cpu, info.memory_mb, info.accelerators)
        if self.capacity.size != size:
            errors.append(f'the size is {self.capacity.size}, not {size}')
        runs = self.runs.values()
        if [run for run in runs if run.spec.is_service] != list(
            self.services.values()
        ):
            errors.append('the service tasks are not those of the runs')
        if [run for run in runs if run.spec.is_filling] != list(
            self.filling.values()
        ):
            errors.append('the filling tasks are not those of the runs')
        return errors
