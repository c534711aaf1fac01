"""Stand-ins for workers that run tasks under leases, over HTTP."""

import dataclasses
import functools
import random
from typing import Any

import msgspec
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_soak import _http
from oriolestand_soak import _payload
from oriolestand_soak import _recorder
from oriolestand_soak import _store
from oriolestand_soak import history

LEASE_MAX_MS = 6_000
STOP_MAX_MS = 200
GANG_WAIT_MS = 3_000
RESTORE_MS = 250
CHECKPOINT_MS = 1_000
SERVICE_START_MS = 300
HEARTBEAT_MS = 1_500
MISSED_HEARTBEATS = 3
ENDS_PER_REPLY = 500
MAX_WAIT_MS = 2_000
SLOWEST_CLOCK = 0.98
FULL_PERCENT = 100
LATENCY_MS = 5
"""Tail latency that service tasks report."""


class _Order(msgspec.Struct, frozen=True):
    """Body of a request to a worker."""

    task: str = ''
    run: int = 0
    spec: str = ''
    fence: int = 0
    deadline_ms: int | None = None
    last_checkpoint: str = ''
    ack_cursor: int = 0
    wait_ms: int = 0
    percent: int = FULL_PERCENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerFaults:
    """Faults of a worker; see ``StoreFaults`` for ``lost`` and ``late``.

    ``refusal``: how starts are refused without effect: ``429`` or ``503``.
    ``is_hanging``: whether requests get no response and have no effect.
    """

    refusal: str = ''
    is_hanging: bool = False
    lost: float = 0.0
    late: float = 0.0
    late_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Run:
    """A run in progress; ``work_left_ms`` is as of ``since_ms``."""

    worker: 'Worker'
    task: str
    name: _payload.TaskName
    number: int
    work: _payload.StepWork
    started_ms: int
    work_left_ms: float = 0.0
    since_ms: int = 0
    percent: int = FULL_PERCENT
    has_begun: bool = False
    checkpoint: str = ''
    timer: Any = None


