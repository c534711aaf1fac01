"""Claim the cell, renew the claim and give it up."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import _term
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import ownership


class CellTask(core.Task):
    """Own the election and, while this daemon owns the cell, its term."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._incarnation = str(kernel.incarnation)
        self._election = ownership.Election(
            cfg.instance,
            self._incarnation,
            int(self._incarnation, base=16) % const.CLAIM_JITTER_MS,
        )
        self._owner_version = 0
        self._renewal_version = 0
        self._config: store.FleetConfig | None = None
        self._work: _term.OwnerTerm | None = None
        self._pending: list[object] = []
        self._is_claiming = False
        self._is_leaving = False

    def start(self) -> object:
        """Begin to watch the owner of the cell."""
        for event in (
            config_messages.ConfigChanged,
            jobs.JobAdded,
            jobs.JobCancelled,
            jobs.CellRowChanged,
            jobs.ReplicaSynced,
            lifecycle.ShutdownStarted,
        ):
            self.kernel.subscribe(event, self)
        defer.ensureDeferred(self._watch()).addErrback(self._on_fault)
        return None

    def _on_fault(self, reason: Any) -> None:
        """Log the end of a loop that should never end."""
        self._log.error('Watch failed', reason=reason.getTraceback())

    async def _watch(self) -> None:
        """Claim the cell when the election says so, at a steady pace."""
        await self._measure_distance()
        while not self.is_stopped:
            await self.kernel.sleep(const.TICK_MS // 2)
            await self._claim_if_due()

    async def _measure_distance(self) -> None:
        """Wait longer with claims if the store is far away."""
        began = self.kernel.clock.now()
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
            self._log.warning('Distance not measured', why=str(exc))
            return
        if self.kernel.clock.now() - began > const.FAR_LATENCY_MS:
            self._election.delay_ms += const.FAR_DELAY_MS

    # Events.

    @core.handles(config_messages.ConfigChanged)
    def _on_config(self, msg: config_messages.ConfigChanged) -> None:
        """Keep the configuration for a term, or pass it on."""
        self._config = msg.config
        if self._work is not None:
            self._work.set_config(msg.config)

    @core.handles(jobs.JobAdded)
    def _on_job(self, msg: jobs.JobAdded) -> None:
        """Pass a new job on to the term."""
        if self._work is not None:
            self._work.add_job(msg.job)
        elif self._is_claiming:
            self._pending.append(msg)

    @core.handles(jobs.JobCancelled)
    def _on_cancelled(self, msg: jobs.JobCancelled) -> None:
        """Pass a cancellation on to the term."""
        if self._work is not None:
            self._work.cancel_job(msg.id)
        elif self._is_claiming:
            self._pending.append(msg)

    @core.handles(jobs.CellRowChanged)
    def _on_row(self, msg: jobs.CellRowChanged) -> None:
        """Take over the rows of the owner and its renewals."""
        row = msg.row
        now = self.kernel.clock.now()
        if row.key == layout.OWNER_KEY:
            owner = models.decode_owner(row.value)
            self._owner_version = row.version
            self._election.on_owner(owner, now)
            self._log.info(
                'Owner changed',
                owner=owner.instance if owner else None,
                epoch=owner.epoch if owner else None,
                version=row.version,
            )
            if self._work is not None:
                if row.version > self._work.term.owner_version:
                    self._depose('the row of the owner was replaced')
        elif row.key == layout.RENEWAL_KEY:
            self._renewal_version = row.version
            renewal = models.decode_renewal(row.value)
            self._election.on_renewal(renewal, now)

    @core.handles(jobs.ReplicaSynced)
    def _on_synced(self, msg: jobs.ReplicaSynced) -> None:
        """Note whether the store answers."""
        is_current = msg.is_reachable and msg.is_complete
        self._election.on_synced(is_current, self.kernel.clock.now())

    @core.handles(lifecycle.ShutdownStarted)
    def _on_shutdown(self, msg: lifecycle.ShutdownStarted) -> None:
        """Claim nothing any more."""
        self._is_leaving = True

    # Claiming.

    async def _claim_if_due(self) -> None:
        """Claim the cell if that is due."""
        if self._work is not None or self._is_leaving:
            return
        if self._config is None:
            return
        reason = self._election.claim_reason(self.kernel.clock.now())
        if reason is None:
            return
        self._is_claiming = True
        try:
            await self._claim(reason)
        finally:
            self._is_claiming = False
            self._pending.clear()

    async def _claim(self, reason: ownership.ClaimReason) -> None:
        """Write the row of the owner, then load the cell."""
        former = self._election.owner
        former_renewal = self._election.renewal
        owner = ownership.Owner(
            instance=self._cfg.instance,
            incarnation=self._incarnation,
            epoch=(former.epoch if former else 0) + 1,
        )
        sent = self.kernel.clock.now()
        version, why = await self._write_claim(owner)
        self._log.info(
            'Claim of the cell',
            reason=reason.value,
            epoch=owner.epoch,
            former=former.instance if former else None,
            outcome='lost' if version is None else 'won',
            why=why,
        )
        if version is None:
            await self.kernel.sleep(const.CLAIM_RETRY_MS)
            return
        self._count('claims', reason.value)
        now = self.kernel.clock.now()
        settle = ownership.settle_delay_ms(
            reason, former_renewal, self._cfg.limits.lease_max_ms
        )
        await self._begin(
            models.Term(
                epoch=owner.epoch,
                owner_version=version,
                renewed_ms=sent,
                settle_ms=now + settle,
            )
        )

    async def _write_claim(
        self, owner: ownership.Owner
    ) -> tuple[int | None, str]:
        """Commit the claim; return the version of the row, or why not."""
        value = models.encode_owner(owner)
        renewal = ownership.Renewal(
            epoch=owner.epoch, count=0, is_settled=False
        )
        attempt = await _commits.try_commit(
            self.kernel,
            store.CommitRows(
                table=layout.TABLE,
                part=layout.CELL_PART,
                checks=(
                    store.Check(
                        key=layout.OWNER_KEY, version=self._owner_version
                    ),
                ),
                puts=(
                    store.Put(key=layout.OWNER_KEY, value=value),
                    store.Put(
                        key=layout.RENEWAL_KEY,
                        value=models.encode_renewal(renewal),
                    ),
                ),
            ),
        )
        return _version_of_claim(attempt, value), attempt.why

    async def _begin(self, term: models.Term) -> None:
        """Load the cell and act as its owner."""
        snapshot = await self.kernel.ask(
            jobs.SERVICE, jobs.TakeSnapshot(version=term.owner_version)
        )
        if self._owner_version > term.owner_version or self._is_leaving:
            self._log.info('Claim was lost while loading', epoch=term.epoch)
            return
        assert self._config is not None
        self._work = _term.OwnerTerm(
            self.kernel, self._cfg, term, snapshot, self._config, self._depose
        )
        for msg in self._pending:
            self.post(msg)
        self._work.start()
        self.kernel.publish(jobs.OwnershipChanged(is_owner=True))
        defer.ensureDeferred(self._renew(term)).addErrback(self._on_fault)

    async def _renew(self, term: models.Term) -> None:
        """Renew the claim until the term is over."""
        clock = self.kernel.clock
        count = 0
        while not term.is_over and not self.is_stopped:
            count += 1
            sent = clock.now()
            renewal = ownership.Renewal(
                epoch=term.epoch, count=count, is_settled=term.is_settled
            )
            value = models.encode_renewal(renewal)
            attempt = await _owner_commits.commit_as_owner(
                self.kernel,
                term,
                (store.Put(key=layout.RENEWAL_KEY, value=value),),
            )
            result = attempt.result
            if result is not None and result.is_applied:
                term.renewed_ms = sent
            elif result is not None:
                self._depose('the renewal was refused')
            else:
                self._note_not_renewed(term, attempt.why)
            passed = clock.now() - sent
            await self.kernel.sleep(
                max(const.RETRY_MS, ownership.RENEW_INTERVAL_MS - passed)
            )

    def _note_not_renewed(self, term: models.Term, why: str) -> None:
        """Log a failed renewal; give up when it lasts too long."""
        now = self.kernel.clock.now()
        self._log.warning(
            'Claim not renewed',
            epoch=term.epoch,
            age_ms=now - term.renewed_ms,
            why=why,
        )
        if not term.is_entitled(now):
            self._depose('no renewal for too long')

    def _depose(self, why: str) -> None:
        """Stop acting as the owner."""
        work = self._work
        if work is None or work.term.is_over:
            return
        work.term.is_over = True
        self._work = None
        self.kernel.publish(jobs.OwnershipChanged(is_owner=False))
        self._count('depositions', '')
        self._log.warning(
            'Cell is no longer owned', epoch=work.term.epoch, why=why
        )

    @core.handles(lifecycle.ReleaseCell)
    def _on_release(
        self, msg: lifecycle.ReleaseCell
    ) -> 'defer.Deferred[None]':
        """Hand the cell over before the daemon ends."""
        return defer.ensureDeferred(self._release())

    async def _release(self) -> None:
        """Write that the cell has no owner."""
        work = self._work
        if work is None:
            return
        term = work.term
        self._depose('the daemon ends')
        owner = ownership.Owner(instance='', incarnation='', epoch=term.epoch)
        value = models.encode_owner(owner)
        attempt = await _owner_commits.commit_as_owner(
            self.kernel, term, (store.Put(key=layout.OWNER_KEY, value=value),)
        )
        self._log.info(
            'Cell released',
            epoch=term.epoch,
            is_stored=attempt.result is not None,
            why=attempt.why,
        )

    def _count(self, name: str, label: str) -> None:
        """Count an event."""
        self.kernel.post(
            telemetry.SERVICE, telemetry.Count(name=name, label=label)
        )


def _version_of_claim(attempt: _commits.Attempt, value: bytes) -> int | None:
    """Return the version of the owner's row if the claim was applied.

    A repeat of a commit that was applied is refused; the row then holds
    what the commit wrote.
    """
    result = attempt.result
    if result is None:
        return None
    if result.is_applied:
        return result.version
    for row in result.current:
        if row.key == layout.OWNER_KEY and row.value == value:
            return row.version
    return None
