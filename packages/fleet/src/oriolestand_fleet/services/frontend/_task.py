"""Serve the HTTP requests of callers and the load balancer."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.frontend import _channel
from oriolestand_fleet.services.frontend import _routes
from oriolestand_fleet.services.frontend import const
from oriolestand_fleet.services.frontend import errors


class FrontendTask(core.Task):
    """Serve callers and readiness checks over HTTP."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._codec = cfg.codec
        self._log = core.get_logger(const.DOMAIN)
        self._routes: _routes.RouteTable | None = None
        self._synced_ms: int | None = None
        self._is_shutting_down = False
        self._was_ready = False
        self._ports: list[Any] = []
        self._open_requests = 0
        self._factory = _channel.FrontendFactory(
            kernel.clock, kernel.reactor, self._on_request, self._body_limit
        )

    def start(self) -> None:
        """Listen for callers and for readiness checks."""
        for event in (
            config_messages.ConfigChanged,
            jobs.ReplicaSyncAttempted,
            lifecycle.ShutdownStarted,
        ):
            self.kernel.subscribe(event, self)
        self._factory.arrivals.start()
        ready = _channel.FrontendFactory(
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
        """Apply the routes and the idle timeout of the configuration."""
        self._routes = _routes.RouteTable(msg.config)
        self._factory.timeOut = msg.config.idle_timeout_ms / 1000

    @core.handles(jobs.ReplicaSyncAttempted)
    def _on_replica_sync(self, msg: jobs.ReplicaSyncAttempted) -> None:
        """Record when the replica was last in sync."""
        if msg.is_reachable and msg.is_complete:
            self._synced_ms = self.kernel.clock.now()

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Report not ready, and close each connection after its response."""
        self._is_shutting_down = True

    # Readiness.

    def _on_ready_request(self, req: Any) -> None:
        """Answer a readiness check of the load balancer."""
        is_ready = self._is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._log.info(
                'Readiness changed',
                is_ready=is_ready,
                has_config=self._routes is not None,
                is_leaving=self._is_shutting_down,
                synced_ms_ago=self._ms_since_sync(),
            )
        req.setResponseCode(200 if is_ready else 503)
        req.setHeader(b'content-length', b'0')
        req.finish()

    def _ms_since_sync(self) -> int | None:
        """Return the milliseconds since the replica was last in sync."""
        if self._synced_ms is None:
            return None
        return self.kernel.clock.now() - self._synced_ms

    def _is_ready(self) -> bool:
        """Return whether the daemon can serve callers."""
        age = self._ms_since_sync()
        if self._routes is None or self._is_shutting_down or age is None:
            return False
        # A follow request takes up to one second if the table is unchanged.
        return age <= const.SYNC_GRACE_MS + 1_000

    # Requests.

    def _body_limit(self) -> int:
        """Return the largest request body to accept, in bytes."""
        if self._routes is None:
            return const.DEFAULT_BODY_BYTES
        return self._routes.config.body_bytes

    def _on_request(self, req: _channel.FrontendRequest) -> None:
        """Serve a request of a caller in the background."""
        self._open_requests += 1
        disconnects: list[bool] = []
        req.notifyFinish().addErrback(lambda _: disconnects.append(True))
        fut = defer.ensureDeferred(self._serve(req))
        fut.addErrback(self._error_response, req)
        fut.addCallback(self._send_response, req, disconnects)
        fut.addErrback(self._on_send_failed)
        fut.addBoth(self._on_request_done)

    def _on_request_done(self, _: object) -> None:
        """Count a request as finished."""
        self._open_requests -= 1

    def _on_send_failed(self, reason: Any) -> None:
        """Log an unexpected error while sending a response."""
        self._log.error('Response not sent', reason=reason.getTraceback())

    async def _serve(self, req: _channel.FrontendRequest) -> tuple[int, bytes]:
        """Return the status and body of the response."""
        host = (req.getHeader(b'host') or b'').decode('latin-1')
        path = req.path.decode('latin-1')
        if self._routes is None:
            if await self._is_repeat(req, host, path):
                return 200, b''
            raise errors.NoConfigError('no configuration has been loaded')
        match = self._routes.find(host, path)
        if match is None:
            raise errors.NoRouteError(
                'no route matches',
                host=host,
                path=path,
                version=self._routes.config.version,
            )
        route, job = match
        deadline = req.arrival_ms + _timeout_ms(req)
        if not job:
            return await self._count_waiting(req, route, deadline)
        if not _is_job_id(job):
            raise errors.BadRequestError(
                'the path does not contain a valid job id', path=path
            )
        if req.method == b'POST':
            return await self._submit(req, job, route, deadline)
        if req.method == b'GET':
            return await self._get_state(job, route, deadline)
        if req.method == b'DELETE':
            return await self._cancel(job, route, deadline)
        raise errors.BadRequestError('the method is not supported', path=path)

    async def _is_repeat(
        self, req: _channel.FrontendRequest, host: str, path: str
    ) -> bool:
        """Return whether a request repeats an accepted submission.

        This needs no configuration. A caller that is told that its job did
        not run would submit it again elsewhere under another id.
        """
        job = path[-const.JOB_ID_LENGTH :]
        if req.method != b'POST' or not _is_job_id(job):
            return False
        route = _routes.route_of_job(host, path, job)
        try:
            is_stored: bool = await self.kernel.ask(
                jobs.SERVICE, jobs.FindJob(job=job, route=route)
            )
        except jobs.StateUnknownError:
            return False
        return is_stored

    async def _submit(
        self,
        req: _channel.FrontendRequest,
        job: str,
        route: store.Route,
        deadline: int,
    ) -> tuple[int, bytes]:
        """Decode and store a job."""
        assert req.content is not None
        body = req.content.read()
        spec = self._codec.decode_job(
            body, job, route.policy.name, self.kernel.clock.wall()
        )
        await self.kernel.ask(
            jobs.SERVICE,
            jobs.SubmitJob(spec=spec, route=route, deadline_ms=deadline),
        )
        return 200, b''

    async def _get_state(
        self, job: str, route: store.Route, deadline: int
    ) -> tuple[int, bytes]:
        """Return the response with the state of a job."""
        state = await self.kernel.ask(
            jobs.SERVICE,
            jobs.GetState(job=job, route=route, deadline_ms=deadline),
        )
        if state is None:
            raise errors.JobNotFoundError('no job has this id', job=job)
        return 200, self._codec.encode_state(state.value)

    async def _cancel(
        self, job: str, route: store.Route, deadline: int
    ) -> tuple[int, bytes]:
        """Cancel a job."""
        is_known = await self.kernel.ask(
            jobs.SERVICE,
            jobs.CancelJob(job=job, route=route, deadline_ms=deadline),
        )
        if not is_known:
            raise errors.JobNotFoundError('no job has this id', job=job)
        return 200, b''

    async def _count_waiting(
        self, req: _channel.FrontendRequest, route: store.Route, deadline: int
    ) -> tuple[int, bytes]:
        """Return the response with the number of waiting jobs of a route."""
        if req.method != b'GET':
            raise errors.BadRequestError('a job id is required')
        count = await self.kernel.ask(
            jobs.SERVICE,
            jobs.CountWaiting(route=route, deadline_ms=deadline),
        )
        return 200, self._codec.encode_waiting(count)

    def _error_response(
        self, reason: Any, req: _channel.FrontendRequest
    ) -> tuple[int, bytes]:
        """Log an error and return its response."""
        exc = reason.value
        if not isinstance(exc, core.OriolestandError):
            self._log.error('Request failed', reason=reason.getTraceback())
            # The error may have come after a job was stored.
            exc = core.OriolestandError(
                'internal error', core.Verdict.MAY_HAVE_RUN
            )
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
            retry_after_s = const.RETRY_AFTER_S
            if isinstance(exc, jobs.OwnerOverloadedError):
                retry_after_s = exc.retry_after_s
            req.setHeader(b'retry-after', b'%d' % retry_after_s)
        body = self._codec.encode_error(
            exc.code, exc.message, exc.verdict.value
        )
        return exc.http_status, body

    def _send_response(
        self,
        response: tuple[int, bytes],
        req: _channel.FrontendRequest,
        disconnects: list[bool],
    ) -> None:
        """Send a response unless the caller has disconnected."""
        status, body = response
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.Count(
                name='requests',
                label=f'{req.method.decode("latin-1")[:8]} {status}',
            ),
        )
        if disconnects:
            return
        req.setResponseCode(status)
        if body:
            req.setHeader(b'content-type', self._codec.content_type.encode())
        req.setHeader(b'content-length', b'%d' % len(body))
        if self._is_shutting_down:
            req.setHeader(b'connection', b'close')
        if body:
            req.write(body)
        req.finish()

    # Shutdown.

    @core.handles(lifecycle.DrainConnections)
    def _on_drain(
        self, msg: lifecycle.DrainConnections
    ) -> 'defer.Deferred[None]':
        """Close all connections without interrupting requests."""
        return defer.ensureDeferred(self._drain())

    async def _drain(self) -> None:
        """Accept connections for a while, then close each when it is idle."""
        await self.kernel.sleep(const.DRAIN_SERVE_MS)
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        self._ports = []
        while self._factory.channels:
            due_ms = self.kernel.clock.now()
            await self.kernel.sleep(const.NEXT_PASS_MS)
            for channel in list(self._factory.channels):
                idle_ms = due_ms - channel.idle_since
                if channel.is_idle and idle_ms >= const.DRAIN_IDLE_MS:
                    channel.close()
            await self.kernel.sleep(const.DRAIN_POLL_MS)


def _timeout_ms(req: Any) -> int:
    """Return the caller's timeout in milliseconds."""
    text = req.getHeader(const.HEADER_DEADLINE)
    try:
        return max(1, int(text)) if text else const.DEFAULT_DEADLINE_MS
    except ValueError:
        return const.DEFAULT_DEADLINE_MS


def _is_job_id(text: str) -> bool:
    """Return whether a text has the form of a job id.

    >>> _is_job_id('5c0e7a21d94b36f8'), _is_job_id('../etc')
    (True, False)
    """
    return len(text) == const.JOB_ID_LENGTH and all(
        char in '0123456789abcdefABCDEF' for char in text
    )
