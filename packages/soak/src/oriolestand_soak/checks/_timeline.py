"""Index of a history: runs, jobs, calls, configurations, faults."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
from typing import Any

from oriolestand_soak import _payload
from oriolestand_soak import history


@dataclasses.dataclass(slots=True, kw_only=True)
class Life:
    """An incarnation of a worker."""

    info: history.WorkerStarted
    ended_ms: float = math.inf
    draining_ms: float = math.inf
    lapses: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """A run; ``how`` is empty while it runs or if its worker stopped."""

    started: history.RunStarted
    name: _payload.TaskName
    ended_ms: float = math.inf
    how: str = ''
    acknowledged_ms: float = math.inf

    @property
    def start_ms(self) -> int:
        """Return when the run started."""
        return self.started.at_ms

    @property
    def label(self) -> str:
        """Return the task, the run number and the worker."""
        started = self.started
        return f'{started.task} run {started.number} on {started.life}'


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A request and how it ended."""

    sent: history.CallSent
    ended: history.CallEnded | None = None

    @property
    def status(self) -> int:
        """Return the status, or 0 without a complete response."""
        return self.ended.status if self.ended is not None else 0

    @property
    def is_success(self) -> bool:
        """Return whether the request succeeded."""
        return 200 <= self.status < 300

    @property
    def ended_ms(self) -> float:
        """Return when the call ended."""
        return self.ended.at_ms if self.ended is not None else math.inf


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """A job and the calls for it."""

    created: history.JobCreated
    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)

    def select(self, method: str) -> list[Call]:
        """Return the calls of a method."""
        return [call for call in self.calls if call.sent.method == method]

    @property
    def accepted_ms(self) -> float:
        """Return when the job was first accepted."""
        return min(
            (c.ended_ms for c in self.select('POST') if c.is_success),
            default=math.inf,
        )

    @property
    def cancel_sent_ms(self) -> float:
        """Return when the first request to cancel was sent."""
        return min(
            (c.sent.at_ms for c in self.select('DELETE')), default=math.inf
        )

    @property
    def cancelled_ms(self) -> float:
        """Return when the cancellation was first acknowledged."""
        return min(
            (c.ended_ms for c in self.select('DELETE') if c.is_success),
            default=math.inf,
        )

    @property
    def has_services(self) -> bool:
        """Return whether tasks run until the job is cancelled."""
        return any(step.is_service for step in self.created.steps)

    def done_ms(self, step: int, index: int) -> float:
        """Return when a task first ended as done."""
        return min(
            (
                run.ended_ms
                for run in self.runs
                if run.how == 'done'
                and (run.name.step, run.name.index) == (step, index)
            ),
            default=math.inf,
        )

    def step_done_ms(self, step: int) -> float:
        """Return when all tasks of a step had ended as done."""
        count = self.created.steps[step].count
        return max(self.done_ms(step, index) for index in range(count))

    @property
    def all_done_ms(self) -> float:
        """Return when all tasks had ended as done."""
        return max(
            self.step_done_ms(step) for step in range(len(self.created.steps))
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Config:
    """A configuration and when it was sent and acknowledged."""

    sent: history.ConfigSent
    acknowledged_ms: float = math.inf


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """A daemon process and the signals sent to it."""

    daemon: str
    number: int
    started_ms: int
    exited_ms: float = math.inf
    status: int = 0
    signals: list[history.DaemonSignalled] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class FaultSpan:
    """A fault and when it ended."""

    began: history.FaultBegan
    ended_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stretch:
    """A time without faults, that follows ``contact_ms`` without faults."""

    start_ms: float
    end_ms: float


class Timeline:
    """All events of a history, by what they are about."""

    def __init__(self, events: Iterable[history.Event]) -> None:
        self.bounds = history.Bounds()
        self.end_ms = 0
        self.is_finished = False
        self.traffic_end_ms = math.inf
        self.lives: dict[str, Life] = {}
        self.runs: list[Run] = []
        self.runs_by_task: dict[str, list[Run]] = collections.defaultdict(list)
        self.jobs: dict[str, Job] = {}
        self.calls: dict[int, Call] = {}
        self.configs: list[Config] = []
        self.processes: dict[tuple[str, int], Process] = {}
        self.faults: dict[int, FaultSpan] = {}
        self._runs: dict[tuple[str, str, int], Run] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            history.SoakStarted: self._on_soak_started,
            history.TrafficEnded: self._on_traffic_ended,
            history.SoakFinished: self._on_soak_finished,
            history.ConfigSent: self._on_config_sent,
            history.ConfigAcknowledged: self._on_config_acknowledged,
            history.JobCreated: self._on_job_created,
            history.CallSent: self._on_call_sent,
            history.CallEnded: self._on_call_ended,
            history.WorkerStarted: self._on_worker_started,
            history.WorkerStopped: self._on_worker_stopped,
            history.WorkerDraining: self._on_worker_draining,
            history.LeaseExpired: self._on_lease_expired,
            history.RunStarted: self._on_run_started,
            history.RunEnded: self._on_run_ended,
            history.EndAcknowledged: self._on_end_acknowledged,
            history.DaemonStarted: self._on_daemon_started,
            history.DaemonSignalled: self._on_daemon_signalled,
            history.DaemonExited: self._on_daemon_exited,
            history.FaultBegan: self._on_fault_began,
            history.FaultEnded: self._on_fault_ended,
        }
        for event in events:
            self.end_ms = max(self.end_ms, event.at_ms)
            self._handlers[type(event)](event)
        self.stretches = list(self._find_stretches())

    # Events.

    def _on_soak_started(self, event: history.SoakStarted) -> None:
        self.bounds = event.bounds

    def _on_traffic_ended(self, event: history.TrafficEnded) -> None:
        self.traffic_end_ms = event.at_ms

    def _on_soak_finished(self, event: history.SoakFinished) -> None:
        self.is_finished = True

    def _on_config_sent(self, event: history.ConfigSent) -> None:
        self.configs.append(Config(sent=event))

    def _on_config_acknowledged(
        self, event: history.ConfigAcknowledged
    ) -> None:
        for config in self.configs:
            if config.sent.version == event.version:
                config.acknowledged_ms = event.at_ms

    def _on_job_created(self, event: history.JobCreated) -> None:
        self.jobs[event.job] = Job(created=event)

    def _on_call_sent(self, event: history.CallSent) -> None:
        call = Call(sent=event)
        self.calls[event.call] = call
        if event.job in self.jobs:
            self.jobs[event.job].calls.append(call)

    def _on_call_ended(self, event: history.CallEnded) -> None:
        self.calls[event.call].ended = event

    def _on_worker_started(self, event: history.WorkerStarted) -> None:
        self.lives[event.life] = Life(info=event)

    def _on_worker_stopped(self, event: history.WorkerStopped) -> None:
        self.lives[event.life].ended_ms = event.at_ms
        for run in self.runs:
            if run.started.life == event.life:
                run.ended_ms = min(run.ended_ms, event.at_ms)

    def _on_worker_draining(self, event: history.WorkerDraining) -> None:
        self.lives[event.life].draining_ms = event.at_ms

    def _on_lease_expired(self, event: history.LeaseExpired) -> None:
        self.lives[event.life].lapses.append(event.at_ms)

    def _on_run_started(self, event: history.RunStarted) -> None:
        run = Run(started=event, name=_payload.parse_task(event.task))
        self.runs.append(run)
        self.runs_by_task[event.task].append(run)
        self._runs[event.life, event.task, event.number] = run
        if run.name.job in self.jobs:
            self.jobs[run.name.job].runs.append(run)

    def _on_run_ended(self, event: history.RunEnded) -> None:
        run = self._runs[event.life, event.task, event.number]
        run.ended_ms = event.at_ms
        run.how = event.how

    def _on_end_acknowledged(self, event: history.EndAcknowledged) -> None:
        run = self._runs[event.life, event.task, event.number]
        lapses = self.lives[event.life].lapses
        if not any(run.ended_ms < lapse for lapse in lapses):
            run.acknowledged_ms = event.at_ms

    def _on_daemon_started(self, event: history.DaemonStarted) -> None:
        self.processes[event.daemon, event.process] = Process(
            daemon=event.daemon,
            number=event.process,
            started_ms=event.at_ms,
        )

    def _on_daemon_signalled(self, event: history.DaemonSignalled) -> None:
        self.processes[event.daemon, event.process].signals.append(event)

    def _on_daemon_exited(self, event: history.DaemonExited) -> None:
        process = self.processes[event.daemon, event.process]
        process.exited_ms = event.at_ms
        process.status = event.status

    def _on_fault_began(self, event: history.FaultBegan) -> None:
        self.faults[event.fault] = FaultSpan(began=event)

    def _on_fault_ended(self, event: history.FaultEnded) -> None:
        self.faults[event.fault].ended_ms = event.at_ms

    # Faults.

    def is_calm(
        self, start_ms: float, end_ms: float, allows_planned: bool = False
    ) -> bool:
        """Return whether no fault was in force in a time span."""
        return not any(
            span.began.at_ms <= end_ms and span.ended_ms >= start_ms
            for span in self.faults.values()
            if not (allows_planned and span.began.is_planned)
        )

    def is_in_touch(
        self, daemon: str, process: int, start_ms: float, end_ms: float
    ) -> bool:
        """Return whether a daemon was in touch during a time span.

        It is if it ran and no fault harmed it or the store since
        ``contact_ms`` before.
        """
        since = start_ms - self.bounds.contact_ms
        if self.processes[daemon, process].started_ms > since:
            return False
        return not any(
            span.began.at_ms <= end_ms and span.ended_ms >= since
            for span in self.faults.values()
            if span.began.is_core or daemon in span.began.daemons
        )

    def _find_stretches(self) -> Iterable[Stretch]:
        """Yield the longest time spans in which nothing is harmed.

        The start of a daemon process counts as harm.
        """
        harms: list[tuple[float, float]] = [
            (span.began.at_ms, span.ended_ms) for span in self.faults.values()
        ]
        harms += [
            (process.started_ms, process.started_ms)
            for process in self.processes.values()
        ]
        start = 0.0
        for began, ended in [*sorted(harms), (float(self.end_ms), math.inf)]:
            if began > start:
                yield Stretch(start_ms=start, end_ms=began)
            start = max(start, ended + self.bounds.contact_ms)
