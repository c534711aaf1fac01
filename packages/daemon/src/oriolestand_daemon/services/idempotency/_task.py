"""Proxy for requests with an idempotency key.

It runs between the frontend and the dispatch service.
"""

import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_daemon.messages import idempotency as contracts
from oriolestand_daemon.services.idempotency import _exchange
from oriolestand_daemon.services.idempotency import _store
from oriolestand_daemon.services.idempotency import const
from oriolestand_daemon.services.idempotency import errors
from oriolestand_policy import idempotency

Phase = _exchange.Phase


class IdempotencyTask(core.Task):
    """Claims keys, and runs, replays or refuses their requests."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._exchanges: dict[int, _exchange.KeyedExchange] = {}
        self._exchanges_by_request: dict[str, _exchange.KeyedExchange] = {}
        self._next_xid = 2
        self._drained: defer.Deferred[None] | None = None
        self._store = _store.KeyStore(
            kernel, self._on_claimed, self._on_conflict, self._on_not_recorded
        )

    @core.handles(exchange.OpenExchange)
    def _on_open_exchange(self, msg: exchange.OpenExchange) -> None:
        """Claim the key of a new request."""
        if len(msg.head.idempotency_key) > const.MAX_KEY_CHARS:
            error = errors.BadKeyError('the idempotency key is too long')
            msg.caller.post(
                exchange.ExchangeFailed(xid=msg.caller.xid, error=error)
            )
            return
        request = _exchange.KeyedExchange(self._next_xid, msg)
        self._next_xid += 2
        self._exchanges[request.xid] = request
        self._exchanges_by_request[msg.ticket.id] = request
        self._store.add(request.claim(version=0))

    def _find_exchange(
        self, claim: idempotency.Claim
    ) -> _exchange.KeyedExchange | None:
        """Return the exchange of a claim, or None if it has ended."""
        return self._exchanges_by_request.get(claim.record.request_id)

    def _on_claimed(self, claim: idempotency.Claim) -> None:
        """Run a request after its claim was stored."""
        request = self._find_exchange(claim)
        if request is None:
            self._store.add(
                idempotency.make_not_run_write(claim, claim.version + 1)
            )
            return
        request.phase = Phase.RUNNING
        opened = dataclasses.replace(
            request.opened,
            caller=exchange.Endpoint(task=self, xid=request.xid + 1),
        )
        try:
            self.kernel.post('dispatch', opened)
        except core.InboxFullError as exc:
            self._on_failed(request, exc)

    def _on_conflict(self, conflict: idempotency.Conflict) -> None:
        """Handle a request whose key has the row of another request."""
        request = self._find_exchange(conflict.claim)
        if request is None:
            return
        if conflict.existing is None:
            self._store.add(request.claim(version=0))
            return
        request.existing = conflict.existing
        self._decide(request)

    def _decide(self, request: _exchange.KeyedExchange) -> None:
        """Run, replay or refuse a request depending on its key's row."""
        assert request.existing is not None
        head = request.opened.head
        decision = idempotency.decide(
            request.existing, head.method, head.target, request.digest
        )
        match decision:
            case idempotency.Run():
                self._store.add(request.claim(decision.version))
            case idempotency.DigestBody():
                self._read_body(request)
            case idempotency.Replay():
                self._replay(request, decision.answer)
            case idempotency.Refuse():
                self._fail(request, decision.error)

    def _read_body(self, request: _exchange.KeyedExchange) -> None:
        """Request the body from the caller's side to compute its digest."""
        request.phase = Phase.DIGESTING
        self._accept(request)
        self._grant_credit(request, exchange.CREDIT_BYTES)

    def _accept(self, request: _exchange.KeyedExchange) -> None:
        """Accept the exchange, so that the caller's side can send the body."""
        request.caller.post(
            exchange.ExchangeAccepted(
                xid=request.caller.xid,
                server=exchange.Endpoint(task=self, xid=request.xid),
            )
        )

    def _grant_credit(
        self, request: _exchange.KeyedExchange, size: int
    ) -> None:
        """Grant the caller's side credit for more body bytes."""
        request.caller.post(exchange.Credit(xid=request.caller.xid, size=size))

    def _replay(
        self,
        request: _exchange.KeyedExchange,
        answer: idempotency.StoredAnswer,
    ) -> None:
        """Send a stored response."""
        xid = request.caller.xid
        headers = (*answer.headers, (const.HEADER_REPLAYED, 'true'))
        request.caller.post(
            exchange.ResponseHead(
                xid=xid, status=answer.status, headers=headers
            )
        )
        if answer.body:
            request.caller.post(
                exchange.ResponseChunk(xid=xid, data=answer.body)
            )
        request.caller.post(exchange.ResponseEnd(xid=xid))
        self._remove(request)

    def _on_not_recorded(self, claim: idempotency.Claim) -> None:
        """Refuse a request whose key could not be recorded."""
        request = self._find_exchange(claim)
        if request is not None:
            self._fail(
                request,
                errors.KeyNotRecordedError(
                    'the idempotency key could not be recorded'
                ),
            )

    def _fail(
        self, request: _exchange.KeyedExchange, error: core.OriolestandError
    ) -> None:
        """Remove a request; send the error unless the caller cancelled it."""
        if not request.is_cancelled:
            request.caller.post(
                exchange.ExchangeFailed(xid=request.caller.xid, error=error)
            )
        self._remove(request)

    def _remove(self, request: _exchange.KeyedExchange) -> None:
        """Remove a request that has ended."""
        del self._exchanges[request.xid]
        del self._exchanges_by_request[request.opened.ticket.id]
        if self._drained is not None and not self._exchanges:
            drained, self._drained = self._drained, None
            drained.callback(None)

    # Messages from the caller's side have even exchange ids.

    @core.handles(exchange.BodyChunk)
    def _on_body_chunk(self, msg: exchange.BodyChunk) -> None:
        """Add a body chunk to the digest; forward it unless only digesting."""
        request = self._exchanges.get(msg.xid)
        if request is None:
            return
        request.add_body(msg.data)
        if request.phase is Phase.DIGESTING:
            self._grant_credit(request, len(msg.data))
        else:
            self._forward_to_server(request, msg)

    @core.handles(exchange.BodyEnd)
    def _on_body_end(self, msg: exchange.BodyEnd) -> None:
        """Forward the end of the body; while digesting, compare the digest."""
        request = self._exchanges.get(msg.xid)
        if request is None:
            return
        request.end_body()
        if request.phase is Phase.DIGESTING:
            self._decide(request)
        else:
            self._forward_to_server(request, msg)

    @core.handles(exchange.Cancel)
    def _on_cancel(self, msg: exchange.Cancel) -> None:
        """Forward a cancellation; the server's side then ends the request."""
        request = self._exchanges.get(msg.xid)
        if request is None:
            return
        request.is_cancelled = True
        if request.phase is Phase.DIGESTING:
            self._remove(request)
        else:
            self._forward_to_server(request, msg)

    @core.handles(exchange.CancelRequest)
    def _on_cancel_request(self, msg: exchange.CancelRequest) -> None:
        """Cancel a request that no upstream has accepted."""
        request = self._exchanges_by_request.get(msg.ticket_id)
        if request is None:
            return
        request.is_cancelled = True
        if request.phase is not Phase.RUNNING:
            self._remove(request)
            return
        fut = self.kernel.ask('dispatch', msg)
        fut.addCallback(self._on_cancel_reply, request)

    def _on_cancel_reply(
        self, is_dropped: bool, request: _exchange.KeyedExchange
    ) -> None:
        """Record that a request did not run if dispatch dropped it."""
        if is_dropped and request.xid in self._exchanges:
            self._store.add(
                request.make_outcome_write(idempotency.KeyState.DID_NOT_RUN)
            )
            self._remove(request)

    def _forward_to_server(
        self, request: _exchange.KeyedExchange, msg: Any
    ) -> None:
        """Forward a message to the server's side."""
        if request.server is not None:
            request.server.post(
                dataclasses.replace(msg, xid=request.server.xid)
            )

    # Messages from the server's side have odd exchange ids.

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Record the server's side and accept the exchange of the caller."""
        request = self._exchanges.get(msg.xid - 1)
        if request is None or request.is_cancelled:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        request.server = msg.server
        self._accept(request)

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Forward credit in either direction."""
        if msg.xid % 2:
            self._forward_to_caller(msg)
            return
        request = self._exchanges.get(msg.xid)
        if request is not None:
            self._forward_to_server(request, msg)

    @core.handles(exchange.ResponseHead)
    def _on_response_head(self, msg: exchange.ResponseHead) -> None:
        """Record and forward the response head."""
        request = self._forward_to_caller(msg)
        if request is not None:
            request.begin_response(msg)

    @core.handles(exchange.ResponseChunk)
    def _on_response_chunk(self, msg: exchange.ResponseChunk) -> None:
        """Record and forward a response chunk."""
        request = self._forward_to_caller(msg)
        if request is not None:
            request.add_response_chunk(msg.data)

    @core.handles(exchange.ResponseEnd)
    def _on_response_end(self, msg: exchange.ResponseEnd) -> None:
        """Forward the end of the response; record that the request ran."""
        request = self._forward_to_caller(msg)
        if request is not None:
            self._store.add(
                request.make_outcome_write(idempotency.KeyState.RAN)
            )
            self._remove(request)

    def _forward_to_caller(self, msg: Any) -> _exchange.KeyedExchange | None:
        """Forward a message to the caller's side; return its request."""
        request = self._exchanges.get(msg.xid - 1)
        if request is not None and not request.is_cancelled:
            request.caller.post(
                dataclasses.replace(msg, xid=request.caller.xid)
            )
        return request

    @core.handles(exchange.ExchangeFailed)
    def _on_exchange_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Handle the failure of a request."""
        request = self._exchanges.get(msg.xid - 1)
        if request is not None:
            self._on_failed(request, msg.error)

    def _on_failed(
        self, request: _exchange.KeyedExchange, error: core.OriolestandError
    ) -> None:
        """Fail a claimed request; record it if the request did not run."""
        if error.verdict is core.Verdict.DID_NOT_RUN:
            self._store.add(
                request.make_outcome_write(idempotency.KeyState.DID_NOT_RUN)
            )
        self._fail(request, error)

    @core.handles(contracts.DrainKeys)
    def _on_drain(self, msg: contracts.DrainKeys) -> Any:
        """Reply once no request with a key is in progress."""
        if not self._exchanges:
            return None
        if self._drained is None:
            self._drained = defer.Deferred()
        return self._drained

    @core.handles(contracts.FlushKeys)
    def _on_flush(self, msg: contracts.FlushKeys) -> Any:
        """Reply once all outcomes are recorded."""
        return defer.ensureDeferred(self._flush())

    async def _flush(self) -> None:
        """Wait until no write is pending."""
        while not self._store.is_idle:
            await self.kernel.sleep(const.FLUSH_POLL_MS)

    def stop(self) -> object:
        """Stop retrying writes."""
        self._store.stop()
        return super().stop()
