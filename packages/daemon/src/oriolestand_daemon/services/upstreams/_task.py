"""Own the connections to upstreams and the attempts on them."""

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.upstreams import _attempt
from oriolestand_daemon.services.upstreams import _pool
from oriolestand_daemon.services.upstreams import const


class UpstreamsTask(core.Task):
    """Pool connections by upstream and run one attempt on each."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel, abort_grace_ms: int) -> None:
        super().__init__(kernel, const.DOMAIN)
        self.abort_grace_ms = abort_grace_ms
        self.log = core.get_logger(const.DOMAIN)
        self.pool = _pool.ConnectionPool(kernel.reactor)
        self._attempts: dict[int, _attempt.Attempt] = {}
        self._next_xid = 0
        self._is_sweeping = False

    def start(self) -> object:
        """Follow the grants, which bound the connections."""
        self.kernel.subscribe(grants.GrantsChanged, self)
        self.kernel.subscribe(membership.UpstreamLeaving, self)
        return None

    @core.handles(grants.GrantsChanged)
    def _on_grants(self, msg: grants.GrantsChanged) -> None:
        """Keep no more connections than the slots allow."""
        self.pool.set_slots(msg.slots)

    @core.handles(membership.UpstreamLeaving)
    def _on_leaving(self, msg: membership.UpstreamLeaving) -> None:
        """Keep no idle connection to an upstream that leaves."""
        self.pool.set_leaving(msg.address)

    @core.handles(exchange.StartExchange)
    def _on_start(self, msg: exchange.StartExchange) -> None:
        """Begin an attempt."""
        self._next_xid += 1
        attempt = _attempt.Attempt(self, self._next_xid, msg)
        self._attempts[attempt.xid] = attempt
        if not self._is_sweeping:
            self._is_sweeping = True
            self.kernel.clock.call_later(const.SWEEP_INTERVAL_MS, self._sweep)
        attempt.begin()

    def _sweep(self) -> None:
        """End the attempts whose deadline has passed."""
        now = self.kernel.clock.now()
        late = [a for a in self._attempts.values() if a.deadline <= now]
        for attempt in late:
            attempt.expire()
        self._is_sweeping = bool(self._attempts)
        if self._is_sweeping:
            self.kernel.clock.call_later(const.SWEEP_INTERVAL_MS, self._sweep)

    @core.handles(exchange.BodyChunk)
    def _on_chunk(self, msg: exchange.BodyChunk) -> None:
        """Pass on a part of a request's body."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.send_body(msg.data)

    @core.handles(exchange.BodyEnd)
    def _on_body_end(self, msg: exchange.BodyEnd) -> None:
        """End a request's body."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.end_body()

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Send more of a response."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.add_credit(msg.size)

    @core.handles(exchange.Cancel)
    def _on_cancel(self, msg: exchange.Cancel) -> None:
        """Abort an attempt whose caller left."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.cancel()

    @core.handles(exchange.CancelAttempt)
    def _on_cancel_attempt(self, msg: exchange.CancelAttempt) -> None:
        """Abort an attempt that its caller's side does not know yet."""
        for attempt in list(self._attempts.values()):
            if attempt.ticket_id == msg.ticket_id:
                attempt.cancel()

    def forget(self, xid: int) -> None:
        """Drop an attempt that has ended."""
        self._attempts.pop(xid, None)

    def report_span(self, span: telemetry.SpanEnded) -> None:
        """Tell telemetry about an attempt at a sampled request."""
        if 'telemetry' in self.kernel.services:
            self.kernel.post('telemetry', span)

    def stop(self) -> object:
        """Close idle connections and abort what still runs."""
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        self.pool.close()
        return super().stop()
