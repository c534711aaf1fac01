"""Manage the connections to upstreams and the attempts that use them."""

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import grants
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.upstreams import _attempt
from oriolestand_daemon.services.upstreams import _owner
from oriolestand_daemon.services.upstreams import _pool
from oriolestand_daemon.services.upstreams import const


class UpstreamsTask(_owner.AttemptOwner):
    """Run attempts to serve requests over pooled connections."""

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
        """Subscribe to grants, which limit the connections."""
        self.kernel.subscribe(grants.GrantsChanged, self)
        self.kernel.subscribe(membership.UpstreamLeaving, self)
        return None

    @core.handles(grants.GrantsChanged)
    def _on_grants(self, msg: grants.GrantsChanged) -> None:
        """Apply the connection limits that follow from the grants."""
        self.pool.set_slots(msg.slots)

    @core.handles(membership.UpstreamLeaving)
    def _on_upstream_leaving(self, msg: membership.UpstreamLeaving) -> None:
        """Close the idle connections to an upstream that leaves."""
        self.pool.set_leaving(msg.address)

    @core.handles(exchange.StartExchange)
    def _on_start(self, msg: exchange.StartExchange) -> None:
        """Start an attempt."""
        self._next_xid += 1
        attempt = _attempt.Attempt(self, self._next_xid, msg)
        self._attempts[attempt.xid] = attempt
        if not self._is_sweeping:
            self._is_sweeping = True
            self.kernel.clock.call_later(const.SWEEP_INTERVAL_MS, self._sweep)
        attempt.begin()

    def _sweep(self) -> None:
        """Abort the attempts whose deadline has passed."""
        now = self.kernel.clock.now()
        expired = [a for a in self._attempts.values() if a.deadline <= now]
        for attempt in expired:
            attempt.expire()
        self._is_sweeping = bool(self._attempts)
        if self._is_sweeping:
            self.kernel.clock.call_later(const.SWEEP_INTERVAL_MS, self._sweep)

    @core.handles(exchange.BodyChunk)
    def _on_chunk(self, msg: exchange.BodyChunk) -> None:
        """Send a chunk of a request body to the upstream."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.send_body(msg.data)

    @core.handles(exchange.BodyEnd)
    def _on_body_end(self, msg: exchange.BodyEnd) -> None:
        """End a request body."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.end_body()

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Send more of a response to the caller side."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.on_credit(msg.size)

    @core.handles(exchange.Cancel)
    def _on_cancel(self, msg: exchange.Cancel) -> None:
        """Abort an attempt whose caller has left."""
        attempt = self._attempts.get(msg.xid)
        if attempt is not None:
            attempt.cancel()

    @core.handles(exchange.CancelAttempt)
    def _on_cancel_attempt(self, msg: exchange.CancelAttempt) -> None:
        """Abort the attempt of a ticket.

        Dispatch uses this when the caller side has no endpoint yet.
        """
        for attempt in list(self._attempts.values()):
            if attempt.ticket_id == msg.ticket_id:
                attempt.cancel()

    def remove_attempt(self, xid: int) -> None:
        """Stop tracking an attempt that has ended."""
        self._attempts.pop(xid, None)

    def report_span(self, span: telemetry.SpanEnded) -> None:
        """Report the span of an attempt to telemetry, if loaded."""
        if 'telemetry' in self.kernel.services:
            self.kernel.post('telemetry', span)

    def stop(self) -> object:
        """Abort all attempts and close idle connections."""
        for attempt in list(self._attempts.values()):
            attempt.cancel()
        self.pool.close()
        return super().stop()
