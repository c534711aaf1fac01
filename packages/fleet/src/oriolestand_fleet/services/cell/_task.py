"""Claim, renew and release ownership of the cell."""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import traceback
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_fleet.messages import orders
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _lease_limits
from oriolestand_fleet.services.cell import _offers
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import _term
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import delays
from oriolestand_policy import fencing
from oriolestand_policy import ownership
from oriolestand_policy import scheduling


class CellTask(core.Task):
    """Take part in the election of the owner; act as owner after a win."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._incarnation = str(kernel.incarnation)
        self._claim_delay_ms = self._base_delay_ms(None)
        self._election = ownership.Election(
            cfg.instance, self._incarnation, self._claim_delay_ms
        )
        self._loop_delays = delays.DelayWindow(const.LOOP_DELAY_WINDOW_MS)
        self._offers = _offers.CellOffers(kernel, cfg.instance, self._election)
        self._owner_version = 0
        self._renewal_version = 0
        self._is_renewal_malformed = False
        self._limits = _lease_limits.LeaseLimits(kernel)
        self._config: store.FleetConfig | None = None
        self._known_routes = scheduling.KnownRoutes()
        self._evacuations: config_messages.EvacuationsRead | None = None
        self._owner_term: _term.OwnerTerm | None = None
        self._loading_term: models.Term | None = None
        self._pending_events: list[object] = []
        self._is_claiming = False
        self._is_shutting_down = False

    def start(self) -> object:
        """Subscribe to events and start to watch the owner of the cell."""
        for event in (
            config_messages.ConfigChanged,
            config_messages.EvacuationsRead,
            jobs.JobAdded,
            jobs.JobPolicyReceived,
            jobs.JobCancelled,
            jobs.CellRowChanged,
            jobs.ReplicaSyncAttempted,
            lifecycle.ShutdownStarted,
            orders.LateReport,
            orders.ReportBegun,
            orders.StartSent,
        ):
            self.kernel.subscribe(event, self)
        for loop in (self._watch(), self._watch_store_latency()):
            defer.ensureDeferred(loop).addErrback(self._on_unexpected_error)
        return None

    def _on_unexpected_error(self, reason: Any) -> None:
        """Log an unexpected error that ended a background loop."""
        self._log.error('Election loop failed', reason=reason.getTraceback())

    async def _watch(self) -> None:
        """Check at a fixed interval whether to claim the cell."""
        clock = self.kernel.clock
        while not self.is_stopped:
            due_ms = clock.now() + const.TICK_MS // 2
            await self.kernel.sleep(const.TICK_MS // 2)
            now = clock.now()
            self._loop_delays.add(now - due_ms, now)
            self._election.delay_ms = self._claim_delay_ms + min(
                self._loop_delays.longest_ms(now), const.MAX_LOOP_DELAY_MS
            )
            try:
                self._update_limits()
                await self._claim_if_due()
                await self._offer_if_due()
            except Exception:
                # The loop goes on, so that the daemon can claim again.
                self._log.error(
                    'Claim failed with an unexpected error',
                    reason=traceback.format_exc(),
                )

    async def _watch_store_latency(self) -> None:
        """Delay claims while the latency of the store is high or unknown."""
        measurement_count = 0
        while not self.is_stopped:
            latency_ms = await self._measure_store_latency()
            delay_ms = self._base_delay_ms(latency_ms)
            if delay_ms != self._claim_delay_ms:
                self._claim_delay_ms = delay_ms
                self._log.info(
                    'Delay of claims changed',
                    delay_ms=delay_ms,
                    store_latency_ms=latency_ms,
                )
            await self.kernel.sleep(_latency_interval_ms(measurement_count))
            measurement_count += 1

    def _base_delay_ms(self, store_latency_ms: int | None) -> int:
        """Return the delay of claims, given the latency of the store."""
        return ownership.claim_delay_ms(
            jitter_ms=int(self._incarnation, base=16) % const.CLAIM_JITTER_MS,
            store_latency_ms=store_latency_ms,
            processors=self._cfg.limits.processors,
        )

    async def _measure_store_latency(self) -> int | None:
        """Return the time of a read from the store; None if it failed."""
        started_ms = self.kernel.clock.now()
        try:
            await self.kernel.ask(
                store.SERVICE,
                store.ReadRows(
                    table=layout.TABLE,
                    part=layout.CELL_PART,
                    start=layout.OWNER_KEY,
                    end=layout.OWNER_KEY + '\0',
                ),
            )
        except core.OriolestandError as exc:
            self._log.warning('Store latency not measured', why=str(exc))
            return None
        return self.kernel.clock.now() - started_ms

    # Events.

    @core.handles(config_messages.ConfigChanged)
    def _on_config(self, msg: config_messages.ConfigChanged) -> None:
        """Store the configuration and pass it to the current term."""
        self._config = msg.config
        self._known_routes.update(
            (r.policy for r in msg.config.routes), msg.config.version
        )
        if self._owner_term is not None:
            self._owner_term.set_config(msg.config)

    @core.handles(config_messages.EvacuationsRead)
    def _on_evacuations(self, msg: config_messages.EvacuationsRead) -> None:
        """Store the evacuated domains and pass them to the current term."""
        self._evacuations = msg
        if self._owner_term is not None:
            self._owner_term.set_evacuations(msg)

    @core.handles(jobs.JobAdded)
    def _on_job(self, msg: jobs.JobAdded) -> None:
        """Pass a new job to the term, or queue it while claiming the cell."""
        if self._owner_term is not None:
            self._owner_term.add_job(msg.job)
        elif self._is_claiming:
            self._pending_events.append(msg)

    @core.handles(jobs.JobPolicyReceived)
    def _on_policy(self, msg: jobs.JobPolicyReceived) -> None:
        """Pass a policy to the term, or queue it while claiming."""
        if self._owner_term is not None:
            self._owner_term.set_job_policy(msg.id, msg.policy)
        elif self._is_claiming:
            self._pending_events.append(msg)

    @core.handles(jobs.JobCancelled)
    def _on_cancelled(self, msg: jobs.JobCancelled) -> None:
        """Pass a cancellation to the term, or queue it while claiming."""
        if self._owner_term is not None:
            self._owner_term.cancel_job(msg.id)
        elif self._is_claiming:
            self._pending_events.append(msg)

    @core.handles(orders.LateReport)
    def _on_late_report(self, msg: orders.LateReport) -> None:
        """Pass a late report to the term whose poll it answers."""
        owner_term = self._owner_term
        if owner_term is not None and owner_term.term.epoch == msg.epoch:
            owner_term.apply_late_report(msg.report)

    @core.handles(orders.ReportBegun)
    def _on_report_begun(self, msg: orders.ReportBegun) -> None:
        """Pass on that a report for the current term has begun to arrive."""
        owner_term = self._owner_term
        if owner_term is not None and owner_term.term.epoch == msg.epoch:
            owner_term.on_report_begun(msg)

    @core.handles(orders.StartSent)
    def _on_start_sent(self, msg: orders.StartSent) -> None:
        """Pass on that a start order of the current term was sent."""
        owner_term = self._owner_term
        if owner_term is not None and owner_term.term.epoch == msg.epoch:
            owner_term.on_start_sent(msg)

    @core.handles(jobs.CellRowChanged)
    def _on_row(self, msg: jobs.CellRowChanged) -> None:
        """Apply a changed owner or renewal row."""
        self._apply_rows([msg.row])

    def _apply_rows(self, rows: Iterable[store.Row]) -> None:
        """Apply owner and renewal rows unless a newer version is known.

        The response to a refused commit may be newer than the replica.
        """
        for row in rows:
            if row.key == layout.OWNER_KEY:
                if row.version > self._owner_version:
                    self._apply_owner(row)
            elif row.key == layout.RENEWAL_KEY:
                if row.version > self._renewal_version:
                    self._apply_renewal(row)
            elif row.key == layout.CANDIDATE_KEY:
                self._apply_candidate(row)
            elif row.key == layout.LIMITS_KEY:
                self._apply_limits(row)

    def _apply_owner(self, row: store.Row) -> None:
        """Apply the owner row; end the term if there is a newer owner."""
        owner = self._decode_owner(row)
        self._owner_version = row.version
        self._election.on_owner(owner, self.kernel.clock.now())
        self._log.info(
            'Owner changed',
            owner=owner.instance if owner else None,
            epoch=owner.epoch if owner else None,
            version=row.version,
        )
        term = self._loading_term
        if self._owner_term is not None:
            term = self._owner_term.term
        if term is not None and row.version > term.owner_version:
            self._end_term(term, 'the owner row was replaced')

    def _decode_owner(self, row: store.Row) -> ownership.Owner | None:
        """Decode the owner row; a malformed one names an unknown owner.

        An unknown owner is replaced once it is silent. It may still act until
        its renewals are too old, as any other owner.
        """
        try:
            return models.decode_owner(row.value)
        except _rows.MalformedRowError as exc:
            self._log_malformed(row, exc)
        known = self._election.owner
        return ownership.Owner(
            instance=const.UNKNOWN_INSTANCE,
            incarnation='',
            epoch=known.epoch if known is not None else 0,
        )

    def _log_malformed(
        self, row: store.Row, exc: _rows.MalformedRowError
    ) -> None:
        """Log a malformed row of the cell; each version is applied once."""
        self._log.error(
            'Malformed row of the cell',
            key=row.key,
            version=row.version,
            why=str(exc),
        )

    def _apply_renewal(self, row: store.Row) -> None:
        """Apply the renewal row; a malformed one does not renew anything."""
        self._renewal_version = row.version
        try:
            renewal = models.decode_renewal(row.value)
        except _rows.MalformedRowError as exc:
            self._is_renewal_malformed = True
            self._log_malformed(row, exc)
            return
        self._is_renewal_malformed = False
        self._election.on_renewal(renewal, self.kernel.clock.now())
        if renewal is None:
            return
        if renewal.full_pools is None:
            self._log.error(
                'Malformed full pools ignored', version=row.version
            )
        self.kernel.publish(
            jobs.OwnerLoadReported(
                delay_ms=renewal.delay_ms, full_pools=renewal.full_pools or {}
            )
        )

    def _apply_candidate(self, row: store.Row) -> None:
        """Apply the row of a daemon that offers to take the cell."""
        try:
            candidate = self._offers.apply(row)
        except _rows.MalformedRowError as exc:
            self._log_malformed(row, exc)
            return
        if candidate is not None and self._owner_term is not None:
            self._owner_term.term.hand_over.on_offer(candidate)

    def _apply_limits(self, row: store.Row) -> None:
        """Apply the row that tells whether the owner limits its leases."""
        try:
            self._limits.apply(row)
        except _rows.MalformedRowError as exc:
            self._log_malformed(row, exc)

    def _may_limit_leases(self) -> bool:
        """Return whether this daemon has time to limit its leases."""
        delay_ms = self._loop_delays.longest_ms(self.kernel.clock.now())
        return delay_ms < ownership.MAX_LIMITED_DELAY_MS

    def _update_limits(self) -> None:
        """Limit the leases of the present term while there is time to."""
        term = self._loading_term
        if self._owner_term is not None:
            term = self._owner_term.term
        if term is None or term.is_over:
            return
        update = self._limits.update(term, are_set=self._may_limit_leases())
        defer.ensureDeferred(update).addErrback(self._on_unexpected_error)

    async def _offer_if_due(self) -> None:
        """Offer to take the cell unless this daemon owns it or stops."""
        if self._owner_term is not None or self._is_shutting_down:
            return
        await self._offers.offer_if_due(
            self._loop_delays.longest_ms(self.kernel.clock.now())
        )

    @core.handles(jobs.ReplicaSyncAttempted)
    def _on_replica_sync(self, msg: jobs.ReplicaSyncAttempted) -> None:
        """Tell the election whether the replica is in sync with the store."""
        is_current = msg.is_reachable and msg.is_complete
        self._election.on_store_contact(is_current, self.kernel.clock.now())

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Stop claiming the cell."""
        self._is_shutting_down = True

    # Claiming.

    async def _claim_if_due(self) -> None:
        """Claim the cell if the election returns a reason to do so."""
        if self._owner_term is not None or self._is_shutting_down:
            return
        if self._config is None or self._evacuations is None:
            return
        reason = self._election.claim_reason(self.kernel.clock.now())
        if reason is None:
            return
        self._is_claiming = True
        try:
            await self._claim(reason)
        finally:
            self._is_claiming = False
            self._pending_events.clear()

    async def _claim(self, reason: ownership.ClaimReason) -> None:
        """Write the owner row and, if that succeeds, start a term."""
        former = self._election.owner
        former_renewal = self._election.renewal_of_owner
        owner = ownership.Owner(
            instance=self._cfg.instance,
            incarnation=self._incarnation,
            epoch=fencing.next_epoch(self._election.last_epoch),
        )
        sent_ms = self.kernel.clock.now()
        view_age_ms = self._election.silent_ms(sent_ms)
        self._election.on_claim(sent_ms)
        renewal_age_ms = self._election.renewal_age_ms(sent_ms)
        unsettled_ms = ownership.unsettled_ms(
            reason, former_renewal, renewal_age_ms
        )
        former_leases = self._former_leases(reason, sent_ms - renewal_age_ms)
        limits_leases = self._may_limit_leases()
        claim = self._build_claim(reason, owner, unsettled_ms, limits_leases)
        outcome = await _commits.try_commit(self.kernel, claim)
        version = _version_of_claim(outcome, claim)
        self._log.info(
            'Claim of the cell',
            reason=reason.value,
            epoch=owner.epoch,
            former=former.instance if former else None,
            outcome=_describe_outcome(outcome, version),
            why=outcome.error,
        )
        if version is None:
            if outcome.result is not None:
                self._apply_refusal(
                    outcome.result, former, former_renewal, view_age_ms
                )
            return
        self._count('claims', reason.value)
        self._apply_rows(_rows_of_claim(claim, version))
        now = self.kernel.clock.now()
        takeover_wait_ms = ownership.takeover_wait_ms(
            reason,
            former_renewal,
            self._cfg.limits.lease_max_ms,
            renewal_age_ms,
        )
        term = models.Term(
            epoch=owner.epoch,
            owner_version=version,
            renewed_ms=sent_ms,
            takeover_deadline_ms=now + takeover_wait_ms,
            settled_ms=now + unsettled_ms,
            former_leases=former_leases,
            limits_leases=limits_leases,
            hand_over=ownership.HandOver(
                epoch=owner.epoch,
                began_ms=now,
                was_passed_on=_was_too_slow(reason, former_renewal),
            ),
        )
        try:
            await self._start_term(term)
        except Exception:
            # Otherwise the claim would be renewed although nobody acts.
            self._end_term(term, 'the cell could not be loaded')
            raise

    def _former_leases(
        self, reason: ownership.ClaimReason, received_ms: int
    ) -> ownership.FormerLeases | None:
        """Return the bounds of the leases of the former owner, if any.

        :param received_ms: when its last renewal was received.
        """
        former = self._election.owner
        renewal = self._election.renewal_of_owner
        if (
            reason is not ownership.ClaimReason.SILENT
            or former is None
            or renewal is None
            or former.instance == const.UNKNOWN_INSTANCE
            or self._is_renewal_malformed
            or not self._limits.are_set_by(former.epoch)
        ):
            return None
        # The claim is void unless this renewal is the last one.
        return ownership.FormerLeases(
            renewed_ms=received_ms, unsettled_ms=renewal.unsettled_ms
        )

    def _build_claim(
        self,
        reason: ownership.ClaimReason,
        owner: ownership.Owner,
        unsettled_ms: int,
        limits_leases: bool,
    ) -> store.CommitRows:
        """Return the commit of the owner row and its first renewal."""
        checks = [
            store.Check(key=layout.OWNER_KEY, version=self._owner_version)
        ]
        if reason.depends_on_renewal:
            checks.append(
                store.Check(
                    key=layout.RENEWAL_KEY, version=self._renewal_version
                )
            )
            checks.append(self._limits.check)
        limits = models.LeaseLimits(epoch=owner.epoch, are_set=limits_leases)
        renewal = ownership.Renewal(
            epoch=owner.epoch,
            count=0,
            unsettled_ms=unsettled_ms,
        )
        return store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=tuple(checks),
            puts=(
                store.Put(
                    key=layout.OWNER_KEY, value=models.encode_owner(owner)
                ),
                store.Put(
                    key=layout.RENEWAL_KEY,
                    value=models.encode_renewal(renewal),
                ),
                _lease_limits.put(limits),
                store.Put(
                    key=layout.OWNER_KEY,
                    value=models.encode_owner(owner),
                    table=layout.SPEC_TABLE,
                ),
            ),
        )

    def _apply_refusal(
        self,
        result: store.CommitResult,
        known_owner: ownership.Owner | None,
        known_renewal: ownership.Renewal | None,
        view_age_ms: int,
    ) -> None:
        """Apply the current rows of the cell; log how old the view was.

        ``view_age_ms``: how long before the claim the rows that it was based
        on were received.
        """
        self._apply_rows(result.current)
        owner = self._election.owner
        renewal = self._election.renewal
        self._log.info(
            'Claim was based on an old view',
            known_epoch=known_owner.epoch if known_owner else None,
            known_renewal=known_renewal.count if known_renewal else None,
            current_epoch=owner.epoch if owner else None,
            current_renewal=renewal.count if renewal else None,
            view_age_ms=view_age_ms,
        )

    async def _start_term(self, term: models.Term) -> None:
        """Load the state of the cell and start to act as its owner.

        The claim is renewed while loading, so that no other daemon takes the
        cell from a new owner behind a slow link.
        """
        self._loading_term = term
        defer.ensureDeferred(self._renew(term)).addErrback(
            self._on_unexpected_error
        )
        snapshot = await self._load_snapshot(term)
        if self._owner_version > term.owner_version or self._is_shutting_down:
            self._end_term(term, 'the claim was lost while loading')
        if snapshot is None or term.is_over:
            self._end_term(term, 'the cell was not loaded')
            self._log.info(
                'Claim was lost while loading the cell', epoch=term.epoch
            )
            if self._is_shutting_down:
                await self._write_release(term)
            return
        assert self._evacuations is not None
        self._owner_term = _term.OwnerTerm(
            self.kernel,
            self._cfg,
            term,
            snapshot,
            self._known_routes,
            self._evacuations,
            functools.partial(self._end_term, term),
        )
        self._loading_term = None
        for msg in self._pending_events:
            self.post(msg)
        self._owner_term.start()
        self.kernel.publish(jobs.OwnershipChanged(is_owner=True))

    async def _load_snapshot(self, term: models.Term) -> jobs.Snapshot | None:
        """Return the state of the cell, or None if the load ended before.

        After a load without progress, other daemons may claim the cell first,
        as one of them may be able to load it.
        """
        try:
            snapshot: jobs.Snapshot = await self.kernel.ask(
                jobs.SERVICE, jobs.GetSnapshot(version=term.owner_version)
            )
        except jobs.LoadEndedError as exc:
            if not term.is_over:
                self._end_term(term, str(exc))
                self._election.on_given_up(self.kernel.clock.now())
            return None
        return snapshot

    async def _renew(self, term: models.Term) -> None:
        """Renew the claim at a fixed interval until the term is over."""
        clock = self.kernel.clock
        count = 0
        while not term.is_over and not self.is_stopped:
            count += 1
            sent_ms = clock.now()
            renewal = ownership.Renewal(
                epoch=term.epoch,
                count=count,
                unsettled_ms=term.unsettled_ms(sent_ms),
                delay_ms=self._delay_ms(),
                full_pools=self._full_pools(),
            )
            value = models.encode_renewal(renewal)
            outcome = await _owner_commits.commit_as_owner(
                self.kernel,
                term,
                (store.Put(key=layout.RENEWAL_KEY, value=value),),
            )
            result = outcome.result
            if result is not None and result.is_applied:
                term.renewed_ms = sent_ms
                term.votes.on_renewed(sent_ms)
                if term.store_clock is None and result.now_ms:
                    term.store_clock = ownership.StoreClock(
                        sent_ms=sent_ms,
                        received_ms=clock.now(),
                        store_ms=result.now_ms,
                    )
            elif result is not None:
                self._apply_rows(result.current)
                self._end_term(term, 'the renewal was refused')
            else:
                self._on_renewal_failed(term, outcome.error)
            if self._is_too_slow(term):
                await self._give_up(term)
                return
            if self._is_epoch_used_up(term):
                self._end_term(term, 'its run numbers are used up')
                await self._write_release(term)
                return
            elapsed_ms = clock.now() - sent_ms
            await self.kernel.sleep(
                max(const.RETRY_MS, ownership.RENEW_INTERVAL_MS - elapsed_ms)
            )

    def _delay_ms(self) -> int:
        """Return how late this owner does its work, 0 while it loads."""
        if self._owner_term is None:
            return 0
        return self._owner_term.delay_ms

    def _full_pools(self) -> Mapping[str, int]:
        """Return the pools that accept no filling jobs, none on loading."""
        if self._owner_term is None:
            return {}
        return self._owner_term.full_pools

    def _is_too_slow(self, term: models.Term) -> bool:
        """Return whether to give a term up to a faster daemon."""
        owner_term = self._owner_term
        if owner_term is None or owner_term.term is not term:
            return False
        return term.hand_over.is_due(
            owner_term.loop_delay_ms, self.kernel.clock.now()
        )

    def _is_epoch_used_up(self, term: models.Term) -> bool:
        """Return whether the next runs need the numbers of a new epoch."""
        owner_term = self._owner_term
        if owner_term is None or owner_term.term is not term:
            return False
        return not owner_term.may_keep_cell

    async def _give_up(self, term: models.Term) -> None:
        """Release the cell, and leave it to other daemons for a while."""
        self._end_term(term, 'the daemon is too slow')
        self._election.on_given_up(self.kernel.clock.now())
        self._count('given_up_terms', '')
        await self._write_release(term)

    def _on_renewal_failed(self, term: models.Term, error: str) -> None:
        """Log a failed renewal; end the term if the last one is too old."""
        now = self.kernel.clock.now()
        self._log.warning(
            'Claim not renewed',
            epoch=term.epoch,
            age_ms=now - term.renewed_ms,
            why=error,
        )
        if not term.may_act(now):
            self._end_term(term, 'the claim was not renewed in time')

    def _end_term(self, term: models.Term, reason: str) -> None:
        """End a term; a late failure of a former one changes nothing."""
        # The writer of records may have marked the term as over already.
        term.end()
        if self._loading_term is term:
            # At once, so that the jobs service stops to load the cell.
            self._loading_term = None
            self.kernel.publish(jobs.OwnershipChanged(is_owner=False))
            self._log.warning(
                'Cell is not loaded further', epoch=term.epoch, why=reason
            )
            return
        if self._owner_term is None or self._owner_term.term is not term:
            return
        self._owner_term = None
        self.kernel.publish(jobs.OwnershipChanged(is_owner=False))
        self._count('depositions', '')
        self._log.warning(
            'Cell is no longer owned', epoch=term.epoch, why=reason
        )

    @core.handles(lifecycle.ReleaseCell)
    def _on_release(
        self, msg: lifecycle.ReleaseCell
    ) -> 'defer.Deferred[None]':
        """Release the cell before the daemon stops."""
        return defer.ensureDeferred(self._release())

    async def _release(self) -> None:
        """End the term and write an owner row without an owner."""
        owner_term = self._owner_term
        if owner_term is None:
            return
        self._end_term(owner_term.term, 'the daemon is shutting down')
        await self._write_release(owner_term.term)

    async def _write_release(self, term: models.Term) -> None:
        """Write an owner row without an owner."""
        owner = ownership.Owner(instance='', incarnation='', epoch=term.epoch)
        value = models.encode_owner(owner)
        outcome = await _owner_commits.commit_as_owner(
            self.kernel, term, (store.Put(key=layout.OWNER_KEY, value=value),)
        )
        self._log.info(
            'Cell released',
            epoch=term.epoch,
            is_stored=outcome.result is not None,
            why=outcome.error,
        )

    def _count(self, name: str, label: str) -> None:
        """Count an event."""
        self.kernel.post(
            telemetry.SERVICE, telemetry.Count(name=name, label=label)
        )


