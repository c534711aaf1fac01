"""Do the work of the owner of a cell for one term."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _fleet_record
from oriolestand_fleet.services.cell import _gauges
from oriolestand_fleet.services.cell import _looks
from oriolestand_fleet.services.cell import _order_sender
from oriolestand_fleet.services.cell import _pressure_record
from oriolestand_fleet.services.cell import _saver
from oriolestand_fleet.services.cell import _sweeper
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
        )
        self._saver = _saver.Saver(
            kernel,
            term,
            self._scheduler,
            {job.id: job.record_version for job in snapshot.jobs},
        )
        self._gauges = _gauges.Gauges(kernel, term, self._scheduler)
        self._lookers: dict[str, _looks.Looker] = {}
        self._dead: set[str] = set()
        self._listed: dict[str, scheduling.WorkerInfo] = {}
        self._decide_timer: Any = None
        self._fleet = _fleet_record.FleetRecord(
            kernel,
            term,
            self._scheduler,
            snapshot.cell.get(layout.FLEET_KEY),
            on_deposed,
        )
        self._learned = _pressure_record.PressureRecord(
            kernel,
            term,
            self._scheduler.pressure,
            snapshot.cell.get(layout.PRESSURE_KEY),
        )
        self._orders = _order_sender.OrderSender(
            kernel, term, self._scheduler, self._on_answer, on_deposed
        )
        self._sweeper = _sweeper.Sweeper(
            kernel, term, self._scheduler, cfg.limits.retention_ms
        )
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
        self._log.info(
            'Cell loaded',
            epoch=self.term.epoch,
            jobs=len(snapshot.jobs),
            workers=len(self._fleet.former),
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
        self._sync_lookers()
        fut = defer.ensureDeferred(self._fleet.update())
        fut.addCallbacks(lambda _: self.kick(), self._on_fault)

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
                self._on_answer,
                self._on_deposed,
            )
            self._lookers[worker_id] = looker
            _looks.launch(looker, self._log)

    def _on_answer(self) -> None:
        """Carry out what an answer led to; decide soon."""
        self._carry_out()
        self.kick()

    # Decisions.

    async def _tick(self) -> None:
        """Decide at a steady pace, whatever else happens."""
        while not self.term.is_over:
            await self._kernel.sleep(const.TICK_MS)
            self._sync_lookers()
            self._decide()
            self._gauges.report(self._saver.backlog)
            learned = defer.ensureDeferred(self._learned.update())
            learned.addErrback(self._on_fault)
            if self._sweeper.is_due:
                await self._sweeper.sweep()

    def kick(self) -> None:
        """Decide soon."""
        if self._decide_timer is None and not self.term.is_over:
            size = len(self._scheduler.workers)
            self._decide_timer = self._kernel.clock.call_later(
                const.DECIDE_DELAY_MS + size // const.DECIDE_WORKERS_PER_MS,
                self._on_timer,
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
            for worker_id in self._fleet.former
        )

    def _drop_unreached(self) -> None:
        """Forget former workers that never answered and are not listed."""
        for worker_id in self._fleet.former:
            worker = self._scheduler.workers.get(worker_id)
            if worker is not None and not worker.is_probed:
                if not worker.is_listed:
                    self._scheduler.drop_worker(worker_id, 'never answered')

    def _carry_out(self) -> None:
        """Carry out the effects of the scheduler in order."""
        for effect in self._scheduler.take_effects():
            if isinstance(effect, scheduling.SaveJob):
                self._saver.mark(effect.job)
            elif isinstance(effect, scheduling.Decision):
                self._log.info(
                    effect.what.replace('_', ' ').capitalize(),
                    job=effect.job,
                    **effect.values,
                )
            else:
                self._orders.send(effect)
