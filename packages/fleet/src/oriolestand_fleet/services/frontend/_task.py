"""Answer callers and the balancer."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.frontend import _channel
from oriolestand_fleet.services.frontend import _routes
from oriolestand_fleet.services.frontend import const
from oriolestand_fleet.services.frontend import errors


class FrontendTask(core.Task):
    """Own the listeners and the connections of callers."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._codec = cfg.codec
        self._log = core.get_logger(const.DOMAIN)
        self._routes: _routes.RouteTable | None = None
        self._synced_ms: int | None = None
        self._is_leaving = False
        self._was_ready = False
        self._ports: list[Any] = []
        self._open_requests = 0
        self._factory = _channel.FrontFactory(
            kernel.clock, kernel.reactor, self._on_request, self._body_limit
        )

    def start(self) -> None:
        """Listen for callers and for the balancer."""
        for event in (
            config_messages.ConfigChanged,
            jobs.ReplicaSynced,
            lifecycle.ShutdownStarted,
        ):
            self.kernel.subscribe(event, self)
        ready = _channel.FrontFactory(
            self.kernel.clock,
            self.kernel.reactor,
            self._on_ready_request,
            lambda: 0,
        )
        for address, factory in (
            (self._cfg.front, self._factory),
            (self._cfg.ready, ready),
        ):
            self._ports.append(
                self.kernel.reactor.listenTCP(
                    address.port, factory, backlog=512, interface=address.host
                )
            )

    def stop(self) -> object:
        """Close the listeners."""
        super().stop()
        return defer.DeferredList(
            [defer.maybeDeferred(port.stopListening) for port in self._ports]
        )

    # Events.

    @core.handles(config_messages.ConfigChanged)
    def _on_config(self, msg: config_messages.ConfigChanged) -> None:
        """Match requests by the configuration in force."""
        self._routes = _routes.RouteTable(msg.config)
        self._factory.timeOut = msg.config.idle_timeout_ms / 1000

    @core.handles(jobs.ReplicaSynced)
    def _on_synced(self, msg: jobs.ReplicaSynced) -> None:
        """Note when the store last answered."""
        if msg.is_reachable and msg.is_complete:
            self._synced_ms = self.kernel.clock.now()

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Tell the balancer and callers to go elsewhere."""
        self._is_leaving = True

    # Readiness.

    def _on_ready_request(self, req: Any) -> None:
        """Answer a check of the balancer."""
        is_ready = self._is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._log.info(
                'Readiness changed',
                is_ready=is_ready,
                has_config=self._routes is not None,
                is_leaving=self._is_leaving,
                synced_ms_ago=self._age_ms(),
            )
        req.setResponseCode(200 if is_ready else 503)
        req.setHeader(b'content-length', b'0')
        req.finish()

    def _age_ms(self) -> int | None:
        """Return how long ago the store answered."""
        if self._synced_ms is None:
            return None
        return self.kernel.clock.now() - self._synced_ms

    def _is_ready(self) -> bool:
        """Return whether callers are served here."""
        age = self._age_ms()
        if self._routes is None or self._is_leaving or age is None:
            return False
        # An idle store answers once in a wait.
        return age <= const.SYNC_GRACE_MS + 1_000

    # Requests.

    def _body_limit(self) -> int:
        """Return the largest body to read, in bytes."""
        if self._routes is None:
            return const.DEFAULT_BODY_BYTES
        return self._routes.config.body_bytes

    def _on_request(self, req: _channel.FrontRequest) -> None:
        """Answer a request of a caller."""
        self._open_requests += 1
        gone: list[bool] = []
        req.notifyFinish().addErrback(lambda _: gone.append(True))
        fut = defer.ensureDeferred(self._serve(req))
        fut.addErrback(self._to_error, req)
        fut.addCallback(self._respond, req, gone)
        fut.addErrback(self._on_fault)
        fut.addBoth(self._on_served)

    def _on_served(self, _: object) -> None:
        """Note the end of a request."""
        self._open_requests -= 1

    def _on_fault(self, reason: Any) -> None:
        """Log an answer that could not be sent."""
        self._log.error('Answer not sent', reason=reason.getTraceback())

    async def _serve(self, req: _channel.FrontRequest) -> tuple[int, bytes]:
        """Return the status and body of the answer."""
        if self._routes is None:
            raise errors.NoConfigError('there is no configuration yet')
        host = (req.getHeader(b'host') or b'').decode('latin-1')
        path = req.path.decode('latin-1')
        found = self._routes.find(host, path)
        if found is None:
            raise errors.NoRouteError(
                'no route matches',
                host=host,
                path=path,
                version=self._routes.config.version,
            )
        route, job = found
        deadline = self.kernel.clock.now() + _deadline_ms(req)
        if not job:
            return await self._count_waiting(req, route.policy.name)
        if not _is_job_id(job):
            raise errors.BadRequestError('the path names no job', path=path)
        if req.method == b'POST':
            return await self._submit(req, job, route.policy.name, deadline)
        if req.method == b'GET':
            return await self._state(job, route.policy.name, deadline)
        if req.method == b'DELETE':
            return await self._cancel(job, route.policy.name, deadline)
        raise errors.BadRequestError('the method is not known', path=path)

    async def _submit(
        self, req: _channel.FrontRequest, job: str, route: str, deadline: int
    ) -> tuple[int, bytes]:
        """Store a job."""
        assert req.content is not None
        body = req.content.read()
        spec = self._codec.decode_job(
            body, job, route, self.kernel.clock.wall()
        )
        await self.kernel.ask(
            jobs.SERVICE, jobs.SubmitJob(spec=spec, deadline_ms=deadline)
        )
        return 200, b''

    async def _state(
        self, job: str, route: str, deadline: int
    ) -> tuple[int, bytes]:
        """Tell the state of a job."""
        state = await self.kernel.ask(
            jobs.SERVICE,
            jobs.GetState(job=job, route=route, deadline_ms=deadline),
        )
        if state is None:
            raise errors.JobGoneError('no job has this id', job=job)
        return 200, self._codec.encode_state(state.value)

    async def _cancel(
        self, job: str, route: str, deadline: int
    ) -> tuple[int, bytes]:
        """Cancel a job."""
        is_known = await self.kernel.ask(
            jobs.SERVICE,
            jobs.CancelJob(job=job, route=route, deadline_ms=deadline),
        )
        if not is_known:
            raise errors.JobGoneError('no job has this id', job=job)
        return 200, b''

    async def _count_waiting(
        self, req: _channel.FrontRequest, route: str
    ) -> tuple[int, bytes]:
        """Tell how many jobs of a route have not begun."""
        if req.method != b'GET':
            raise errors.BadRequestError('the path names no job')
        count = await self.kernel.ask(
            jobs.SERVICE, jobs.CountWaiting(route=route)
        )
        return 200, self._codec.encode_waiting(count)

    def _to_error(
        self, reason: Any, req: _channel.FrontRequest
    ) -> tuple[int, bytes]:
        """Return the answer that tells an error."""
        exc = reason.value
        if not isinstance(exc, core.OriolestandError):
            self._log.error('Request failed', reason=reason.getTraceback())
            exc = core.OriolestandError('internal error')
        self._log.info(
            'Request refused',
            method=req.method.decode('latin-1'),
            path=req.path.decode('latin-1'),
            code=exc.code,
            status=exc.http_status,
            verdict=exc.verdict.value,
            why=str(exc),
        )
        if exc.http_status in (429, 503):
            req.setHeader(b'retry-after', b'%d' % const.RETRY_AFTER_S)
        body = self._codec.encode_error(
            exc.code, exc.message, exc.verdict.value
        )
        return exc.http_status, body

    def _respond(
        self,
        answer: tuple[int, bytes],
        req: _channel.FrontRequest,
        gone: list[bool],
    ) -> None:
        """Send an answer unless the caller has left."""
        status, body = answer
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.Count(
                name='requests',
                label=f'{req.method.decode("latin-1")[:8]} {status}',
            ),
        )
        if gone:
            return
        req.setResponseCode(status)
        if body:
            req.setHeader(b'content-type', self._codec.content_type.encode())
        req.setHeader(b'content-length', b'%d' % len(body))
        if self._is_leaving:
            req.setHeader(b'connection', b'close')
        if body:
            req.write(body)
        req.finish()

    # Ending.

    @core.handles(lifecycle.DrainConnections)
    def _on_drain(
        self, msg: lifecycle.DrainConnections
    ) -> 'defer.Deferred[None]':
        """End all connections without cutting a request."""
        return defer.ensureDeferred(self._drain())

    async def _drain(self) -> None:
        """Serve on for a while, then close connections that are idle."""
        await self.kernel.sleep(const.DRAIN_SERVE_MS)
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        self._ports = []
        while self._factory.channels:
            now = self.kernel.clock.now()
            for channel in list(self._factory.channels):
                idle_ms = now - channel.idle_since
                if channel.is_idle and idle_ms >= const.DRAIN_IDLE_MS:
                    channel.close()
            await self.kernel.sleep(const.DRAIN_POLL_MS)


def _deadline_ms(req: Any) -> int:
    """Return how long the caller waits, in milliseconds."""
    text = req.getHeader(const.HEADER_DEADLINE)
    try:
        return max(1, int(text)) if text else const.DEFAULT_DEADLINE_MS
    except ValueError:
        return const.DEFAULT_DEADLINE_MS


def _is_job_id(text: str) -> bool:
    """Return whether a text may be the id of a job.

    >>> _is_job_id('5c0e7a21d94b36f8'), _is_job_id('../etc')
    (True, False)
    """
    return len(text) == const.JOB_ID_LENGTH and all(
        char in '0123456789abcdefABCDEF' for char in text
    )
