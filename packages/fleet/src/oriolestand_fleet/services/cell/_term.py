"""Do the work of the owner of a cell for one term."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import orders
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _looks
from oriolestand_fleet.services.cell import _saver
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class OwnerTerm:
    """Own the scheduler of a cell and carry out what it decides."""

    def __init__(
        self,
        kernel: core.Kernel,
        cfg: settings.FleetSettings,
        term: models.Term,
        snapshot: jobs.Snapshot,
        config: store.FleetConfig,
        on_deposed: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self.term = term
        self._on_deposed = on_deposed
        self._scheduler = scheduling.Scheduler(
            term.epoch,
            cfg.limits.lease_max_ms,
            cfg.placement,
        )
        self._saver = _saver.Saver(
            kernel,
            term,
            self._scheduler,
            {job.id: job.record_version for job in snapshot.jobs},
        )
        self._lookers: dict[str, _looks.Looker] = {}
        self._dead: set[str] = set()
        self._former: set[str] = set()
        self._listed: dict[str, scheduling.WorkerInfo] = {}
        self._recorded: frozenset[str] = frozenset()
        self._fleet_version = 0
        self._is_recording = False
        self._decide_timer: Any = None
        self._swept_ms = kernel.clock.now()
        self._load(snapshot, config)

    def _load(
        self, snapshot: jobs.Snapshot, config: store.FleetConfig
    ) -> None:
        """Take over the jobs and workers of the former owner."""
        now = self._kernel.clock.now()
        self.set_config(config)
        for job in snapshot.jobs:
            self._scheduler.add_job(
                job.spec,
                now,
                progress=job.progress,
                is_cancelled=job.is_cancelled,
                needs_probe=True,
            )
        fleet = snapshot.cell.get(layout.FLEET_KEY)
        if fleet is not None:
            self._fleet_version = fleet.version
            for info in models.decode_fleet(fleet.value):
                self._former.add(info.id)
                self._scheduler.add_former(info)
            self._recorded = frozenset(self._former)
        self._scheduler.mark_recorded(self._recorded)
        self._log.info(
            'Cell loaded',
            epoch=self.term.epoch,
            jobs=len(snapshot.jobs),
            workers=len(self._former),
            version=snapshot.version,
        )

    def start(self) -> None:
        """Begin to look at workers and to decide."""
        for work in (self._follow_workers(), self._tick()):
            defer.ensureDeferred(work).addErrback(self._on_fault)
        self._sync_lookers()
        self.kick()

    def _on_fault(self, reason: Any) -> None:
        """Give the cell up when a loop fails in an unforeseen way."""
        self._log.error('Owner failed', reason=reason.getTraceback())
        self._on_deposed('fault')

    # Input from other services.

    def set_config(self, config: store.FleetConfig) -> None:
        """Take over the routes in force."""
        self._scheduler.set_routes(r.policy for r in config.routes)
        self.kick()

    def add_job(self, job: jobs.StoredJob) -> None:
        """Take over a job that was stored after the claim."""
        self._scheduler.add_job(
            job.spec,
            self._kernel.clock.now(),
            progress=job.progress,
            is_cancelled=job.is_cancelled,
        )
        self.kick()

    def cancel_job(self, job_id: str) -> None:
        """Stop a job."""
        self._scheduler.cancel_job(job_id, self._kernel.clock.now())
        self.kick()

    # Workers.

    async def _follow_workers(self) -> None:
        """Follow the list of registered workers."""
        cursor: int | None = None
        while not self.term.is_over:
            try:
                cursor = await self._read_workers(cursor)
            except store.HistoryLostError:
                cursor = None
            except core.OriolestandError as exc:
                self._log.warning('Worker list not read', why=str(exc))
                await self._kernel.sleep(const.RETRY_MS)

    async def _read_workers(self, cursor: int | None) -> int:
        """Make one call to the store; return the next cursor."""
        message: object = store.ReadWorkers()
        if cursor is not None:
            message = store.FollowWorkers(
                after=cursor, wait_ms=const.FOLLOW_WAIT_MS
            )
        page: store.WorkersPage = await self._kernel.ask(
            store.SERVICE, message
        )
        if self.term.is_over:
            return page.cursor
        if cursor is None:
            self._listed = {}
        for worker_id, info in page.workers.items():
            if info is None:
                self._listed.pop(worker_id, None)
                self._dead.discard(worker_id)
            else:
                self._listed[worker_id] = info
        if page.workers or cursor is None:
            self._apply_workers()
        return max(cursor or 0, page.cursor)

    def _apply_workers(self) -> None:
        """Tell the scheduler which workers are registered."""
        self._scheduler.set_workers(
            {k: v for k, v in self._listed.items() if k not in self._dead}
        )
        self._scheduler.mark_recorded(self._recorded)
        self._sync_lookers()
        if not self._is_recording:
            self._is_recording = True
            defer.ensureDeferred(self._record_fleet()).addErrback(
                self._on_fault
            )
        self.kick()

    def _sync_lookers(self) -> None:
        """Look at every worker that is known."""
        for worker_id, looker in list(self._lookers.items()):
            if looker.is_ended:
                if looker.is_dead:
                    self._dead.add(worker_id)
                del self._lookers[worker_id]
        for worker_id in list(self._scheduler.workers):
            if worker_id in self._lookers or worker_id in self._dead:
                continue
            looker = _looks.Looker(
                self._kernel,
                self.term,
                self._scheduler,
                self._saver,
                worker_id,
                self._on_look,
                self._on_deposed,
            )
            self._lookers[worker_id] = looker
            _looks.launch(looker, self._log)

    def _on_look(self) -> None:
        """Carry out what a look led to; decide soon."""
        self._carry_out()
        self.kick()

    async def _record_fleet(self) -> None:
        """Write the list of workers before anything is started there."""
        try:
            while not self.term.is_over:
                wanted = frozenset(self._scheduler.workers)
                if wanted <= self._recorded and not self._is_fleet_stale():
                    return
                if await self._write_fleet(wanted):
                    self._recorded = wanted
                    self._scheduler.mark_recorded(wanted)
                    self.kick()
                else:
                    await self._kernel.sleep(const.RETRY_MS)
        finally:
            self._is_recording = False

    def _is_fleet_stale(self) -> bool:
        """Return whether many recorded workers are long gone."""
        known = len(self._scheduler.workers)
        return len(self._recorded) > 2 * known + 1

    async def _write_fleet(self, wanted: frozenset[str]) -> bool:
        """Commit the list of workers; return whether it was applied."""
        infos = [
            worker.info
            for worker_id, worker in self._scheduler.workers.items()
            if worker_id in wanted
        ]
        attempt = await _commits.try_commit(
            self._kernel,
            store.CommitRows(
                table=layout.TABLE,
                part=layout.CELL_PART,
                checks=(
                    store.Check(
                        key=layout.OWNER_KEY, version=self.term.owner_version
                    ),
                    store.Check(
                        key=layout.FLEET_KEY, version=self._fleet_version
                    ),
                ),
                puts=(
                    store.Put(
                        key=layout.FLEET_KEY, value=models.encode_fleet(infos)
                    ),
                ),
            ),
        )
        result = attempt.result
        if result is None:
            return False
        if result.is_applied:
            self._fleet_version = result.version
            return True
        for row in result.current:
            if row.key == layout.FLEET_KEY:
                self._fleet_version = row.version
            elif row.version != self.term.owner_version:
                self._on_deposed('another daemon owns the cell')
        return False

    # Decisions.

    async def _tick(self) -> None:
        """Decide at a steady pace, whatever else happens."""
        while not self.term.is_over:
            await self._kernel.sleep(const.TICK_MS)
            self._sync_lookers()
            self._decide()
            self._report()
            if self._is_sweep_due():
                await self._sweep()

    def kick(self) -> None:
        """Decide soon."""
        if self._decide_timer is None and not self.term.is_over:
            self._decide_timer = self._kernel.clock.call_later(
                const.DECIDE_DELAY_MS, self._on_timer
            )

    def _on_timer(self) -> None:
        """Decide after a kick."""
        self._decide_timer = None
        self._decide()

    def _decide(self) -> None:
        """Let the scheduler decide and carry out the effects."""
        clock = self._kernel.clock
        now = clock.now()
        if not self.term.is_entitled(now):
            return
        self._scheduler.decide(now, clock.wall(), self._is_probed(now))
        self._carry_out()

    def _is_probed(self, now_ms: int) -> bool:
        """Return whether all that the former owner started is known."""
        if self.term.is_settled:
            return True
        if now_ms >= self.term.settle_ms:
            self.term.is_settled = True
            self._drop_unreached()
            return True
        workers = self._scheduler.workers
        return all(
            worker_id not in workers or workers[worker_id].is_probed
            for worker_id in self._former
        )

    def _drop_unreached(self) -> None:
        """Forget former workers that never answered and are not listed."""
        for worker_id in self._former:
            worker = self._scheduler.workers.get(worker_id)
            if worker is not None and not worker.is_probed:
                if not worker.is_listed:
                    self._scheduler.drop_worker(worker_id, 'never answered')

    def _carry_out(self) -> None:
        """Carry out the effects of the scheduler in order."""
        for effect in self._scheduler.take_effects():
            if isinstance(effect, scheduling.SaveJob):
                self._saver.mark(effect.job)
            elif isinstance(effect, scheduling.StartTask):
                defer.ensureDeferred(self._start_run(effect))
            elif isinstance(effect, scheduling.StopTask):
                defer.ensureDeferred(self._stop_run(effect))
            elif isinstance(effect, scheduling.PaceTask):
                defer.ensureDeferred(self._pace_run(effect))
            else:
                self._log.info(
                    effect.what.replace('_', ' ').capitalize(),
                    job=effect.job,
                    **effect.values,
                )

    def _target(self, worker_id: str) -> orders.Target | None:
        """Return where a worker listens, or None when it is gone."""
        worker = self._scheduler.workers.get(worker_id)
        if worker is None:
            return None
        return orders.Target(worker=worker_id, address=worker.info.address)

    async def _start_run(self, effect: scheduling.StartTask) -> None:
        """Order a worker to start a run and report its answer."""
        clock = self._kernel.clock
        began = clock.now()
        target = self._target(effect.worker)
        lease = self._scheduler.new_lease_end(effect.worker, began)
        if target is None or lease is None or not self.term.is_entitled(began):
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
                        epoch=self.term.epoch,
                    ),
                )
            except orders.FencedError as exc:
                self._on_deposed(str(exc))
                return
        if self.term.is_over:
            return
        self._observe('start', reply.outcome.value, began)
        self._scheduler.on_start_reply(
            effect.worker,
            effect.key,
            effect.run,
            reply.outcome,
            reply.reason,
            clock.now(),
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
        )
        self._carry_out()
        if reply.outcome is not scheduling.StartOutcome.STARTED:
            self.kick()

    async def _stop_run(self, effect: scheduling.StopTask) -> None:
        """Order a worker to stop a run and report whether it answered."""
        clock = self._kernel.clock
        began = clock.now()
        target = self._target(effect.worker)
        if target is None or not self.term.is_entitled(began):
            return
        is_answered = True
        code = 'answered'
        try:
            await self._kernel.ask(
                orders.SERVICE,
                orders.StopRun(
                    target=target,
                    key=effect.key,
                    number=effect.run,
                    epoch=self.term.epoch,
                ),
            )
        except orders.FencedError as exc:
            self._on_deposed(str(exc))
            return
        except orders.WorkerError as exc:
            is_answered = False
            code = exc.code
        if self.term.is_over:
            return
        self._observe('stop', code, began)
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
        self._carry_out()

    async def _pace_run(self, effect: scheduling.PaceTask) -> None:
        """Order a worker to pace a run."""
        target = self._target(effect.worker)
        if target is None or not self.term.is_entitled(
            self._kernel.clock.now()
        ):
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
                    epoch=self.term.epoch,
                ),
            )
        except orders.FencedError as exc:
            self._on_deposed(str(exc))
            return
        except orders.WorkerError as exc:
            code = exc.code
        self._count('pace', code)

    # Upkeep.

    def _is_sweep_due(self) -> bool:
        """Return whether old jobs should be looked for."""
        now = self._kernel.clock.now()
        return now - self._swept_ms >= const.SWEEP_INTERVAL_MS

    async def _sweep(self) -> None:
        """Remove jobs whose state need no longer be known."""
        self._swept_ms = self._kernel.clock.now()
        limit = self._kernel.clock.wall() - (
            self._cfg.limits.retention_ms + const.RETENTION_MARGIN_MS
        )
        old = [
            job.spec.id
            for job in self._scheduler.jobs.values()
            if job.outcome is not None and 0 < job.ended_wall_ms < limit
        ]
        for job_id in old[: const.SWEEP_BATCH]:
            if not await self._remove(job_id):
                return
            self._scheduler.forget_job(job_id)

    async def _remove(self, job_id: str) -> bool:
        """Remove the rows of a job; return whether that succeeded."""
        steps = (
            (
                layout.part_of(job_id),
                (
                    layout.JOB_PREFIX + job_id,
                    layout.CANCEL_PREFIX + job_id,
                ),
                (),
            ),
            (
                layout.CELL_PART,
                (layout.RECORD_PREFIX + job_id,),
                (
                    store.Check(
                        key=layout.OWNER_KEY, version=self.term.owner_version
                    ),
                ),
            ),
        )
        for part, keys, checks in steps:
            attempt = await _commits.try_commit(
                self._kernel,
                store.CommitRows(
                    table=layout.TABLE,
                    part=part,
                    checks=checks,
                    puts=tuple(store.Put(key=k, value=None) for k in keys),
                ),
            )
            if attempt.result is None or not attempt.result.is_applied:
                self._log.warning(
                    'Old job not removed', job=job_id, why=attempt.why
                )
                return False
        return True

    def _report(self) -> None:
        """Set the gauges of the cell."""
        gauges = {
            'ready_tasks': self._scheduler.ready_count,
            'waiting_jobs': self._scheduler.waiting_jobs(),
            'workers': len(self._scheduler.workers),
            'record_backlog': self._saver.backlog,
            'owner_epoch': self.term.epoch,
        }
        for name, value in gauges.items():
            self._kernel.post(
                telemetry.SERVICE,
                telemetry.SetGauge(name=name, label='', value=value),
            )

    def _observe(self, name: str, label: str, began: int) -> None:
        """Record the outcome and latency of an order."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.Observe(
                name=name,
                label=label,
                latency_ms=self._kernel.clock.now() - began,
            ),
        )

    def _count(self, name: str, label: str) -> None:
        """Count an event."""
        self._kernel.post(
            telemetry.SERVICE, telemetry.Count(name=name, label=label)
        )
