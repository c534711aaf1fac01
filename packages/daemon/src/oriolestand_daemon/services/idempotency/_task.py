"""Stand between frontend and dispatch for requests with a key."""

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
    """Own the requests with a key that are in progress here."""

    inbox_limit = 65_536

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._items: dict[int, _exchange.KeyedExchange] = {}
        self._by_request: dict[str, _exchange.KeyedExchange] = {}
        self._next_xid = 2
        self._drained: defer.Deferred[None] | None = None
        self._store = _store.KeyStore(
            kernel, self._on_claimed, self._on_conflict, self._on_not_recorded
        )

    @core.handles(exchange.OpenExchange)
    def _on_open(self, msg: exchange.OpenExchange) -> None:
        """Claim the key of a new request."""
        if len(msg.head.idempotency_key) > const.MAX_KEY_CHARS:
            error = errors.BadKeyError('the key is too long')
            msg.caller.post(
                exchange.ExchangeFailed(xid=msg.caller.xid, error=error)
            )
            return
        item = _exchange.KeyedExchange(self._next_xid, msg)
        self._next_xid += 2
        self._items[item.xid] = item
        self._by_request[msg.ticket.id] = item
        self._store.add(item.claim(version=0))

    def _claimant(
        self, claim: idempotency.Claim
    ) -> _exchange.KeyedExchange | None:
        """Return the request of a claim unless it has ended."""
        return self._by_request.get(claim.record.request_id)

    def _on_claimed(self, claim: idempotency.Claim) -> None:
        """Run a request whose key is recorded."""
        item = self._claimant(claim)
        if item is None:
            self._store.add(idempotency.withdraw(claim, claim.version + 1))
            return
        item.phase = Phase.RUNNING
        opened = dataclasses.replace(
            item.opened,
            caller=exchange.Endpoint(task=self, xid=item.xid + 1),
        )
        try:
            self.kernel.post('dispatch', opened)
        except core.InboxFullError as exc:
            self._on_error(item, exc)

    def _on_conflict(self, conflict: idempotency.Conflict) -> None:
        """Decide on a request whose key is known."""
        item = self._claimant(conflict.claim)
        if item is None:
            return
        if conflict.known is None:
            self._store.add(item.claim(version=0))
            return
        item.known = conflict.known
        self._decide(item)

    def _decide(self, item: _exchange.KeyedExchange) -> None:
        """Do what the known row asks for."""
        assert item.known is not None
        head = item.opened.head
        decision = idempotency.decide(
            item.known, head.method, head.target, item.digest
        )
        match decision:
            case idempotency.Run():
                self._store.add(item.claim(decision.version))
            case idempotency.DigestBody():
                self._read_body(item)
            case idempotency.Replay():
                self._replay(item, decision.answer)
            case idempotency.Refuse():
                self._end(item, decision.error)

    def _read_body(self, item: _exchange.KeyedExchange) -> None:
        """Let the caller's side send the body here."""
        item.phase = Phase.DIGESTING
        self._accept(item)
        self._give_credit(item, exchange.CREDIT_BYTES)

    def _accept(self, item: _exchange.KeyedExchange) -> None:
        """Tell the caller's side where to send the body."""
        item.caller.post(
            exchange.ExchangeAccepted(
                xid=item.caller.xid,
                server=exchange.Endpoint(task=self, xid=item.xid),
            )
        )

    def _give_credit(self, item: _exchange.KeyedExchange, size: int) -> None:
        """Allow the caller's side to send more."""
        item.caller.post(exchange.Credit(xid=item.caller.xid, size=size))

    def _replay(
        self, item: _exchange.KeyedExchange, answer: idempotency.StoredAnswer
    ) -> None:
        """Send a stored answer."""
        xid = item.caller.xid
        headers = (*answer.headers, (const.HEADER_REPLAYED, 'true'))
        item.caller.post(
            exchange.ResponseHead(
                xid=xid, status=answer.status, headers=headers
            )
        )
        if answer.body:
            item.caller.post(exchange.ResponseChunk(xid=xid, data=answer.body))
        item.caller.post(exchange.ResponseEnd(xid=xid))
        self._forget(item)

    def _on_not_recorded(self, claim: idempotency.Claim) -> None:
        """Refuse a request that would run unguarded."""
        item = self._claimant(claim)
        if item is not None:
            self._end(
                item, errors.KeyNotRecordedError('the key was not recorded')
            )

    def _end(
        self, item: _exchange.KeyedExchange, error: core.OriolestandError
    ) -> None:
        """End a request with an error."""
        if not item.is_cancelled:
            item.caller.post(
                exchange.ExchangeFailed(xid=item.caller.xid, error=error)
            )
        self._forget(item)

    def _forget(self, item: _exchange.KeyedExchange) -> None:
        """Drop a request that has ended."""
        del self._items[item.xid]
        del self._by_request[item.opened.ticket.id]
        if self._drained is not None and not self._items:
            drained, self._drained = self._drained, None
            drained.callback(None)

    # Messages of the caller's side have even ids.

    @core.handles(exchange.BodyChunk)
    def _on_chunk(self, msg: exchange.BodyChunk) -> None:
        """Digest a part of the body and pass it on."""
        item = self._items.get(msg.xid)
        if item is None:
            return
        item.add_body(msg.data)
        if item.phase is Phase.DIGESTING:
            self._give_credit(item, len(msg.data))
        else:
            self._to_server(item, msg)

    @core.handles(exchange.BodyEnd)
    def _on_body_end(self, msg: exchange.BodyEnd) -> None:
        """Pass on the end of the body, or decide by its digest."""
        item = self._items.get(msg.xid)
        if item is None:
            return
        item.end_body()
        if item.phase is Phase.DIGESTING:
            self._decide(item)
        else:
            self._to_server(item, msg)

    @core.handles(exchange.Cancel)
    def _on_cancel(self, msg: exchange.Cancel) -> None:
        """Pass on that the caller left; dispatch says how it ended."""
        item = self._items.get(msg.xid)
        if item is None:
            return
        item.is_cancelled = True
        if item.phase is Phase.DIGESTING:
            self._forget(item)
        else:
            self._to_server(item, msg)

    @core.handles(exchange.CancelRequest)
    def _on_cancel_request(self, msg: exchange.CancelRequest) -> None:
        """Drop a request that no upstream has accepted."""
        item = self._by_request.get(msg.ticket_id)
        if item is None:
            return
        item.is_cancelled = True
        if item.phase is not Phase.RUNNING:
            self._forget(item)
            return
        fut = self.kernel.ask('dispatch', msg)
        fut.addCallback(self._on_dropped, item)

    def _on_dropped(
        self, is_dropped: bool, item: _exchange.KeyedExchange
    ) -> None:
        """Record that a request was dropped while it waited."""
        if is_dropped and item.xid in self._items:
            self._store.add(item.settle(idempotency.KeyState.DID_NOT_RUN))
            self._forget(item)

    def _to_server(self, item: _exchange.KeyedExchange, msg: Any) -> None:
        """Pass a message on to the server's side."""
        if item.server is not None:
            item.server.post(dataclasses.replace(msg, xid=item.server.xid))

    # Messages of the server's side have odd ids.

    @core.handles(exchange.ExchangeAccepted)
    def _on_accepted(self, msg: exchange.ExchangeAccepted) -> None:
        """Let the caller's side send the body."""
        item = self._items.get(msg.xid - 1)
        if item is None or item.is_cancelled:
            msg.server.post(exchange.Cancel(xid=msg.server.xid))
            return
        item.server = msg.server
        self._accept(item)

    @core.handles(exchange.Credit)
    def _on_credit(self, msg: exchange.Credit) -> None:
        """Pass credit on in either direction."""
        if msg.xid % 2:
            self._to_caller(msg)
            return
        item = self._items.get(msg.xid)
        if item is not None:
            self._to_server(item, msg)

    @core.handles(exchange.ResponseHead)
    def _on_head(self, msg: exchange.ResponseHead) -> None:
        """Keep the head of the answer and pass it on."""
        item = self._to_caller(msg)
        if item is not None:
            item.begin_answer(msg)

    @core.handles(exchange.ResponseChunk)
    def _on_answer(self, msg: exchange.ResponseChunk) -> None:
        """Keep a part of the answer and pass it on."""
        item = self._to_caller(msg)
        if item is not None:
            item.add_answer(msg.data)

    @core.handles(exchange.ResponseEnd)
    def _on_answer_end(self, msg: exchange.ResponseEnd) -> None:
        """Record that the request ran."""
        item = self._to_caller(msg)
        if item is not None:
            self._store.add(item.settle(idempotency.KeyState.RAN))
            self._forget(item)

    def _to_caller(self, msg: Any) -> _exchange.KeyedExchange | None:
        """Pass a message on to the caller's side."""
        item = self._items.get(msg.xid - 1)
        if item is not None and not item.is_cancelled:
            item.caller.post(dataclasses.replace(msg, xid=item.caller.xid))
        return item

    @core.handles(exchange.ExchangeFailed)
    def _on_failed(self, msg: exchange.ExchangeFailed) -> None:
        """Record that a request did not run, if that is certain."""
        item = self._items.get(msg.xid - 1)
        if item is not None:
            self._on_error(item, msg.error)

    def _on_error(
        self, item: _exchange.KeyedExchange, error: core.OriolestandError
    ) -> None:
        """End a claimed request with an error."""
        if error.verdict is core.Verdict.DID_NOT_RUN:
            self._store.add(item.settle(idempotency.KeyState.DID_NOT_RUN))
        self._end(item, error)

    @core.handles(contracts.DrainKeys)
    def _on_drain(self, msg: contracts.DrainKeys) -> Any:
        """Reply when no request with a key is in progress."""
        if not self._items:
            return None
        if self._drained is None:
            self._drained = defer.Deferred()
        return self._drained

    @core.handles(contracts.FlushKeys)
    def _on_flush(self, msg: contracts.FlushKeys) -> Any:
        """Reply when all outcomes are recorded."""
        return defer.ensureDeferred(self._flush())

    async def _flush(self) -> None:
        """Wait until no write is left."""
        while not self._store.is_idle:
            await self.kernel.sleep(const.FLUSH_POLL_MS)

    def stop(self) -> object:
        """Write nothing more."""
        self._store.stop()
        return super().stop()