class GangBoard:
    """The gangs of which some members have started, on all workers."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], dict[int, _Run]] = {}

    def join(self, run: _Run) -> list[_Run]:
        """Add a member; return all members once the gang is complete."""
        key = (run.name.group, run.number)
        members = self._members.setdefault(key, {})
        members[run.name.index] = run
        if len(members) < run.work.gang:
            return []
        return list(members.values())

    def leave(self, run: _Run) -> list[_Run]:
        """Remove a member; return the others if the gang had begun."""
        members = self._members.get((run.name.group, run.number), {})
        if members.get(run.name.index) is run:
            del members[run.name.index]
        return list(members.values()) if run.has_begun else []


class Worker(_http.Handler):
    """A machine and the incarnation of the worker that runs on it."""

    def __init__(
        self,
        kernel: core.Kernel,
        recorder: _recorder.Recorder,
        store: _store.RowStore,
        gangs: GangBoard,
        info: history.WorkerStarted,
        zone: str,
        rng: random.Random,
    ) -> None:
        self._kernel = kernel
        self._clock = kernel.clock
        self._recorder = recorder
        self._store = store
        self._gangs = gangs
        self._rng = rng
        self.zone = zone
        self._listener: _http.Listener | None = None
        self._lives = 0
        self.machine = info.worker
        self.info = info
        self.address = ''
        self.faults = WorkerFaults()
        self.is_up = False
        self.is_draining = False
        self._reset_state()

    def _reset_state(self) -> None:
        """Forget everything, as at the start of a process."""
        self._epoch = 0
        self._lease_end = 0
        self._lease_timer: Any = None
        self._has_lapsed = True
        self._running: dict[str, _Run] = {}
        self._stopping: set[_Run] = set()
        self._highest: dict[str, int] = {}
        self._ended: list[tuple[int, history.RunEnded]] = []
        self._sequence = 0
        self._waiting: list[defer.Deferred[None]] = []
        self._born = self._clock.wall()
        self._born_ms = self._clock.now()
        self._rate = self._rng.uniform(SLOWEST_CLOCK, 1.0)
        self._offset = self._rng.randrange(10_000, 900_000)

    # Life.

    def listen(self, host: str) -> None:
        """Reserve the address of the machine."""
        self._listener = _http.Listener(
            self._kernel.reactor, host, self, self._recorder
        )
        self.address = self._listener.address

    def start(self, keeps_id: bool = False) -> None:
        """Start an incarnation, after a draining one has left."""
        if self.is_draining:
            self.crash()
            self._store.drop(_store.WORKERS_TABLE, self.info.worker)
        if self.is_up:
            return
        self._lives += not keeps_id
        self._reset_state()
        worker = f'{self.machine}-{self._lives}'
        self.info = dataclasses.replace(
            self.info, worker=worker, life=f'{worker}@{self._born}'
        )
        self.is_up = True
        self.is_draining = False
        self._recorder.record(self.info)
        self._register('ready')

    def _register(self, state: str) -> None:
        """Write the worker's row."""
        info = self.info
        self._store.put(
            _store.WORKERS_TABLE,
            info.worker,
            {
                'service': info.pool,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': state,
                'cold_left_ms': 0,
                'capacity': {
                    'cpu': info.cpu,
                    'mem_mb': info.memory_mb,
                    'gpu': 0,
                },
                'labels': info.labels,
                'seq': 1,
                'born': self._born,
            },
        )

    def drain(self) -> None:
        """Report that the worker leaves."""
        if self.is_up:
            self.is_draining = True
            self._register('draining')
            self._recorder.record(history.WorkerDraining(life=self.info.life))

    def crash(self) -> None:
        """End the incarnation; its row is removed after some heartbeats."""
        if not self.is_up:
            return
        self.is_up = False
        self._recorder.record(history.WorkerStopped(life=self.info.life))
        for run in list(self._running.values()):
            self._remove(run)
        if self._listener is not None:
            self._listener.reset()
        life = self.info.life
        self._clock.call_later(
            HEARTBEAT_MS * MISSED_HEARTBEATS, lambda: self._expire(life)
        )

    def _expire(self, life: str) -> None:
        """Remove the row of an incarnation that sends no heartbeats."""
        worker = life.partition('@')[0]
        if not self.is_up or self.info.worker != worker:
            self._store.drop(_store.WORKERS_TABLE, worker)

    # Clock and lease.

    def _now(self) -> int:
        """Return the time of the worker's clock."""
        elapsed = self._clock.now() - self._born_ms
        return self._offset + int(elapsed * self._rate)

    def _extend_lease(self, deadline_ms: int | None) -> None:
        """Extend the lease of everything that runs."""
        if deadline_ms is None:
            return
        now = self._now()
        end = min(deadline_ms, now + LEASE_MAX_MS)
        if end <= max(self._lease_end, now):
            return
        self._lease_end = end
        self._has_lapsed = False
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self._lease_timer = self._clock.call_later(
            int((end - now) / self._rate) + 1,
            functools.partial(self._check_lease, self.info.life),
        )

    def _check_lease(self, life: str) -> None:
        """End all runs if the lease has expired."""
        if life != self.info.life or not self.is_up or self._has_lapsed:
            return
        left = self._lease_end - self._now()
        if left > 0:
            self._lease_timer = self._clock.call_later(
                left, lambda: self._check_lease(life)
            )
            return
        self._has_lapsed = True
        self._recorder.record(history.LeaseExpired(life=life))
        for run in list(self._running.values()):
            self._end(run, 'lapsed')

    # Requests.

    async def handle(self, request: _http.Request) -> _http.Reply:
        """Serve an order, with the faults of the worker."""
        if not self.is_up:
            return _http.Reply(is_reset=True)
        faults = self.faults
        if faults.is_hanging:
            return _http.Reply(is_silent=True)
        if request.expected_instance not in ('', self.info.worker):
            return _http.json_reply(421, {})
        try:
            order = msgspec.json.decode(request.body, type=_Order)
        except msgspec.MsgspecError:
            return _http.json_reply(400, {})
        if faults.refusal and request.path == '/run-start':
            return _http.json_reply(int(faults.refusal), {})
        if self._rng.random() < faults.late:
            life = self.info.life
            self._clock.call_later(
                faults.late_ms,
                lambda: self._execute_late(life, request.path, order),
            )
            return _http.Reply(is_silent=True)
        reply = await self._execute(request.path, order)
        if self._rng.random() < faults.lost:
            return _http.Reply(is_reset=True)
        return reply

    def _execute_late(self, life: str, path: str, order: _Order) -> None:
        """Carry out an order whose sender has given up."""
        if self.is_up and self.info.life == life:
            fut = defer.ensureDeferred(
                self._execute(path, order, is_late=True)
            )
            fut.addErrback(self._recorder.fail)

    async def _execute(
        self, path: str, order: _Order, is_late: bool = False
    ) -> _http.Reply:
        """Carry out an order."""
        if order.fence < self._epoch:
            return self._reply(409, reason='fence')
        self._epoch = order.fence
        if path == '/run-start':
            return self._start_run(order, is_late)
        if path == '/run-stop':
            self._stop_run(order)
            return self._reply(200)
        if path == '/pace':
            self._pace_run(order)
            return self._reply(200)
        if path == '/hold':
            return await self._hold(order)
        return self._reply(400)

    def _reply(self, status: int, **content: Any) -> _http.Reply:
        """Return a response with the worker's clock."""
        return _http.json_reply(
            status, {'clock_ms': self._now(), 'born': self._born, **content}
        )

    async def _hold(self, order: _Order) -> _http.Reply:
        """Extend the lease; report runs and ends."""
        self._extend_lease(order.deadline_ms)
        for sequence, end in self._ended:
            if sequence <= order.ack_cursor:
                self._recorder.record(
                    history.EndAcknowledged(
                        life=end.life, task=end.task, number=end.number
                    )
                )
        self._ended = [x for x in self._ended if x[0] > order.ack_cursor]
        wait_ms = min(order.wait_ms, MAX_WAIT_MS)
        if not self._ended and wait_ms:
            fut: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(fut)
            await _http.wait(self._clock, fut, wait_ms)
        return self._reply(
            200,
            running=[self._describe(run) for run in self._running.values()],
            ended=[
                [sequence, end.task, end.number, end.how, end.checkpoint]
                for sequence, end in self._ended[:ENDS_PER_REPLY]
            ],
        )

    def _describe(self, run: _Run) -> list[Any]:
        """Return the row of a run in a report."""
        self._update(run)
        total = max(1, run.work.work_ms)
        percent = min(99, int(100 * (1 - run.work_left_ms / total)))
        if run.work.is_service:
            age = self._clock.now() - run.started_ms
            percent = 100 if age >= SERVICE_START_MS else 0
        return [run.task, run.number, run.checkpoint, percent, LATENCY_MS]

    # Runs.

    def _start_run(self, order: _Order, is_late: bool) -> _http.Reply:
        """Start a run unless it is too old or the lease has ended."""
        running = self._running.get(order.task)
        if running is not None and running.number == order.run:
            return self._reply(200)
        if running or order.run <= self._highest.get(order.task, 0):
            self._extend_lease(order.deadline_ms)
            return self._reply(409, reason='old')
        if (order.deadline_ms or 0) <= self._now():
            return self._reply(409, reason='late')
        try:
            name = _payload.parse_task(order.task)
            work = _payload.decode(order.spec)[name.step]
        except (ValueError, IndexError, msgspec.MsgspecError):
            return self._reply(400)
        self._extend_lease(order.deadline_ms)
        run = _Run(
            worker=self,
            task=order.task,
            name=name,
            number=order.run,
            work=work,
            started_ms=self._clock.now(),
            checkpoint=order.last_checkpoint,
        )
        self._running[order.task] = run
        self._recorder.record(
            history.RunStarted(
                life=self.info.life,
                task=order.task,
                number=order.run,
                epoch=order.fence,
                payload=order.spec,
                checkpoint=order.last_checkpoint,
                is_late=is_late,
            )
        )
        if not work.gang:
            self._begin(run)
            return self._reply(200)
        members = self._gangs.join(run)
        for member in members:
            member.worker._begin(member)
        if not members:
            run.timer = self._clock.call_later(
                GANG_WAIT_MS, lambda: self._end(run, 'alone')
            )
        return self._reply(200)

    def _begin(self, run: _Run) -> None:
        """Begin the work of a run."""
        run.has_begun = True
        work, saved = run.work, 0
        if run.checkpoint:
            saved = int(run.checkpoint.rpartition('/')[2]) - RESTORE_MS
        run.work_left_ms = max(1, work.work_ms - saved)
        if work.is_service:
            run.work_left_ms *= 0.3 + 0.7 * _payload.draw(run.task, run.number)
        run.since_ms = self._clock.now()
        self._schedule_end(run)

    def _update(self, run: _Run) -> None:
        """Account for the work since the last update."""
        if not run.has_begun:
            return
        now = self._clock.now()
        share = run.percent / FULL_PERCENT
        run.work_left_ms -= (now - run.since_ms) * share
        run.since_ms = now
        if run.work.has_checkpoints and not run.work.gang:
            self._save(run)

    def _save(self, run: _Run) -> None:
        """Update the checkpoint of a run."""
        done = int(run.work.work_ms - max(0, run.work_left_ms))
        saved = done // CHECKPOINT_MS * CHECKPOINT_MS
        before = int(run.checkpoint.rpartition('/')[2] or 0)
        if saved > before:
            run.checkpoint = f'{run.task}/{saved}'

    def _schedule_end(self, run: _Run) -> None:
        """Schedule the end of the work of a run."""
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if run.percent:
            delay = run.work_left_ms * FULL_PERCENT / run.percent
            run.timer = self._clock.call_later(
                int(delay) + 1, lambda: self._finish(run)
            )

    def _finish(self, run: _Run) -> None:
        """End a run whose work is complete."""
        drawn = _payload.draw('outcome', run.name.group, run.number)
        if not run.work.gang:
            drawn = _payload.draw('outcome', run.task, run.number)
        how = 'failed' if drawn < run.work.failing else 'done'
        if not run.work.gang:
            self._end(run, how)
            return
        others = self._gangs.leave(run)
        for member in [run, *others]:
            member.has_begun = False
        for member in [run, *others]:
            member.worker._end(member, how)

    def _end(self, run: _Run, how: str) -> None:
        """End a run and list its end."""
        if self._running.get(run.task) is not run:
            return
        self._update(run)
        end = history.RunEnded(
            life=self.info.life,
            task=run.task,
            number=run.number,
            how=how,
            checkpoint=run.checkpoint if how != 'done' else '',
        )
        self._recorder.record(end)
        self._sequence += 1
        self._ended.append((self._sequence, end))
        self._remove(run)
        waiting, self._waiting = self._waiting, []
        for fut in waiting:
            _http.fire(fut)

    def _remove(self, run: _Run) -> None:
        """Remove a run; a gang that has begun breaks."""
        del self._running[run.task]
        highest = self._highest.get(run.task, 0)
        self._highest[run.task] = max(highest, run.number)
        if run.timer is not None:
            run.timer.cancel()
        if run.work.gang:
            for member in self._gangs.leave(run):
                member.worker._end(member, 'broken')

    def _stop_run(self, order: _Order) -> None:
        """Stop a run; reject it if it arrives later."""
        highest = self._highest.get(order.task, 0)
        self._highest[order.task] = max(highest, order.run)
        run = self._running.get(order.task)
        if run is not None and run.number <= order.run:
            self._clock.call_later(
                self._rng.randrange(STOP_MAX_MS),
                lambda: self._end(run, 'stopped'),
            )

    def _pace_run(self, order: _Order) -> None:
        """Let a run work at a share of its speed."""
        run = self._running.get(order.task)
        if run is not None and run.number == order.run and run.has_begun:
            self._update(run)
            run.percent = order.percent
            self._schedule_end(run)
