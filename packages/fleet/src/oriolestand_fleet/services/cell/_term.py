"""Schedule the tasks of a cell while this daemon owns it."""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import random
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import orders
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _failure_record
from oriolestand_fleet.services.cell import _fleet_record
from oriolestand_fleet.services.cell import _gauges
from oriolestand_fleet.services.cell import _interference_record
from oriolestand_fleet.services.cell import _late_starts
from oriolestand_fleet.services.cell import _order_sender
from oriolestand_fleet.services.cell import _record_saver
from oriolestand_fleet.services.cell import _route_record
from oriolestand_fleet.services.cell import _sweeper
from oriolestand_fleet.services.cell import _takeover
from oriolestand_fleet.services.cell import _worker_poller
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import backoff
from oriolestand_policy import scheduling


class OwnerTerm:
    """Schedule the tasks of the cell during one term of ownership.

    This runs the scheduler and applies its decisions until ``term`` is over.

    :param known_routes: the last policies of routes that this daemon knows;
        it is updated before each ``set_config``.
    :param on_ownership_lost: called with a reason when the term must end
        because there is a newer owner or after an unexpected error.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        cfg: settings.FleetSettings,
        term: models.Term,
        snapshot: jobs.Snapshot,
        known_routes: scheduling.KnownRoutes,
        evacuations: config_messages.EvacuationsRead,
        on_ownership_lost: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self.term = term
        self._on_ownership_lost = on_ownership_lost
        self._scheduler = scheduling.Scheduler(
            term.epoch,
            cfg.limits.lease_max_ms,
        )
        self._saver = _record_saver.RecordSaver(
            kernel,
            term,
            self._scheduler,
            {job.id: job.progress_version for job in snapshot.jobs},
            {job.id: job.progress for job in snapshot.jobs if job.progress},
            cfg.limits.row_bytes,
        )
        self._gauges = _gauges.Gauges(kernel, term, self._scheduler)
        self._pollers: dict[str, _worker_poller.WorkerPoller] = {}
        self._replaced_worker_ids: set[str] = set()
        self._registered_workers: dict[str, scheduling.WorkerInfo] = {}
        self._entries_since_ms: int | None = None
        """When the first read of entries was sent since one failed."""
        self._load = scheduling.OwnerLoad(cfg.limits.lease_max_ms)
        self._round_timer: Any = None
        self._read_until_ms: int = kernel.clock.now()
        """Everything received until this time has been read."""
        self._fleet = _fleet_record.FleetRecord(
            kernel,
            term,
            self._scheduler,
            snapshot,
            self._are_ends_recorded,
            on_ownership_lost,
        )
        self._takeover = _takeover.Takeover(
            kernel,
            term,
            self._scheduler,
            self._fleet.former_worker_ids,
            self._fleet.is_complete,
            self._fleet.former_runs_end_ms,
            self._fleet.voter_ids,
            cfg.limits.lease_max_ms,
        )
        self._interference_record = _interference_record.InterferenceRecord(
            kernel,
            term,
            self._scheduler.pressure,
            snapshot.rows.get(layout.PRESSURE_KEY),
        )
        self._failure_record = _failure_record.FailureRecord(
            kernel,
            term,
            self._scheduler,
            snapshot.rows.get(layout.FAILURES_KEY),
        )
        self._route_record = _route_record.RouteRecord(
            kernel,
            term,
            self._scheduler,
            known_routes,
            snapshot,
            cfg.limits.row_bytes,
        )
        self._orders = _order_sender.OrderSender(
            kernel,
            term,
            self._scheduler,
            self._saver,
            self._on_worker_reply,
            on_ownership_lost,
        )
        self._are_starts_held = False
        self.full_pools: Mapping[str, int] = {}
        """Pools that accept no filling jobs, and when to try again in s."""
        self._full_pools_ms = 0
        self.set_evacuations(evacuations)
        self._load_cell(snapshot)
        self._sweeper = _sweeper.Sweeper(
            kernel,
            term,
            self._scheduler,
            self._saver,
            snapshot.ended,
            cfg.limits.retention_ms,
        )

    def _load_cell(self, snapshot: jobs.Snapshot) -> None:
        """Load the known routes and all stored jobs into the scheduler."""
        now = self._kernel.clock.now()
        self._scheduler.set_routes(self._route_record.policies())
        for job in snapshot.jobs:
            self._scheduler.add_job(
                job.spec,
                now,
                progress=_late_starts.from_stored(
                    job.progress, self.term.store_clock
                ),
                is_cancelled=job.is_cancelled,
                needs_probe=True,
                policy=job.policy,
                is_policy_awaited=job.is_policy_awaited,
            )
        self._log.info(
            'Cell loaded',
            epoch=self.term.epoch,
            jobs=len(snapshot.jobs),
            workers=len(self._fleet.former_worker_ids),
            version=snapshot.version,
        )

    @property
    def loop_delay_ms(self) -> int:
        """Return how late the event loop has recently called timers."""
        return self._load.delay_ms(self._kernel.clock.now())

    @property
    def delay_ms(self) -> int:
        """Return how late this owner does its work."""
        return max(self.loop_delay_ms, self._orders.oldest_unsent_ms())

    @property
    def may_keep_cell(self) -> bool:
        """Return whether this epoch has run numbers left for its starts."""
        return self._scheduler.may_keep_cell

    def start(self) -> None:
        """Start to poll workers and to schedule tasks."""
        for loop in (self._watch_workers(), self._run_rounds()):
            defer.ensureDeferred(loop).addErrback(self._on_unexpected_error)
        self._sync_pollers()
        self.request_round()

    def _on_unexpected_error(self, reason: Any) -> None:
        """Give up ownership after an unexpected error in a loop."""
        self._log.error('Owner failed', reason=reason.getTraceback())
        self._on_ownership_lost('fault')

    def _on_record_error(self, reason: Any) -> None:
        """Log an unexpected error in a record that need not end the term.

        A promise depends on that of routes only if all daemons restart.
        """
        self._log.error('Record not written', reason=reason.getTraceback())

    # Input from other services.

    def set_config(self, config: store.FleetConfig) -> None:
        """Apply the routes of a configuration."""
        self._scheduler.set_routes(r.policy for r in config.routes)
        self.request_round()

    def set_evacuations(self, msg: config_messages.EvacuationsRead) -> None:
        """Apply the evacuated failure domains, and until when they hold.

        Starts that were decided before are withdrawn at once if not sent.
        """
        bound_ms = self._cfg.limits.evacuate_ms
        if bound_ms is not None:
            margin_ms = min(const.EVACUATION_MARGIN_MS, bound_ms // 4)
            until_ms = msg.known_at_ms + bound_ms - margin_ms
            self.term.evacuations_until_ms = until_ms
            # Starts that wait for a connection are held back as well.
            self._kernel.post(
                orders.SERVICE, orders.LimitStarts(until_ms=until_ms)
            )
        self._scheduler.set_evacuated_domains(
            msg.failure_domains, msg.returned_ms
        )
        self._apply_effects()
        if self._are_starts_held:
            self.request_round()

    def add_job(self, job: jobs.StoredJob) -> None:
        """Add a job that was stored after this owner loaded the cell."""
        self._scheduler.add_job(
            job.spec,
            self._kernel.clock.now(),
            progress=job.progress,
            is_cancelled=job.is_cancelled,
            policy=job.policy,
            is_policy_awaited=job.is_policy_awaited,
        )
        self.request_round()

    def set_job_policy(
        self, job_id: str, policy: scheduling.RoutePolicy | None
    ) -> None:
        """Pass on the policy that a job was accepted under, if any."""
        if self._scheduler.set_job_policy(job_id, policy):
            self.request_round()

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job in the scheduler."""
        self._scheduler.cancel_job(job_id, self._kernel.clock.now())
        self.request_round()

    def apply_late_report(self, report: scheduling.WorkerReport) -> None:
        """Apply a report whose poll has failed.

        Its ends are not acknowledged: the next poll lists them again if the
        worker is still there.
        """
        self._scheduler.on_late_report(report, self._kernel.clock.now())
        self._on_worker_reply()

    def on_report_begun(self, msg: orders.ReportBegun) -> None:
        """Note that a report has begun to arrive."""
        self._scheduler.on_report_begun(msg.worker)

    def on_start_sent(self, msg: orders.StartSent) -> None:
        """Note that a worker may have received a start order."""
        self._scheduler.on_start_sent(msg.worker, msg.key, msg.number)

    # Workers.

    async def _watch_workers(self) -> None:
        """Watch the list of registered workers until the term is over."""
        rng = random.Random(f'{self._kernel.incarnation} {const.DOMAIN}')
        retries = backoff.ExponentialBackoff(const.RETRY_MS, rng=rng)
        cursor: int | None = None
        while not self.term.is_over:
            try:
                cursor = await self._read_workers(cursor)
                retries.reset()
            except store.HistoryLostError:
                cursor = None
            except core.OriolestandError as exc:
                self._entries_since_ms = None
                self._log.warning(
                    'Worker list could not be read', why=str(exc)
                )
                await self._kernel.sleep(retries.next_delay_ms())

    async def _read_workers(self, cursor: int | None) -> int:
        """Read and apply a page of worker changes; return the next cursor."""
        message: object = store.ReadWorkers()
        if cursor is not None:
            message = store.FollowWorkers(
                after=cursor, wait_ms=const.FOLLOW_WAIT_MS
            )
        sent_ms = self._kernel.clock.now()
        page: store.WorkersPage = await self._kernel.ask(
            store.SERVICE, message
        )
        if self.term.is_over:
            return page.cursor
        if cursor is None:
            self._registered_workers = {}
        for worker_id, info in page.workers.items():
            if info is None:
                self._registered_workers.pop(worker_id, None)
                self._replaced_worker_ids.discard(worker_id)
                continue
            if info != self._registered_workers.get(worker_id):
                # Its entry may have named the address of another worker.
                self._replaced_worker_ids.discard(worker_id)
            self._registered_workers[worker_id] = info
        if page.workers or cursor is None:
            self._apply_workers()
        if self._entries_since_ms is None:
            self._entries_since_ms = sent_ms
        if self._scheduler.on_entries_read(self._entries_since_ms, sent_ms):
            self.request_round()
        return max(cursor or 0, page.cursor)

    def _apply_workers(self) -> None:
        """Pass the registered workers to the scheduler and store the list."""
        self._scheduler.set_workers(
            {
                k: v
                for k, v in self._registered_workers.items()
                if k not in self._replaced_worker_ids
            }
        )
        self._takeover.are_workers_listed = True
        self._sync_pollers()
        self._update_fleet_record()

    def _update_fleet_record(self) -> None:
        """Write the rows of workers that have changed."""
        fut = defer.ensureDeferred(self._fleet.update())
        fut.addCallbacks(
            lambda _: self.request_round(), self._on_unexpected_error
        )

    def _sync_pollers(self) -> None:
        """Drop finished pollers and start the missing ones."""
        for worker_id, poller in list(self._pollers.items()):
            if poller.is_finished:
                if poller.is_worker_replaced:
                    self._replaced_worker_ids.add(worker_id)
                del self._pollers[worker_id]
        for worker_id, worker in list(self._scheduler.workers.items()):
            if (
                worker_id in self._pollers
                or worker_id in self._replaced_worker_ids
            ):
                continue
            if not worker.info.address:
                # Its row is malformed and it has not registered again.
                continue
            poller = _worker_poller.WorkerPoller(
                self._kernel,
                self.term,
                self._scheduler,
                self._saver,
                self._load,
                worker_id,
                self._on_worker_reply,
                self._on_ownership_lost,
            )
            self._pollers[worker_id] = poller
            _worker_poller.start_poller(poller, self._log)

    def _are_ends_recorded(self, worker_id: str) -> bool:
        """Return whether the records of all ends on a worker are written."""
        poller = self._pollers.get(worker_id)
        return poller is not None and poller.are_ends_recorded

    def _on_worker_reply(self) -> None:
        """Apply the effects of a reply or report and request a round."""
        self._apply_effects()
        self.request_round()

    # Scheduling.

    async def _run_rounds(self) -> None:
        """Run scheduling rounds at a fixed interval.

        Each comes one pass of the reactor after its timer, so that everything
        received until then has been read. After each round, report the
        gauges, store the learned records and the policies of routes, and
        remove expired jobs, if due.
        """
        clock = self._kernel.clock
        while not self.term.is_over:
            expected_ms = clock.now() + const.TICK_MS
            await self._kernel.sleep(const.TICK_MS)
            due_ms = clock.now()
            self._load.on_tick(due_ms - expected_ms, due_ms)
            await self._kernel.sleep(const.NEXT_PASS_MS)
            self._note_read(due_ms)
            self._sync_pollers()
            if not self._load.round_delay_ms(0, clock.now()) > 0:
                self._run_round()
            if self._takeover.are_workers_listed:
                self._fleet.carry_waits(self.loop_delay_ms)
            if self._fleet.is_outdated:
                # Rounds remove workers whose leases are over.
                self._update_fleet_record()
            self._update_full_pools()
            self._gauges.report(self._saver.backlog, self._load, self._orders)
            for update in (
                self._interference_record.update(),
                self._failure_record.update(),
                self._route_record.update(),
            ):
                defer.ensureDeferred(update).addErrback(self._on_record_error)
            if self._sweeper.is_due:
                await self._sweeper.sweep()

    def _update_full_pools(self) -> None:
        """Find out which pools accept no filling jobs, if due.

        They limit what is accepted, and no promise depends on them. So an
        error here must not end the term.
        """
        now = self._kernel.clock.now()
        if now < self._full_pools_ms:
            return
        self._full_pools_ms = now + const.FULL_POOLS_INTERVAL_MS
        try:
            full = self._scheduler.full_pools(now)
        except Exception:
            self._log.exception('Full pools not found')
            full = {}
        if full.keys() != self.full_pools.keys():
            self._log.info(
                'Pools that accept no filling jobs', pools=sorted(full)
            )
        self.full_pools = full

    def request_round(self) -> None:
        """Request a scheduling round after a short delay."""
        if self._round_timer is None and not self.term.is_over:
            worker_count = len(self._scheduler.workers)
            delay_ms = (
                const.ROUND_DELAY_MS
                + worker_count // const.WORKERS_PER_MS_OF_DELAY
            )
            clock = self._kernel.clock
            self._round_timer = clock.call_later(
                self._load.round_delay_ms(delay_ms, clock.now()),
                self._on_round_due,
            )

    def _on_round_due(self) -> None:
        """Run a requested scheduling round."""
        self._round_timer = None
        clock = self._kernel.clock
        clock.call_later(
            const.NEXT_PASS_MS,
            functools.partial(self._note_read, clock.now()),
        )
        self._run_round()

    def _note_read(self, until_ms: int) -> None:
        """Note that everything received until a time has been read."""
        self._read_until_ms = max(self._read_until_ms, until_ms)

    def _run_round(self) -> None:
        """Run a scheduling round and apply its effects.

        A round does not wait for the reactor to read, as that would delay its
        decisions. It judges leases by a time until which all was read.
        """
        clock = self._kernel.clock
        now = clock.now()
        if not self.term.may_act(now):
            return
        known_until_ms = min(
            self._read_until_ms, self.term.undisputed_until_ms(now)
        )
        self._hold_starts(not self.term.may_start(now))
        self._scheduler.decide(
            now,
            clock.wall(),
            self._takeover.update(known_until_ms),
            known_until_ms,
            self._load.batch_size(now, self._orders.queued_start_count),
        )
        self._apply_effects()
        end_ms = clock.now()
        self._load.on_round(end_ms - now, end_ms)

    def _hold_starts(self, are_held: bool) -> None:
        """Start nothing while the term does not allow it."""
        if are_held == self._are_starts_held:
            return
        self._are_starts_held = are_held
        self._scheduler.hold_starts(are_held)
        event = 'Starts go on'
        if are_held:
            event = 'Starts wait until the evacuated domains are known'
            if self.term.lease_limit_ms(self._kernel.clock.now()) == 0:
                event = 'Starts wait until most workers have answered'
        self._log.warning(event, epoch=self.term.epoch)

    def _apply_effects(self) -> None:
        """Apply the pending effects of the scheduler.

        All records are queued first, so that one commit can have them and
        orders that depend on a record wait for it.
        """
        effects = self._scheduler.take_effects()
        self._saver.queue_records(
            effect.job
            for effect in effects
            if isinstance(effect, scheduling.SaveJob)
        )
        for effect in effects:
            if isinstance(effect, scheduling.LogEvent):
                self._log_event(effect)
            elif isinstance(effect, scheduling.PollWorkerAgain):
                self._poll_again(effect.worker)
        self._orders.send(effects)

    def _poll_again(self, worker_id: str) -> None:
        """Poll a worker at once."""
        poller = self._pollers.get(worker_id)
        if poller is not None:
            poller.poll_again()

    def _log_event(self, effect: scheduling.LogEvent) -> None:
        """Log an event of the scheduler, and count it if it has a counter."""
        log = self._log.info
        if effect.event in const.WARNING_EVENTS:
            log = self._log.warning
        log(
            effect.event.replace('_', ' ').capitalize(),
            job=effect.job,
            **effect.values,
        )
        counter = const.EVENT_COUNTERS.get(effect.event)
        if counter is not None:
            self._kernel.post(
                telemetry.SERVICE,
                telemetry.Count(
                    name=counter, label=str(effect.values.get('reason', ''))
                ),
            )
