"""Callers that submit jobs, ask for their states and cancel them."""

import dataclasses
import itertools
import random
from typing import Any

import msgspec
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_soak import _daemons
from oriolestand_soak import _http
from oriolestand_soak import _plan
from oriolestand_soak import _recorder
from oriolestand_soak import history
from oriolestand_soak import messages

DEADLINE_MS = 3_000
RETRY_MS = 300
SUBMIT_ATTEMPTS = 6
CANCEL_ATTEMPTS = 40
READY_INTERVAL_MS = 1_000
READY_TIMEOUT_MS = 900
MAX_MISSES = 2
PROBE_INTERVAL_MS = 300
STATE_INTERVAL_MS = 900
FINAL_STATES = frozenset({'completed', 'failed', 'cancelled'})
UNCERTAIN_STATUSES = frozenset({0, 502, 504})
REFUSALS = frozenset({429, 503})


class _State(msgspec.Struct, frozen=True):
    """Body of a response with the state of a job."""

    state: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class _Connection:
    """A connection and the process that it is open to."""

    http: _http.ClientConnection
    daemon: _daemons.Daemon
    process: int


class Rotation:
    """The daemons that get new connections, as the load balancer sees them."""

    def __init__(self, daemons: list[_daemons.Daemon]) -> None:
        self._daemons = daemons
        self._misses = {daemon.name: MAX_MISSES for daemon in daemons}

    def report(self, daemon: _daemons.Daemon, is_ready: bool) -> None:
        """Record the result of a readiness check."""
        self._misses[daemon.name] = (
            0 if is_ready else self._misses[daemon.name] + 1
        )

    def ready(self) -> list[_daemons.Daemon]:
        """Return the daemons in rotation."""
        return [d for d in self._daemons if self._misses[d.name] < MAX_MISSES]

    def pick(self, number: int) -> _daemons.Daemon:
        """Return the daemon for a new connection."""
        choices = self.ready()
        if 2 * len(choices) < len(self._daemons):
            choices = self._daemons
        return choices[number % len(choices)]


