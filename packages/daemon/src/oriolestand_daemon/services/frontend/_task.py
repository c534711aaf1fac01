"""Run the listener for callers and track their exchanges."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import lifecycle
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.frontend import _channel
from oriolestand_daemon.services.frontend import _head
from oriolestand_daemon.services.frontend import _owner
from oriolestand_daemon.services.frontend import _request
from oriolestand_daemon.services.frontend import _tls
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import admission
from oriolestand_policy import routing
from oriolestand_policy import tables


class FrontendTask(
    _owner.ChannelOwner[_request.CallerRequest, _channel.CallerChannel]
):
    """Route requests of callers and send them the responses."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self.cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._tables = tables.Tables(version=0)
        self._router = routing.Router(self._tables)
        self._requests: dict[int, _request.CallerRequest] = {}
        self._next_xid = 0
        self._port: Any = None
        self._sampler = telemetry.Sampler(cfg.telemetry.sample_rate)
        self._telemetry: core.Actor | None = None
        self.channels: set[_channel.CallerChannel] = set()
        self.is_leaving = False
        self._all_closed: defer.Deferred[None] | None = None

    @property
    def address(self) -> str:
        """Return the listening address as host:port, empty if closed."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def start(self) -> object:
        """Open the listener for callers."""
        self.kernel.subscribe(config.TablesChanged, self)
        self.kernel.subscribe(lifecycle.ShutdownStarted, self)
        self._telemetry = self.kernel.services.get('telemetry')
        self._port = _tls.listen(
            self.kernel.reactor,
            _channel.CallerFactory(self),
            self.cfg.callers,
        )
        self._sweep()
        self._log.info('Listening', address=self.address)
        return None

    def _sweep(self) -> None:
        """Check all connections for timeouts and callers that have left."""
        if self.is_stopped and not self.channels:
            return
        now = self.kernel.clock.now()
        for channel in list(self.channels):
            channel.sweep(now)
        self.kernel.clock.call_later(const.SWEEP_INTERVAL_MS, self._sweep)

    @core.handles(config.TablesChanged)
    def _on_tables_changed(self, msg: config.TablesChanged) -> None:
        """Use the new tables for requests that start from now on."""
        self._tables = msg.tables
        self._router = routing.Router(msg.tables)

    def open_exchange(
        self, req: _request.CallerRequest, parsed: _head.Head
    ) -> int:
        """Start an exchange for a request; return its local id.

        Raise NoRouteError if no route matches.
        """
        route = self._router.find(parsed.attributes)
        if route is None:
            raise errors.NoRouteError(
                'no route matches', path=parsed.attributes.path
            )
        now = self.kernel.clock.now()
        timeout = min(route.timeout_ms, parsed.timeout_ms or route.timeout_ms)
        deadline = core.Millis(now + timeout)
        headers = parsed.attributes.headers
        team = headers.get(const.HEADER_TEAM, route.team)
        req.record_start(
            route,
            now,
            self._sampler.start_trace(
                headers.get(const.HEADER_TRACEPARENT, '')
            ),
        )
        head = exchange.RequestHead(
            request_id=self.kernel.ids.request_id(),
            method=parsed.attributes.method,
            target=parsed.target,
            headers=parsed.headers,
            route=route,
            generation=self._tables.version,
            deadline=deadline,
            team=team,
            traceparent=req.traceparent,
            body_length=req.body_length,
            idempotency_key=headers.get(const.HEADER_IDEMPOTENCY_KEY, ''),
        )
        ticket = admission.Ticket(
            id=head.request_id,
            pool=route.pool,
            team=team,
            kind=route.kind,
            priority=route.priority,
            arrived=now,
            deadline=deadline,
            safe=route.idempotent and head.method in const.SAFE_METHODS,
            body_is_empty=req.body_length == 0,
        )
        req.ticket_id = ticket.id
        needs_deduplication = head.idempotency_key and not route.idempotent
        req.service = 'idempotency' if needs_deduplication else 'dispatch'
        self._next_xid += 1
        xid = self._next_xid
        self._requests[xid] = req
        message = exchange.OpenExchange(
            head=head,
            ticket=ticket,
            caller=exchange.Endpoint(task=self, xid=xid),
        )
        try:
            self.kernel.post(req.service, message)
        except core.OriolestandError:
            del self._requests[xid]
            raise
        return xid

    def report_end(
        self,
        req: _request.CallerRequest,
        verdict: core.Verdict,
        has_left: bool = False,
    ) -> None:
        """Report the end of a request to telemetry."""
        if self._telemetry is None:
            return
        route = req.route
        now = self.kernel.clock.now()
        self._telemetry.post(
            telemetry.RequestEnded(
                route=route.name if route is not None else '',
                pool=route.pool if route is not None else '',
                verdict=verdict,
                status=req.status,
                latency_ms=now - req.started if route is not None else 0,
                has_left=has_left,
            )
        )
        if req.trace is not None and req.trace.is_sampled:
            self._telemetry.post(
                telemetry.SpanEnded(
                    name='frontend',
                    context=req.trace,
                    parent_id=req.parent_id,
                    started=req.started,
                    ended=now,
                    attributes=(
                        ('http.response.status_code', str(req.status)),
                        ('oriolestand.verdict', verdict.value),
                    ),
                )
            )

    def remove_exchange(self, xid: int) -> None:
        """Stop tracking an exchange that has ended."""
        self._requests.pop(xid, None)

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Start sending the body to the server side."""
        req = self._requests.get(msg.xid)
        if req is None:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        req.on_accepted(msg.server)

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Send more of the body, as far as credit allows."""
        req = self._requests.get(msg.xid)
        if req is not None:
            req.on_credit(msg.size)

    @core.handles(exchange.ResponseHead)
    def _on_head(self, msg: exchange.ResponseHead) -> None:
        """Start the response."""
        req = self._requests.get(msg.xid)
        if req is not None:
            req.on_head(msg.status, msg.headers)

    @core.handles(exchange.ResponseChunk)
    def _on_chunk(self, msg: exchange.ResponseChunk) -> None:
        """Write a chunk of the response."""
        req = self._requests.get(msg.xid)
        if req is not None:
            req.on_chunk(msg.data)

    @core.handles(exchange.ResponseEnd)
    def _on_end(self, msg: exchange.ResponseEnd) -> None:
        """End the response."""
        req = self._requests.pop(msg.xid, None)
        if req is not None:
            req.on_end()

    @core.handles(exchange.ExchangeFailed)
    def _on_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Send an error response, or abort a response that has started."""
        req = self._requests.pop(msg.xid, None)
        if req is not None:
            req.on_failed(msg.error)

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Announce with each response that the connection will be closed."""
        self.is_leaving = True

    @core.handles(lifecycle.CloseListener)
    def _on_close_listener(self, msg: lifecycle.CloseListener) -> object:
        """Stop accepting connections; requests in progress continue."""
        for channel in list(self.channels):
            channel.close_if_idle()
        return self._close_port()

    @core.handles(lifecycle.CloseConnections)
    def _on_close_connections(self, msg: lifecycle.CloseConnections) -> object:
        """Close all connections after their pending output is sent."""
        if not self.channels:
            return None
        self._all_closed = defer.Deferred()
        for channel in list(self.channels):
            channel.close()
        return self._all_closed

    def on_channel_lost(self, channel: _channel.CallerChannel) -> None:
        """Stop tracking a connection that is closed."""
        self.channels.discard(channel)
        if self._all_closed is not None and not self.channels:
            all_closed, self._all_closed = self._all_closed, None
            all_closed.callback(None)

    def _close_port(self) -> object:
        """Close the listener."""
        port, self._port = self._port, None
        return defer.maybeDeferred(port.stopListening) if port else None

    def stop(self) -> object:
        """Close the listener."""
        super().stop()
        return self._close_port()
