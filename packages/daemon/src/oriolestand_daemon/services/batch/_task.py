"""Main task of the batch service."""

from collections.abc import Coroutine
import functools
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.batch import _lifecycles
from oriolestand_daemon.services.batch import _runs
from oriolestand_daemon.services.batch import _scanner
from oriolestand_daemon.services.batch import _worker_specs
from oriolestand_daemon.services.batch import const
from oriolestand_daemon.services.batch import models
import oriolestand_platform as platform
from oriolestand_policy import batch

Assessments = dict[tuple[str, batch.Demand], _worker_specs.Assessment]


class BatchTask(_lifecycles.LifecycleRunner):
    """Polls for tasks, places and adopts them, and drains on shutdown."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, cfg)
        self._instance_id = cfg.instance_id
        self._scanner = _scanner.TaskScanner(
            kernel, self._store, cfg.instance_id, self._controller_id
        )
        self._slot_deadlines: dict[str, core.Millis] = {}
        self._adopting: set[str] = set()
        self._orphaned_at: dict[str, core.Millis] = {}
        self._active_steps: set[str] = set()
        self._last_poll_at: core.Millis | None = None
        self._adopted = 0
        self._drained: defer.Deferred[None] = defer.Deferred()
        self._timer: Any = None

    def start(self) -> object:
        """Subscribe to events and start the timer."""
        # An instance has one process at a time, so its earlier incarnations
        # are gone.
        self._scanner.mark_gone(f'{self._instance_id}/')
        for event in (
            config.TablesChanged,
            membership.MembershipChanged,
            dispatch.EvictionRequested,
            dispatch.ThrottleRequested,
            dispatch.TaskSlotsAvailable,
        ):
            self.kernel.subscribe(event, self)
        self._tick()
        return None

    # Message handlers

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Apply new configuration tables."""
        self._tables = msg.tables
        self._placer.set_tables(msg.tables)

    @core.handles(membership.MembershipChanged)
    def _on_membership(self, msg: membership.MembershipChanged) -> None:
        """Mark gone controllers; move tasks off gone and leaving workers."""
        for instance_id in msg.gone_instances:
            self._scanner.mark_gone(f'{instance_id}/')
        states = platform.InstanceState
        gone = _runs.workers_in_state(states.GONE, msg.instances)
        leaving = _runs.workers_in_state(states.LEAVING, msg.instances)
        self._placer.set_departed(frozenset(gone | leaving))
        for lifecycle in list(self._lifecycles.values()):
            if lifecycle.row.worker in gone:
                self._deliver(lifecycle, batch.WorkerGone())
            elif lifecycle.row.worker in leaving:
                self._deliver(lifecycle, batch.EvictRequested())

    @core.handles(dispatch.EvictionRequested)
    def _on_evict(self, msg: dispatch.EvictionRequested) -> None:
        """Evict the task that holds a reservation."""
        lifecycle = self._find_by_reservation(msg.key)
        if lifecycle is not None:
            self._deliver(lifecycle, batch.EvictRequested())

    @core.handles(dispatch.ThrottleRequested)
    def _on_throttle(self, msg: dispatch.ThrottleRequested) -> None:
        """Throttle or unthrottle the task that holds a reservation."""
        lifecycle = self._find_by_reservation(msg.key)
        if lifecycle is not None:
            self._run_driver.throttle(lifecycle, msg.is_on)

    @core.handles(dispatch.TaskSlotsAvailable)
    def _on_slots_freed(self, msg: dispatch.TaskSlotsAvailable) -> None:
        """Place queued tasks without waiting for the next tick."""
        if not self._is_draining:
            self._run_step('place', self._place())

    def _find_by_reservation(self, key: str) -> batch.Lifecycle | None:
        """Return the lifecycle of the task with a reservation, or None."""
        for name, allocation in self._placer.allocations.items():
            if allocation.key == key:
                return self._lifecycles.get(name)
        return None

    @core.handles(contracts.GetBatchStatus)
    def _on_status(
        self, msg: contracts.GetBatchStatus
    ) -> contracts.BatchStatus:
        """Return the counts of controlled, queued and adopted tasks."""
        return contracts.BatchStatus(
            controlled=len(self._lifecycles),
            waiting=len(self._placer.queue),
            adopted=self._adopted,
            without_slots=len(self._slot_deadlines),
        )

    @core.handles(contracts.DrainTasks)
    def _on_drain(self, msg: contracts.DrainTasks) -> Any:
        """Hand over all tasks; reply when done or after DRAIN_TIMEOUT_MS."""
        self._is_draining = True
        for lifecycle in list(self._lifecycles.values()):
            self._deliver(lifecycle, batch.HandOverRequested())
        self.kernel.clock.call_later(
            const.DRAIN_TIMEOUT_MS, self._finish_drain
        )
        self._check_drained()
        return self._drained

    def _check_drained(self) -> None:
        """Finish a drain once this daemon controls no task."""
        if self._is_draining and not self._lifecycles:
            self._finish_drain()

    def _finish_drain(self) -> None:
        """Reply to the drain request unless a reply was sent."""
        if not self._drained.called:
            if self._lifecycles:
                self._log.warning(
                    'Drain timed out before all tasks were handed over',
                    tasks=len(self._lifecycles),
                )
            self._drained.callback(None)

    # Periodic work

    def _tick(self) -> None:
        """Work once the reactor has read what was received until now."""
        self._timer = self.kernel.clock.call_later(
            const.NEXT_PASS_MS,
            functools.partial(self._work, self.kernel.clock.now()),
        )

    def _work(self, received_until: core.Millis) -> None:
        """Advance lifecycles, renew leases, poll for tasks and place them."""
        if self.is_stopped:
            return
        tick = batch.Tick(received_until=received_until)
        for lifecycle in list(self._lifecycles.values()):
            self._deliver(lifecycle, tick)
        self._run_driver.renew(self._lifecycles.values())
        if not self._is_draining:
            now = self.kernel.clock.now()
            last = self._last_poll_at
            if last is None or now - last >= const.POLL_INTERVAL_MS:
                self._last_poll_at = now
                self._run_step('poll', self._poll())
                self._run_step('rooms', self._check_rooms())
                self._run_step('specs', self._refresh_specs())
            self._run_step('place', self._place())
            self._run_step('slots', self._reserve_all_adopted())
        self._timer = self.kernel.clock.call_later(
            const.TICK_INTERVAL_MS, self._tick
        )

    def _run_step(self, name: str, step: Coroutine[Any, Any, None]) -> None:
        """Run a step in the background unless one of its name is running."""
        if name in self._active_steps:
            step.close()
            return
        self._active_steps.add(name)
        fut = defer.ensureDeferred(step)
        fut.addErrback(
            lambda f: self._log.warning(
                'Batch step failed', step=name, reason=str(f.value)
            )
        )
        fut.addBoth(lambda _: self._active_steps.discard(name))

    async def _refresh_specs(self) -> None:
        """Read the worker specs whose next read is due."""
        await self._placer.specs.refresh(
            lambda address: self._run_driver.call(
                address, platform.StatusRequest()
            )
        )

    async def _poll(self) -> None:
        """Handle cancelled, orphaned and queued tasks found in the index."""
        found = await self._scanner.poll(await self._placer.pools_to_scan())
        for name in found.cancelled:
            if name in self._lifecycles:
                self._deliver(self._lifecycles[name], batch.CancelRequested())
            await self._scanner.delete_cancellation(name)
        for name in found.orphaned:
            await self._adopt(name)
        assessments = await self._prune_queue()
        for entry in found.entries:
            await self._admit(entry, assessments)

    async def _check_rooms(self) -> None:
        """Remove tasks for which room is kept that are no longer queued.

        Tasks started by another daemon or cancelled would keep it for good.
        """
        for room in self._placer.queue.rooms:
            name = room.task.name
            stored = await self._store.read(name)
            if (
                stored is None
                or stored.row.state is not batch.TaskState.QUEUED
            ):
                self._placer.queue.remove(name)

    async def _prune_queue(self) -> Assessments:
        """Remove queued tasks that no worker of this domain can run.

        Returns the assessment for each pool and demand in the queue.
        """
        queue = self._placer.queue
        assessments: Assessments = {}
        for pool, demand in queue.classes():
            assessment = await self._placer.specs.assess(pool, demand)
            assessments[pool, demand] = assessment
            if assessment.may_run_here:
                continue
            for name in queue.names_of(pool, demand):
                queue.remove(name)
                if assessment.unplaceable_reason:
                    await self._reject(name, assessment.unplaceable_reason)
        return assessments

    async def _admit(
        self, entry: batch.QueuedTask, assessments: Assessments
    ) -> None:
        """Queue a task here, or fail it if no worker can ever run it."""
        if entry.name in self._lifecycles or entry.name in self._placer.queue:
            return
        key = (entry.pool, entry.demand)
        if key not in assessments:
            assessments[key] = await self._placer.specs.assess(*key)
        if assessments[key].may_run_here:
            self._placer.queue.put(entry)
        elif assessments[key].unplaceable_reason:
            await self._reject(entry.name, assessments[key].unplaceable_reason)

    async def _reject(self, name: str, reason: str) -> None:
        """Fail a queued task that no worker can ever run."""
        stored = await self._store.read(name)
        if stored is None or name in self._lifecycles:
            return
        if stored.row.state is not batch.TaskState.QUEUED:
            return
        lifecycle = self._take_control(stored)
        self._log.info(
            'Job rejected, no worker can ever run it', job=name, reason=reason
        )
        self._execute(lifecycle, lifecycle.refuse(reason))

    def _enqueue(self, row: batch.TaskRow) -> None:
        """Queue a task here without waiting for the next poll."""
        if row.state is not batch.TaskState.QUEUED:
            return
        fut = defer.ensureDeferred(self._admit(models.to_entry(row), {}))
        # If this fails, the next poll finds the task.
        fut.addErrback(
            lambda f: self._log.info(
                'Task not queued here until the next poll', reason=str(f.value)
            )
        )

    async def _place(self) -> None:
        """Start queued tasks while slots are free."""
        if not len(self._placer.queue):
            return
        while not self._is_draining:
            found = await self._placer.place()
            if found is None:
                return
            entry, address = found
            try:
                stored = await self._store.read(entry.name)
            except core.OriolestandError:
                self._placer.release(entry.name)
                raise
            if (
                stored is None
                or entry.name in self._lifecycles
                or stored.row.state is not batch.TaskState.QUEUED
            ):
                self._placer.release(entry.name)
                continue
            lifecycle = self._take_control(stored)
            self._execute(lifecycle, lifecycle.begin(address))

    async def _adopt(self, name: str) -> None:
        """Adopt a task whose controller is gone or has released it."""
        if name in self._lifecycles or name in self._adopting:
            return
        stored = await self._store.read(name)
        row = batch.adopt(stored.row, self._controller_id) if stored else None
        if (
            stored is None
            or row is None
            or not self._scanner.is_orphaned(stored.row.controller)
        ):
            self._orphaned_at.pop(name, None)
            return
        now = self.kernel.clock.now()
        since = self._orphaned_at.setdefault(name, now)
        delay_ms = await self._placer.adoption_delay_ms(row)
        if now - since < delay_ms or name in self._lifecycles:
            return
        self._orphaned_at.pop(name, None)
        self._adopting.add(name)
        try:
            outcome = await self._store.write(row, stored.row, stored.version)
        finally:
            self._adopting.discard(name)
        if not outcome.is_applied:
            return
        self._adopted += 1
        self._log.info('Task adopted', task=name, worker=row.worker)
        lifecycle = self._take_control(outcome.stored)
        now = self.kernel.clock.now()
        self._slot_deadlines[name] = core.Millis(now + const.ADOPT_GRACE_MS)
        self._deliver(lifecycle, batch.Tick())
        # The former controller may have throttled the run.
        self._run_driver.throttle(lifecycle, False)
        await self._reserve_adopted(name)

    async def _reserve_all_adopted(self) -> None:
        """Reserve slots for adopted tasks that have none yet."""
        for name in list(self._slot_deadlines):
            await self._reserve_adopted(name)

    async def _reserve_adopted(self, name: str) -> None:
        """Reserve slots for an adopted task; evict it after the grace time."""
        lifecycle = self._lifecycles.get(name)
        if lifecycle is None or lifecycle.is_stopped:
            self._slot_deadlines.pop(name, None)
            return
        if await self._placer.adopt(lifecycle.row):
            self._slot_deadlines.pop(name, None)
        elif self.kernel.clock.now() >= self._slot_deadlines.get(name, 0):
            # Other daemons may soon use these slots of the worker.
            self._deliver(lifecycle, batch.EvictRequested())

    def _on_control_released(self, row: batch.TaskRow) -> None:
        """Queue a task again after its release; check if the drain is done."""
        self._slot_deadlines.pop(row.name, None)
        if not self._is_draining:
            self._enqueue(row)
        self._check_drained()

    def stop(self) -> object:
        """Stop the timer; running tasks continue until their leases lapse."""
        if self._timer is not None:
            self._timer.cancel()
        self._store.stop()
        return super().stop()
