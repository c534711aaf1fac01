"""Send the orders of the scheduler to workers."""

from collections.abc import Callable
from collections.abc import Iterable

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import orders
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _record_saver
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling

OUTDATED = 'outdated'
"""Outcome of an order that a later incarnation of the worker refused."""

_RunId = tuple[str, scheduling.TaskKey, int]
"""Worker, task and number of a run."""


class OrderSender:
    """Send orders during one term and pass the replies to the scheduler.

    :param on_reply: called after each reply to a start or stop, as the
        scheduler may have new effects.
    :param on_fenced: called with a reason when a worker refuses an order
        because it has accepted one of a newer owner.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
        saver: _record_saver.RecordSaver,
        on_reply: Callable[[], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._saver = saver
        self._on_reply = on_reply
        self._on_fenced = on_fenced
        self._log = core.get_logger(const.DOMAIN)
        self._queue = scheduling.OrderQueue()
        self._held_starts: set[_RunId] = set()
        self._decided_ms: dict[_RunId, int] = {}
        """When the starts that are not sent yet were decided."""
        self._timer: core.Timer | None = None
        self._is_sending = False
        term.on_end.append(self._withdraw_orders)

    def _withdraw_orders(self) -> None:
        """Withdraw the unsent orders, as the term is over."""
        self._kernel.post(
            orders.SERVICE, orders.WithdrawOrders(epoch=self._term.epoch)
        )

    @property
    def queued_start_count(self) -> int:
        """Return the number of starts that wait for the processor only."""
        return self._queue.start_count

    @property
    def unsent_start_count(self) -> int:
        """Return the number of starts that the owner has yet to send.

        Those that wait for a record that the store has refused do not count,
        as they do not wait for the owner.
        """
        held_count = sum(
            not self._is_refused(run) for run in self._held_starts
        )
        return self._queue.start_count + held_count

    def oldest_unsent_ms(self) -> int:
        """Return how long the oldest of these starts has waited."""
        oldest_ms = min(
            (
                decided_ms
                for run, decided_ms in self._decided_ms.items()
                if not self._is_refused(run)
            ),
            default=None,
        )
        if oldest_ms is None:
            return 0
        return self._kernel.clock.now() - oldest_ms

    def _is_refused(self, run: _RunId) -> bool:
        """Return whether a start waits for a record that was not written."""
        _, key, _ = run
        return run in self._held_starts and self._saver.has_failed(key.job)

    def send(self, effects: Iterable[scheduling.Effect]) -> None:
        """Send orders that were just decided, in the background.

        The most important ones are sent first. The rest waits for the next
        pass of the event loop once these have taken their time, so that it
        reads reports and renews leases in between.
        """
        now_ms = self._kernel.clock.now()
        for effect in effects:
            if isinstance(effect, scheduling.WithdrawStart):
                self._drop_start(effect)
            elif isinstance(effect, scheduling.StopTask):
                if not self._withdraw_unsent(effect):
                    self._queue.add(effect)
            elif isinstance(effect, scheduling.StartTask):
                self._decided_ms[_run_of(effect)] = now_ms
                if effect.needs_record:
                    self._hold_start(effect)
                else:
                    self._queue.add(effect)
            elif isinstance(effect, scheduling.PaceTask):
                self._queue.add(effect)
        if self._timer is None:
            self._send_some()

    def _send_some(self) -> None:
        """Send the first orders of the queue, and the rest later."""
        self._timer = None
        if self._is_sending or self._term.is_over:
            return
        self._is_sending = True
        clock = self._kernel.clock
        try:
            is_rest = self._queue.send(
                self._send_order, clock.now, const.SEND_BUDGET_MS
            )
        finally:
            self._is_sending = False
        if is_rest and not self._term.is_over:
            self._timer = clock.call_later(const.NEXT_PASS_MS, self._send_some)

    def _send_order(self, order: scheduling.Order) -> None:
        """Send one order."""
        if isinstance(order, scheduling.StopTask):
            defer.ensureDeferred(self._stop_run(order))
        elif isinstance(order, scheduling.PaceTask):
            defer.ensureDeferred(self._pace_run(order))
        elif self._scheduler.is_start_pending(
            order.worker, order.key, order.run
        ):
            decided_ms = self._decided_ms.pop(
                _run_of(order), self._kernel.clock.now()
            )
            defer.ensureDeferred(self._start_run(order, decided_ms))
        else:
            self._withdraw_start(order)

    def _withdraw_unsent(
        self, effect: scheduling.WithdrawStart | scheduling.StopTask
    ) -> bool:
        """Withdraw the start of a run that waits here; return whether any."""
        run = _run_of(effect)
        if run in self._held_starts:
            self._held_starts.remove(run)
        elif not self._queue.withdraw(*run):
            return False
        self._withdraw_start(effect)
        return True

    def _drop_start(self, effect: scheduling.WithdrawStart) -> None:
        """Withdraw a start, which the adapter may hold."""
        if self._withdraw_unsent(effect):
            return
        self._kernel.post(
            orders.SERVICE,
            orders.WithdrawStart(
                worker=effect.worker, key=effect.key, number=effect.run
            ),
        )

    def _hold_start(self, effect: scheduling.StartTask) -> None:
        """Queue a start once the record that places its task is written.

        A successor starts the task elsewhere unless the record places it.
        """
        run = _run_of(effect)
        self._held_starts.add(run)
        saved = self._saver.when_saved({effect.key.job}, is_urgent=True)
        saved.addCallback(lambda _: self._release_start(effect))

    def _release_start(self, effect: scheduling.StartTask) -> None:
        """Queue a start whose record is written, unless it was withdrawn."""
        run = _run_of(effect)
        if self._term.is_over or run not in self._held_starts:
            return
        self._held_starts.remove(run)
        self._queue.add(effect)
        if self._timer is None:
            self._send_some()

    def _target(self, worker_id: str) -> orders.Target | None:
        """Return the target of a worker, or None if it is gone."""
        worker = self._scheduler.workers.get(worker_id)
        if worker is None:
            return None
        return orders.Target(
            worker=worker_id,
            address=worker.info.address,
            generation=self._scheduler.generation_of(worker_id),
        )

    def _is_outdated(self, target: orders.Target) -> bool:
        """Return whether an order was for a former incarnation."""
        generation = self._scheduler.generation_of(target.worker)
        return target.generation < generation

    def _withdraw_start(
        self,
        effect: (
            scheduling.StartTask
            | scheduling.WithdrawStart
            | scheduling.StopTask
        ),
    ) -> None:
        """Tell the scheduler that a start is not sent."""
        self._decided_ms.pop(_run_of(effect), None)
        self._scheduler.withdraw_start(
            effect.worker, effect.key, effect.run, self._kernel.clock.now()
        )
        self._on_reply()

    async def _start_run(
        self, effect: scheduling.StartTask, decided_ms: int
    ) -> None:
        """Order a worker to start a run and tell the scheduler the outcome."""
        clock = self._kernel.clock
        started_ms = clock.now()
        target = self._target(effect.worker)
        lease = self._scheduler.lease_end_for_start(
            effect.worker, started_ms, self._term.lease_limit_ms(started_ms)
        )
        if (
            target is None
            or lease is None
            or not self._term.may_act(started_ms)
        ):
            outcome = scheduling.StartOutcome.UNHEALTHY
            reply = orders.StartReply(outcome=outcome, reason='not sent')
        else:
            try:
                reply = await self._kernel.ask(
                    orders.SERVICE,
                    orders.StartRun(
                        target=target,
                        key=effect.key,
                        number=effect.run,
                        payload=effect.payload,
                        checkpoint=effect.checkpoint,
                        lease_end_ms=lease,
                        epoch=self._term.epoch,
                        send_by_ms=self._term.acts_until_ms,
                    ),
                )
            except orders.FencedError as exc:
                if not self._is_outdated(target):
                    self._on_fenced(str(exc))
                    return
                reply = orders.StartReply(
                    outcome=scheduling.StartOutcome.REFUSED,
                    reason='for a former incarnation',
                )
        if self._term.is_over:
            return
        self._observe('start', reply.outcome.value, started_ms)
        waited_ms = None
        if reply.queued_ms is not None:
            waited_ms = started_ms - decided_ms + reply.queued_ms
        received_ms = clock.now()
        self._scheduler.on_start_reply(
            effect.worker,
            effect.key,
            effect.run,
            reply.outcome,
            reply.reason,
            received_ms,
            scheduling.Answer(
                clock_ms=reply.clock_ms,
                lease_end_ms=lease,
                sent_ms=started_ms + (reply.queued_ms or 0),
                received_ms=received_ms,
                are_leases_limited=(
                    self._term.lease_limit_ms(received_ms) is not None
                ),
            ),
        )
        self._log.info(
            'Start ordered',
            job=effect.key.job,
            task=str(effect.key),
            run=effect.run,
            worker=effect.worker,
            outcome=reply.outcome.value,
            reason=reply.reason,
            has_checkpoint=bool(effect.checkpoint),
            waited_ms=waited_ms,
            clock_ms=reply.clock_ms,
        )
        self._on_reply()

    async def _stop_run(self, effect: scheduling.StopTask) -> None:
        """Order a worker to stop a run and tell the scheduler the outcome."""
        clock = self._kernel.clock
        started_ms = clock.now()
        target = self._target(effect.worker)
        if target is None or not self._term.may_act(started_ms):
            return
        self._count_stop(effect, started_ms)
        is_answered = True
        code = 'answered'
        try:
            await self._kernel.ask(
                orders.SERVICE,
                orders.StopRun(
                    target=target,
                    key=effect.key,
                    number=effect.run,
                    epoch=self._term.epoch,
                    send_by_ms=self._term.acts_until_ms,
                ),
            )
        except orders.FencedError as exc:
            if not self._is_outdated(target):
                self._on_fenced(str(exc))
                return
            is_answered = False
            code = OUTDATED
        except orders.WorkerError as exc:
            is_answered = False
            code = exc.code
        if self._term.is_over:
            return
        self._observe('stop', code, started_ms)
        self._scheduler.on_stop_reply(
            effect.worker, effect.key, effect.run, is_answered, clock.now()
        )
        self._log.info(
            'Stop ordered',
            job=effect.key.job,
            task=str(effect.key),
            run=effect.run,
            worker=effect.worker,
            reason=effect.reason,
            outcome=code,
        )
        self._on_reply()

    async def _pace_run(self, effect: scheduling.PaceTask) -> None:
        """Order a worker to limit the speed of a run."""
        target = self._target(effect.worker)
        if target is None or not self._term.may_act(self._kernel.clock.now()):
            return
        code = 'answered'
        try:
            await self._kernel.ask(
                orders.SERVICE,
                orders.PaceRun(
                    target=target,
                    key=effect.key,
                    number=effect.run,
                    percent=effect.percent,
                    epoch=self._term.epoch,
                    send_by_ms=self._term.acts_until_ms,
                ),
            )
        except orders.FencedError as exc:
            if not self._is_outdated(target):
                self._on_fenced(str(exc))
                return
            code = OUTDATED
        except orders.WorkerError as exc:
            code = exc.code
        self._count('pace', code)
        if code != 'answered' and not self._term.is_over:
            self._scheduler.on_pace_failed(
                effect.worker, effect.key, effect.run
            )

    def _count_stop(self, effect: scheduling.StopTask, now_ms: int) -> None:
        """Count a stop and the processor time that its run has had."""
        if effect.reason == scheduling.REPEATED_STOP:
            return
        self._count('stops', effect.reason)
        worker = self._scheduler.workers.get(effect.worker)
        run = (
            worker.runs.get((effect.key, effect.run))
            if worker is not None
            else None
        )
        if run is None or run.phase is not scheduling.RunPhase.RUNNING:
            return
        core_ms = run.spec.cpu * (now_ms - run.since_ms) // 1_000
        self._count('stopped_core_ms', effect.reason, core_ms)

    def _observe(self, name: str, label: str, started_ms: int) -> None:
        """Record the outcome and latency of an order."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Observe(
                name=name,
                label=label,
                latency_ms=self._kernel.clock.now() - started_ms,
            ),
        )

    def _count(self, name: str, label: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Count(name=name, label=label, amount=amount),
        )


def _run_of(
    effect: (
        scheduling.StartTask | scheduling.WithdrawStart | scheduling.StopTask
    ),
) -> _RunId:
    """Return the run that an order is for."""
    return (effect.worker, effect.key, effect.run)