def _was_too_slow(
    reason: ownership.ClaimReason, former: ownership.Renewal | None
) -> bool:
    """Return whether the former owner has given the cell up as too slow."""
    return (
        reason is ownership.ClaimReason.RELEASED
        and former is not None
        and former.delay_ms >= ownership.GIVE_UP_DELAY_MS
    )


def _latency_interval_ms(measurement_count: int) -> int:
    """Return the time to the next measurement of the store latency."""
    last = len(const.LATENCY_INTERVALS_MS) - 1
    return const.LATENCY_INTERVALS_MS[min(measurement_count, last)]


def _describe_outcome(
    outcome: _commits.CommitOutcome, version: int | None
) -> str:
    """Return the outcome of a claim for the log."""
    if version is not None:
        return 'won'
    if outcome.result is not None:
        return 'refused'
    return 'in_doubt' if outcome.is_in_doubt else 'failed'


def _rows_of_claim(claim: store.CommitRows, version: int) -> list[store.Row]:
    """Return the rows of the cell that an applied claim has written."""
    return [
        store.Row(
            part=claim.part, key=put.key, value=put.value, version=version
        )
        for put in claim.puts
        if not put.table
    ]


def _version_of_claim(
    outcome: _commits.CommitOutcome, claim: store.CommitRows
) -> int | None:
    """Return the version of the owner row, or None if the claim failed.

    If the first copy of the commit was applied but its response was lost, the
    second copy is refused; the row then holds the value of the claim.
    """
    result = outcome.result
    if result is None:
        return None
    if result.is_applied:
        return result.version
    values = {put.key: put.value for put in claim.puts if not put.table}
    for row in result.current:
        if row.key == layout.OWNER_KEY and row.value == values[row.key]:
            return row.version
    return None
