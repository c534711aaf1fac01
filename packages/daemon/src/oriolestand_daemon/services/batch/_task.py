"""Run the life cycles of tasks that this daemon controls."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.batch import _finder
from oriolestand_daemon.services.batch import _lives
from oriolestand_daemon.services.batch import _placer
from oriolestand_daemon.services.batch import _runs
from oriolestand_daemon.services.batch import const
from oriolestand_daemon.services.batch import models
import oriolestand_platform as platform
from oriolestand_policy import batch

Verdicts = dict[tuple[str, batch.Demand], _placer.Verdict]


class BatchTask(_lives.LivesTask):
    """Look for tasks, place them, keep time and shut down."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, cfg)
        self._instance_id = cfg.instance_id
        self._finder = _finder.Finder(
            kernel, self._store, cfg.instance_id, self._me
        )
        self._unslotted: dict[str, core.Millis] = {}
        self._adopting: set[str] = set()
        self._orphaned_at: dict[str, core.Millis] = {}
        self._busy: set[str] = set()
        self._polled_at: core.Millis | None = None
        self._adopted = 0
        self._drained: defer.Deferred[None] = defer.Deferred()
        self._timer: Any = None

    def start(self) -> object:
        """Follow tables, members and evictions; keep time."""
        # A former start of this instance is over: this process runs.
        self._finder.add_proof(f'{self._instance_id}/')
        for event in (
            config.TablesChanged,
            membership.MembershipChanged,
            dispatch.EvictionRequested,
            dispatch.ThrottleRequested,
            dispatch.RoomForTasks,
        ):
            self.kernel.subscribe(event, self)
        self._tick()
        return None

    # Messages

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Know the pools."""
        self._tables = msg.tables
        self._placer.set_tables(msg.tables)

    @core.handles(membership.MembershipChanged)
    def _on_members(self, msg: membership.MembershipChanged) -> None:
        """Take over from gone controllers; give up gone workers."""
        for instance_id in msg.gone_instances:
            self._finder.add_proof(f'{instance_id}/')
        listed = platform.InstanceState
        gone = _runs.workers_in(listed.GONE, msg.instances)
        leaving = _runs.workers_in(listed.LEAVING, msg.instances)
        for life in list(self._lives.values()):
            if life.row.worker in gone:
                self._tell(life, batch.WorkerGone())
            elif life.row.worker in leaving:
                self._tell(life, batch.EvictWanted())

    @core.handles(dispatch.EvictionRequested)
    def _on_evict(self, msg: dispatch.EvictionRequested) -> None:
        """Evict the task that holds a reservation."""
        life = self._holder_of(msg.key)
        if life is not None:
            self._tell(life, batch.EvictWanted())

    @core.handles(dispatch.ThrottleRequested)
    def _on_throttle(self, msg: dispatch.ThrottleRequested) -> None:
        """Slow down the task that holds a reservation, or no longer."""
        life = self._holder_of(msg.key)
        if life is not None:
            self._driver.throttle(life, msg.is_on)

    @core.handles(dispatch.RoomForTasks)
    def _on_room(self, msg: dispatch.RoomForTasks) -> None:
        """Place waiting tasks at once."""
        if not self._is_draining:
            self._spawn('place', self._place())

    def _holder_of(self, key: str) -> batch.Lifecycle | None:
        """Return the life cycle that holds a reservation."""
        for name, held in self._placer.held.items():
            if held.key == key:
                return self._lives.get(name)
        return None

    @core.handles(contracts.GetBatchStatus)
    def _on_status(
        self, msg: contracts.GetBatchStatus
    ) -> contracts.BatchStatus:
        """Return what is held here."""
        return contracts.BatchStatus(
            controlled=len(self._lives),
            waiting=len(self._placer.queue),
            adopted=self._adopted,
            without_slots=len(self._unslotted),
        )

    @core.handles(contracts.DrainTasks)
    def _on_drain(self, msg: contracts.DrainTasks) -> Any:
        """Hand all tasks over to other daemons."""
        self._is_draining = True
        for life in list(self._lives.values()):
            self._tell(life, batch.HandOverWanted())
        self.kernel.clock.call_later(const.DRAIN_BOUND_MS, self._end_drain)
        self._check_drained()
        return self._drained

    def _check_drained(self) -> None:
        """Reply once no task is left."""
        if self._is_draining and not self._lives:
            self._end_drain()

    def _end_drain(self) -> None:
        """Reply to the request to drain, once."""
        if not self._drained.called:
            if self._lives:
                self._log.warning('Not handed over', tasks=len(self._lives))
            self._drained.callback(None)

    # Time

    def _tick(self) -> None:
        """Let time pass for all tasks; renew, look for work and place it."""
        if self.is_stopped:
            return
        for life in list(self._lives.values()):
            self._tell(life, batch.Tick())
        self._driver.renew(self._lives.values())
        if not self._is_draining:
            now = self.kernel.clock.now()
            last = self._polled_at
            if last is None or now - last >= const.POLL_INTERVAL_MS:
                self._polled_at = now
                self._spawn('poll', self._poll())
                self._spawn('specs', self._learn())
            self._spawn('place', self._place())
            self._spawn('slots', self._claim_slots())
        self._timer = self.kernel.clock.call_later(
            const.TICK_INTERVAL_MS, self._tick
        )

    def _spawn(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine unless the former one of its name still runs."""
        if name in self._busy:
            work.close()
            return
        self._busy.add(name)
        fut = defer.ensureDeferred(work)
        fut.addErrback(
            lambda f: self._log.warning(
                'Step failed', step=name, reason=str(f.value)
            )
        )
        fut.addBoth(lambda _: self._busy.discard(name))

    async def _learn(self) -> None:
        """Ask workers what they have."""
        await self._placer.learn_specs(
            lambda address: self._driver.call(
                address, platform.StatusRequest()
            )
        )

    async def _poll(self) -> None:
        """Look for queued, orphaned and cancelled tasks."""
        found = await self._finder.poll(await self._placer.pools())
        for name in found.cancels:
            if name in self._lives:
                self._tell(self._lives[name], batch.CancelWanted())
            await self._finder.drop_mail(name)
        for name in found.orphans:
            await self._adopt(name)
        verdicts = await self._judge_queue()
        for entry in found.entries:
            await self._consider(entry, verdicts)

    async def _judge_queue(self) -> Verdicts:
        """Remove the tasks that no worker here can run, as is known now."""
        queue = self._placer.queue
        verdicts: Verdicts = {}
        for pool, demand in queue.classes():
            verdict = await self._placer.judge(pool, demand)
            verdicts[pool, demand] = verdict
            if verdict.may_run_here:
                continue
            for name in queue.names_of(pool, demand):
                queue.remove(name)
                if verdict.why_never:
                    await self._refuse(name, verdict.why_never)
        return verdicts

    async def _consider(self, entry: batch.Entry, verdicts: Verdicts) -> None:
        """Let a queued task wait here, or end one that can never run."""
        if entry.name in self._lives or entry.name in self._placer.queue:
            return
        key = (entry.pool, entry.demand)
        if key not in verdicts:
            verdicts[key] = await self._placer.judge(*key)
        if verdicts[key].may_run_here:
            self._placer.queue.put(entry)
        elif verdicts[key].why_never:
            await self._refuse(entry.name, verdicts[key].why_never)

    async def _refuse(self, name: str, reason: str) -> None:
        """End a task that can never run."""
        stored = await self._store.read(name)
        if stored is None or name in self._lives:
            return
        if stored.row.state is not batch.TaskState.QUEUED:
            return
        life = self._live(stored)
        self._log.info('Job can never run', job=name, reason=reason)
        self._run(life, life.refuse(reason))

    def _enqueue(self, row: batch.TaskRow) -> None:
        """Consider a task that was queued here without reading the index."""
        if row.state is not batch.TaskState.QUEUED:
            return
        fut = defer.ensureDeferred(self._consider(models.to_entry(row), {}))
        # The next poll finds the task if this fails.
        fut.addErrback(
            lambda f: self._log.info('Not queued here', reason=str(f.value))
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
                or entry.name in self._lives
                or stored.row.state is not batch.TaskState.QUEUED
            ):
                self._placer.release(entry.name)
                continue
            life = self._live(stored)
            self._run(life, life.begin(address))

    async def _adopt(self, name: str) -> None:
        """Take over a task whose controller is over or has let go."""
        if name in self._lives or name in self._adopting:
            return
        stored = await self._store.read(name)
        row = batch.adopt(stored.row, self._me) if stored else None
        if (
            stored is None
            or row is None
            or not self._finder.is_orphaned(stored.row.controller)
        ):
            self._orphaned_at.pop(name, None)
            return
        now = self.kernel.clock.now()
        since = self._orphaned_at.setdefault(name, now)
        delay_ms = await self._placer.adoption_delay_ms(row)
        if now - since < delay_ms or name in self._lives:
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
        life = self._live(outcome.stored)
        now = self.kernel.clock.now()
        self._unslotted[name] = core.Millis(now + const.ADOPT_GRACE_MS)
        self._tell(life, batch.Tick())
        # The former controller may have slowed it down.
        self._driver.throttle(life, False)
        await self._claim(name)

    async def _claim_slots(self) -> None:
        """Reserve slots for adopted tasks, or evict them in time."""
        for name in list(self._unslotted):
            await self._claim(name)

    async def _claim(self, name: str) -> None:
        """Reserve slots for one adopted task."""
        life = self._lives.get(name)
        if life is None or life.is_stopped:
            self._unslotted.pop(name, None)
            return
        if await self._placer.adopt(life.row):
            self._unslotted.pop(name, None)
        elif self.kernel.clock.now() >= self._unslotted.get(name, 0):
            # Someone else will use the worker's slots soon.
            self._tell(life, batch.EvictWanted())

    def _left(self, row: batch.TaskRow) -> None:
        """Consider a task that is queued again; notice the last one."""
        self._unslotted.pop(row.name, None)
        if not self._is_draining:
            self._enqueue(row)
        self._check_drained()

    def stop(self) -> object:
        """Stop keeping time; tasks go on until their leases lapse."""
        if self._timer is not None:
            self._timer.cancel()
        self._store.stop()
        return super().stop()
