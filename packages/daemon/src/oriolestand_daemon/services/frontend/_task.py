"""Own the callers' listener and their exchanges."""

from typing import Any

from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.services.frontend import _request
from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import admission
from oriolestand_policy import routing
from oriolestand_policy import tables

MILLIS_PER_SECOND = 1000


class FrontendTask(core.Task):
    """Match requests against routes and pass answers to callers."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self.cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._generation = tables.Tables(version=0)
        self._router = routing.Router(self._generation)
        self._requests: dict[int, _request.CallerRequest] = {}
        self._next_xid = 0
        self._port: Any = None

    @property
    def address(self) -> str:
        """Return where callers connect."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def start(self) -> object:
        """Listen for callers."""
        self.kernel.subscribe(config.TablesChanged, self)
        timeout = self.cfg.limits.idle_timeout_ms / MILLIS_PER_SECOND
        factory: Any = http.HTTPFactory(
            timeout=timeout, reactor=self.kernel.reactor
        )
        factory.log = lambda _: None
        factory.protocol = lambda: _request.make_channel(self)
        listener = self.cfg.callers
        self._port = self.kernel.reactor.listenTCP(
            listener.port, factory, interface=listener.host
        )
        self._log.info('Listening', address=self.address)
        return None

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Match later requests against the new tables."""
        self._generation = msg.tables
        self._router = routing.Router(msg.tables)

    def open(self, req: '_request.CallerRequest') -> int:
        """Start an exchange for a request; return its id here."""
        route = self._router.find(req.facts)
        if route is None:
            raise errors.NoRouteError('no route matches', path=req.facts.path)
        self._next_xid += 1
        xid = self._next_xid
        self._requests[xid] = req
        now = self.kernel.clock.now()
        timeout = min(route.timeout_ms, req.timeout_ms or route.timeout_ms)
        deadline = core.Millis(now + timeout)
        headers = req.facts.headers
        team = headers.get(const.HEADER_TEAM.lower(), route.team)
        head = exchange.RequestHead(
            request_id=self.kernel.ids.request_id(),
            method=req.facts.method,
            target=req.target,
            headers=req.forward_headers,
            route=route,
            generation=self._generation.version,
            deadline=deadline,
            team=team,
            traceparent=headers.get(const.HEADER_TRACEPARENT, ''),
            body_length=req.body_length,
            idempotency_key=headers.get(
                const.HEADER_IDEMPOTENCY_KEY.lower(), ''
            ),
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
        self.kernel.post(
            'dispatch',
            exchange.OpenExchange(
                head=head,
                ticket=ticket,
                caller=exchange.Endpoint(task=self, xid=xid),
            ),
        )
        return xid

    def forget(self, xid: int) -> None:
        """Drop an exchange that has ended."""
        self._requests.pop(xid, None)

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Send the body to the server's side."""
        req = self._requests.get(msg.xid)
        if req is None:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        req.on_accepted(msg.server)

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Send more of the body."""
        req = self._requests.get(msg.xid)
        if req is not None:
            req.on_credit(msg.size)

    @core.handles(exchange.ResponseHead)
    def _on_head(self, msg: exchange.ResponseHead) -> None:
        """Begin the answer."""
        req = self._requests.get(msg.xid)
        if req is not None:
            req.on_head(msg.status, msg.headers)

    @core.handles(exchange.ResponseChunk)
    def _on_chunk(self, msg: exchange.ResponseChunk) -> None:
        """Write a part of the answer."""
        req = self._requests.get(msg.xid)
        if req is not None:
            req.on_chunk(msg.data)

    @core.handles(exchange.ResponseEnd)
    def _on_end(self, msg: exchange.ResponseEnd) -> None:
        """End the answer."""
        req = self._requests.pop(msg.xid, None)
        if req is not None:
            req.on_end()

    @core.handles(exchange.ExchangeFailed)
    def _on_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Answer with an error, or cut the answer visibly."""
        req = self._requests.pop(msg.xid, None)
        if req is not None:
            req.on_failed(msg.error)

    def stop(self) -> object:
        """Close the listener."""
        super().stop()
        return self._port.stopListening() if self._port else None