class CallersTask(core.Task):
    """Sends the planned jobs and records what callers see."""

    def __init__(
        self,
        kernel: core.Kernel,
        recorder: _recorder.Recorder,
        daemons: list[_daemons.Daemon],
        seed: int,
    ) -> None:
        super().__init__(kernel, messages.CALLERS)
        self._recorder = recorder
        self._daemons = daemons
        self._rng = random.Random(f'{seed}/callers')
        self._calls = itertools.count(1)
        self._idle: dict[int, list[_Connection]] = {}
        self._picks = itertools.count()
        self.rotation = Rotation(daemons)
        self.routes: set[str] = set()
        self.open_jobs: set[str] = set()
        self.accepted: dict[str, _plan.PlannedJob] = {}
        self.final: dict[str, str] = {}

    def run_in_background(self, work: Any) -> None:
        """Run a coroutine; log its error."""
        fut = defer.ensureDeferred(work)
        fut.addErrback(
            lambda reason: self.kernel.log.error(
                'Caller failed', reason=reason.getTraceback()
            )
        )

    # The load balancer and the probes.

    async def watch_readiness(self, daemon: _daemons.Daemon) -> None:
        """Check the readiness of a daemon until the soak ends."""
        while not self.is_stopped:
            conn = await _http.connect(
                self.kernel.reactor, daemon.host, daemon.ready_port
            )
            outcome = _http.Outcome(why='refused')
            if conn is not None:
                outcome = await conn.send(
                    'GET',
                    '/readiness',
                    {'Host': daemon.host},
                    b'',
                    READY_TIMEOUT_MS,
                )
                conn.close()
            self.rotation.report(daemon, outcome.status == 200)
            await self.kernel.sleep(READY_INTERVAL_MS)

    async def probe(self, daemon: _daemons.Daemon, number: int) -> None:
        """Ask a daemon for the waiting jobs of any route, again and again."""
        while not self.is_stopped:
            await self.kernel.sleep(PROBE_INTERVAL_MS)
            routes = sorted(self.routes)
            if daemon.transport is None or not routes:
                continue
            route = self._rng.choice(routes)
            await self._call(number, 'GET', route, daemon=daemon)

    # Calls.

    async def _open(
        self, caller: int, daemon: _daemons.Daemon | None
    ) -> _Connection | _daemons.Daemon:
        """Return an idle or a new connection, or the daemon that refused."""
        idle = self._idle.setdefault(caller, [])
        while idle:
            conn = idle.pop()
            if conn.http.is_open:
                return conn
        daemon = daemon or self.rotation.pick(caller + next(self._picks))
        process = daemon.process
        http = await _http.connect(
            self.kernel.reactor, daemon.host, daemon.front_port
        )
        if http is None:
            return daemon
        return _Connection(http=http, daemon=daemon, process=process)

    async def _call(
        self,
        caller: int,
        method: str,
        route: str,
        job: str = '',
        body: bytes = b'',
        daemon: _daemons.Daemon | None = None,
    ) -> tuple[int, str]:
        """Send a request and return its status and the state in its body.

        The status is 0 without a complete response.
        """
        opened = await self._open(caller, daemon)
        number = next(self._calls)
        target = opened.daemon if isinstance(opened, _Connection) else opened
        self._recorder.record(
            history.CallSent(
                call=number,
                method=method,
                route=route,
                job=job,
                daemon=target.name,
                process=opened.process,
            )
        )
        outcome = _http.Outcome(why='refused')
        if isinstance(opened, _Connection):
            headers = {'Host': _plan.HOST, 'X-Deadline-Ms': str(DEADLINE_MS)}
            outcome = await opened.http.send(
                method, f'/{route}/{job}', headers, body, DEADLINE_MS
            )
            if opened.http.is_open:
                self._idle[caller].append(opened)
        state = _decode_state(outcome)
        self._recorder.record(
            history.CallEnded(
                call=number,
                status=outcome.status,
                state=state,
                why=outcome.why,
            )
        )
        return outcome.status, state

    # Jobs.

    async def serve_job(self, job: _plan.PlannedJob) -> None:
        """Submit a job, cancel it if planned, follow it to its end."""
        self.open_jobs.add(job.job)
        try:
            self._recorder.record(
                history.JobCreated(
                    job=job.job,
                    route=job.route,
                    payload=job.payload,
                    steps=job.steps,
                )
            )
            if not await self._submit(job):
                return
            self.accepted[job.job] = job
            if job.repeats_after_ms is not None:
                self.run_in_background(self._repeat(job))
            if job.cancel_after_ms is not None:
                await self.kernel.sleep(job.cancel_after_ms)
                await self.cancel(job)
            await self._follow(job)
        finally:
            self.open_jobs.discard(job.job)

    async def _submit(self, job: _plan.PlannedJob) -> bool:
        """Submit a job until it is accepted; return whether it was."""
        body = msgspec.json.encode(job.body())
        for attempt in range(1, SUBMIT_ATTEMPTS + 1):
            status, _ = await self._call(
                job.caller, 'POST', job.route, job.job, body
            )
            if 200 <= status < 300:
                return True
            if status not in UNCERTAIN_STATUSES | REFUSALS:
                return False
            await self.kernel.sleep(RETRY_MS * attempt)
        return False

    async def _repeat(self, job: _plan.PlannedJob) -> None:
        """Submit an accepted job once more."""
        assert job.repeats_after_ms is not None
        await self.kernel.sleep(job.repeats_after_ms)
        body = msgspec.json.encode(job.body())
        await self._call(job.caller, 'POST', job.route, job.job, body)

    async def cancel(self, job: _plan.PlannedJob) -> None:
        """Cancel a job until that is acknowledged."""
        for _ in range(CANCEL_ATTEMPTS):
            status, _ = await self._call(
                job.caller, 'DELETE', job.route, job.job
            )
            if 200 <= status < 300 or status == 410 or self.is_stopped:
                return
            await self.kernel.sleep(RETRY_MS)

    async def _follow(self, job: _plan.PlannedJob) -> None:
        """Ask for the state of a job until it is final."""
        while not self.is_stopped:
            await self.kernel.sleep(STATE_INTERVAL_MS)
            state = await self.ask_state(job)
            if state in FINAL_STATES:
                return

    async def ask_state(self, job: _plan.PlannedJob) -> str:
        """Ask for the state of a job; return an empty one if unknown."""
        _, state = await self._call(job.caller, 'GET', job.route, job.job)
        if state in FINAL_STATES:
            self.final[job.job] = state
        return state

    def stop(self) -> object:
        """Close all connections."""
        super().stop()
        for conns in self._idle.values():
            for conn in conns:
                if conn.http.is_open:
                    conn.http.close()
        return None


def _decode_state(outcome: _http.Outcome) -> str:
    """Return the state in the body of a response, or an empty string."""
    if outcome.status != 200 or not outcome.body:
        return ''
    try:
        return msgspec.json.decode(outcome.body, type=_State).state
    except msgspec.MsgspecError:
        return ''
