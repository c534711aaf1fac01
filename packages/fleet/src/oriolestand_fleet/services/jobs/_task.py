"""Accept jobs, serve their state and keep the replica up to date."""

import collections
from collections.abc import Sequence
import random
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import config as config_messages
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.jobs import _owner_view
from oriolestand_fleet.services.jobs import _refusals
from oriolestand_fleet.services.jobs import _replica
from oriolestand_fleet.services.jobs import _state_reader
from oriolestand_fleet.services.jobs import _view_age
from oriolestand_fleet.services.jobs import const
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import backoff
from oriolestand_policy import ownership
from oriolestand_policy import scheduling


class JobsTask(core.Task):
    """Maintain the replica of all jobs and store the requests of callers."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._row_bytes = cfg.limits.row_bytes
        self._retention_ms = cfg.limits.retention_ms
        self._log = core.get_logger(const.DOMAIN)
        self._replica = _replica.Replica()
        self._cursor: int | None = None
        self._synced_ms: int | None = None
        self._view_age = _view_age.ViewAge(kernel)
        self._admission = ownership.OwnerAdmission()
        self._is_store_unreachable = False
        self._owner_view: _owner_view.OwnerView | None = None
        self._state_reader = _state_reader.StateReader(kernel, self._replica)
        self._refusals = _refusals.Refusals(kernel, self._replica)
        self._sync_waiters: list[tuple[int, defer.Deferred[None]]] = []

    def start(self) -> None:
        """Start to follow the table."""
        self.kernel.subscribe(config_messages.ConfigChanged, self)
        self.kernel.subscribe(messages.OwnershipChanged, self)
        self.kernel.subscribe(messages.OwnerLoadReported, self)
        self._run_replica()
        self._run_refusal_sweeps()

    def _run_refusal_sweeps(self) -> None:
        """Remove old refusals; start again after an unexpected error."""

        def on_failed(reason: Any) -> None:
            self._log.error(
                'Sweep of refusals failed', reason=reason.getTraceback()
            )
            self._run_refusal_sweeps()

        defer.ensureDeferred(self._sweep_refusals()).addErrback(on_failed)

    def _run_replica(self) -> None:
        """Follow the table; start again after an unexpected error."""

        def on_failed(reason: Any) -> None:
            self._log.error(
                'Following the table failed', reason=reason.getTraceback()
            )
            self.kernel.clock.call_later(const.RESTART_MS, self._run_replica)

        defer.ensureDeferred(self._follow()).addErrback(on_failed)

    # Following the table.

    async def _follow(self) -> None:
        """Read the table, then apply its changes until the task stops."""
        rng = random.Random(f'{self.kernel.incarnation} {const.DOMAIN}')
        retries = backoff.ExponentialBackoff(const.RETRY_MS, rng=rng)
        while not self.is_stopped:
            try:
                if self._cursor is None:
                    await self._read_all()
                else:
                    await self._read_changes(self._cursor)
                retries.reset()
            except store.HistoryLostError as exc:
                self._log.warning(
                    'Change history lost, reading the table again',
                    why=str(exc),
                )
                self._cursor = None
            except core.OriolestandError as exc:
                self._on_read_failed(exc)
                await self.kernel.sleep(retries.next_delay_ms())

    async def _read_all(self) -> None:
        """Read all parts and replace the contents of the replica.

        Parts are read one after the other, so the changes are followed from
        the oldest version among the responses.
        """
        sent_ms = self.kernel.clock.now()
        rows: list[store.Row] = []
        oldest_version: int | None = None
        for part in layout.all_parts():
            start = ''
            while True:
                page: store.RowPage = await self.kernel.ask(
                    store.SERVICE,
                    store.ReadRows(table=layout.TABLE, part=part, start=start),
                )
                rows += page.rows
                if oldest_version is None:
                    oldest_version = page.version
                oldest_version = min(oldest_version, page.version)
                if not page.has_more or not page.rows:
                    break
                start = page.rows[-1].key + '\0'
        assert oldest_version is not None
        if oldest_version < self._replica.version:
            raise store.StoreError(
                'the store returned rows older than the replica'
            )
        self._publish(self._replica.replace(rows))
        self._set_synced_version(oldest_version, sent_ms)

    async def _read_changes(self, cursor: int) -> None:
        """Wait for changes and apply them."""
        sent_ms = self.kernel.clock.now()
        page: store.RowPage = await self.kernel.ask(
            store.SERVICE,
            store.FollowRows(
                table=layout.TABLE, after=cursor, wait_ms=const.FOLLOW_WAIT_MS
            ),
        )
        self._count_rows(page.rows)
        for row in page.rows:
            self._publish(self._replica.apply(row))
        self._set_synced_version(max(cursor, page.version), sent_ms)
        if page.rows and self._view_age.pause_ms:
            await self.kernel.sleep(self._view_age.pause_ms)

    def _count_rows(self, rows: Sequence[store.Row]) -> None:
        """Count the bytes of the received rows by kind."""
        sizes: collections.Counter[str] = collections.Counter()
        for row in rows:
            sizes[row.key.partition('/')[0]] += len(row.value or b'')
        for kind, size in sizes.items():
            self.kernel.post(
                telemetry.SERVICE,
                telemetry.Count(name='replica_bytes', label=kind, amount=size),
            )

    def _set_synced_version(self, version: int, known_ms: int) -> None:
        """Set the version up to which the replica is complete.

        It has all changes that were stored before ``known_ms``.
        """
        self._observe_sync()
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self._log.info('Store is reached again', version=version)
        self._cursor = version
        self._replica.version = version
        if self._owner_view is not None:
            self._owner_view.publish_policies()
        self.kernel.publish(
            messages.ReplicaSyncAttempted(is_reachable=True, is_complete=True)
        )
        for min_version, fut in list(self._sync_waiters):
            if min_version <= version:
                self._sync_waiters.remove((min_version, fut))
                fut.callback(None)
        self._view_age.on_read(known_ms)

    def _observe_sync(self) -> None:
        """Record the time since the replica was last in sync."""
        now = self.kernel.clock.now()
        if self._synced_ms is not None:
            self.kernel.post(
                telemetry.SERVICE,
                telemetry.Observe(
                    name='replica_sync_interval',
                    label='',
                    latency_ms=now - self._synced_ms,
                ),
            )
        self._synced_ms = now

    def _on_read_failed(self, exc: core.OriolestandError) -> None:
        """Publish a failed sync; log the first of consecutive failures."""
        if not self._is_store_unreachable:
            self._is_store_unreachable = True
            self._log.warning(
                'Store cannot be followed',
                why=str(exc),
                version=self._replica.version,
            )
        self.kernel.publish(
            messages.ReplicaSyncAttempted(
                is_reachable=False, is_complete=self._cursor is not None
            )
        )

    def _publish(self, events: list[object]) -> None:
        """Publish events in order."""
        for event in events:
            self.kernel.publish(event)

    async def _sweep_refusals(self) -> None:
        """Remove old refusals as long as this daemon owns the cell."""
        while not self.is_stopped:
            await self.kernel.sleep(const.REFUSAL_SWEEP_MS)
            if self._owner_view is not None:
                await self._refusals.sweep(self._retention_ms)

    # Jobs for the owner.

    @core.handles(messages.OwnershipChanged)
    def _on_ownership(self, msg: messages.OwnershipChanged) -> None:
        """Stop to follow specifications when the ownership ends."""
        if not msg.is_owner:
            self._close_owner_view()

    def _close_owner_view(self) -> None:
        """Stop to follow specifications."""
        if self._owner_view is not None:
            self._owner_view.close()
            self._owner_view = None
        waiters, self._sync_waiters = self._sync_waiters, []
        for _, fut in waiters:
            fut.errback(
                messages.LoadEndedError('the claim was given up before')
            )

    @core.handles(messages.GetSnapshot)
    def _on_snapshot(
        self, msg: messages.GetSnapshot
    ) -> 'defer.Deferred[messages.Snapshot]':
        """Load all jobs for a new owner."""
        return defer.ensureDeferred(self._load_snapshot(msg.version))

    async def _load_snapshot(self, version: int) -> messages.Snapshot:
        """Return a snapshot and start to follow specifications."""
        self._close_owner_view()
        view = _owner_view.OwnerView(self.kernel, self._replica, version)
        self._owner_view = view
        await self._wait_for_sync(version)
        snapshot = await view.load()
        self._run_owner_view(view)
        return snapshot

    def _run_owner_view(self, view: _owner_view.OwnerView) -> None:
        """Follow new jobs; start again after an unexpected error."""

        def on_failed(reason: Any) -> None:
            self._log.error(
                'Following new jobs failed', reason=reason.getTraceback()
            )
            self.kernel.clock.call_later(
                const.RESTART_MS, lambda: self._run_owner_view(view)
            )

        defer.ensureDeferred(view.follow()).addErrback(on_failed)

    def _wait_for_sync(self, version: int) -> 'defer.Deferred[None]':
        """Return a Deferred that fires once the replica has a version."""
        fut: defer.Deferred[None] = defer.Deferred()
        if self._cursor is not None and version <= self._cursor:
            fut.callback(None)
        else:
            self._sync_waiters.append((version, fut))
            self.kernel.clock.call_later(
                const.LOAD_TIMEOUT_MS,
                lambda: self._end_sync_wait(version, fut),
            )
        return fut

    def _end_sync_wait(
        self, version: int, fut: 'defer.Deferred[None]'
    ) -> None:
        """Fail a wait for a version of the replica unless it is over."""
        if (version, fut) in self._sync_waiters:
            self._sync_waiters.remove((version, fut))
            fut.errback(
                messages.LoadEndedError(
                    'the replica did not reach the version of the claim'
                )
            )

    # Requests of callers.

    @core.handles(config_messages.ConfigChanged)
    def _on_config(self, msg: config_messages.ConfigChanged) -> None:
        """Note which routes are configured."""
        self._state_reader.route_names = frozenset(
            route.policy.name for route in msg.config.routes
        )

    @core.handles(messages.OwnerLoadReported)
    def _on_owner_load(self, msg: messages.OwnerLoadReported) -> None:
        """Note whether the owner can take more jobs."""
        now = self.kernel.clock.now()
        self._admission.set_full_pools(msg.full_pools)
        if self._admission.on_report(msg.delay_ms, now):
            self._log.warning(
                'Admission of jobs changed',
                is_closed=self._admission.is_closed(now),
                owner_delay_ms=msg.delay_ms,
            )

    async def _check_admission(self, msg: messages.SubmitJob) -> bool:
        """Return whether a job may be stored; False if it is stored already.

        Raises OwnerOverloadedError or PoolFullError. An earlier request may
        have stored the job, or may yet do so, so the refusal is stored in its
        place; JobInDoubtError is raised if that is not possible.
        """
        exc = self._admission_error(msg)
        if exc is None:
            return True
        if not await self._refusals.refuse(msg.spec.id, msg.deadline_ms):
            return False
        raise exc

    def _admission_error(
        self, msg: messages.SubmitJob
    ) -> messages.OwnerOverloadedError | None:
        """Return why a job is refused, or None if it may be stored."""
        now = self.kernel.clock.now()
        if self._admission.is_closed(now):
            return messages.OwnerOverloadedError(
                'the owner of the cell is overloaded',
                job=msg.spec.id,
                retry_after_s=self._admission.retry_after_s,
            )
        if not scheduling.counts_for_pool(msg.spec):
            return None
        retry_after_s = self._admission.full_pool_retry_s(
            msg.route.policy.pool, msg.spec.id, now
        )
        if not retry_after_s:
            return None
        return messages.PoolFullError(
            'the pool has more filling jobs than it can run in turn',
            job=msg.spec.id,
            retry_after_s=retry_after_s,
        )

    @core.handles(messages.SubmitJob)
    def _on_submit(self, msg: messages.SubmitJob) -> 'defer.Deferred[bool]':
        """Store a job."""
        return defer.ensureDeferred(self._submit(msg))

    async def _submit(self, msg: messages.SubmitJob) -> bool:
        """Insert the row of a job unless it exists."""
        job = msg.spec.id
        started_ms = self.kernel.clock.now()
        if self._replica.find(job, msg.route) is not None:
            self._log.info(
                'Job is already stored', job=job, route=msg.spec.route
            )
            return False
        # A refusal that is received later may be that of a later request.
        refusal = self._replica.refusal_of(job)
        try:
            may_store = await self._check_admission(msg)
            is_new = may_store and await self._insert(msg, refusal)
        except core.OriolestandError as exc:
            self._observe_write('intake', exc.code, started_ms)
            self._log.warning(
                'Job not stored',
                job=job,
                route=msg.spec.route,
                code=exc.code,
                verdict=exc.verdict.value,
                why=str(exc),
                store_lost=self._is_store_unreachable,
            )
            raise
        self._observe_write(
            'intake', 'stored' if is_new else 'repeat', started_ms
        )
        self._log.info(
            'Job stored',
            job=job,
            route=msg.spec.route,
            is_new=is_new,
            tasks=sum(step.count for step in msg.spec.steps),
            took_ms=self.kernel.clock.now() - started_ms,
        )
        return is_new

    async def _insert(
        self, msg: messages.SubmitJob, refusal: models.Refusal | None
    ) -> bool:
        """Insert the rows of a job; return False if they already existed.

        :param refusal: what the row of the job stood for when the request
            arrived. It is replaced, but none that was stored later.
        """
        job = msg.spec.id
        body = models.encode_spec(msg.spec)
        if len(body) > self._row_bytes:
            raise scheduling.InvalidJobError(
                'the job is larger than a row of the store',
                job=job,
                bytes=len(body),
                limit=self._row_bytes,
            )
        if self._is_store_unreachable:
            # The caller can retry at once, at a daemon that reaches the store.
            raise messages.JobInDoubtError('the store is out of reach')
        entry = store.Put(
            key=layout.JOB_PREFIX + job,
            value=models.encode_row(msg.spec, msg.route),
        )
        spec = store.Put(
            key=layout.SPEC_PREFIX + job, value=body, table=layout.SPEC_TABLE
        )
        if refusal is not None and refusal.is_withdrawn:
            raise messages.JobRefusedError('the id was cancelled', job=job)
        result = await _commits.insert_job_rows(
            self.kernel,
            layout.TABLE,
            layout.part_for_job(job),
            (entry, spec),
            msg.deadline_ms - const.DEADLINE_MARGIN_MS,
            refusal.version if refusal is not None else 0,
        )
        if not result.is_applied and not _refusals.has_job(result):
            raise messages.JobRefusedError(
                'the id was refused after the request', job=job
            )
        return result.is_applied

    @core.handles(messages.GetState)
    def _on_get(
        self, msg: messages.GetState
    ) -> 'messages.JobState | defer.Deferred[Any]':
        """Return the state of a job from the replica or from the store."""
        entry = self._replica.find(msg.job, msg.route)
        if entry is not None:
            state = self._replica.state_of(entry)
            if state.is_final or self._view_age.is_recent:
                return state
        return defer.ensureDeferred(
            self._state_reader.read(msg.job, msg.route)
        )

    @core.handles(messages.FindJob)
    def _on_find(self, msg: messages.FindJob) -> 'bool | defer.Deferred[bool]':
        """Return whether a job exists, by a view of any age if it does."""
        if self._replica.find(msg.job, msg.route) is not None:
            return True
        return defer.ensureDeferred(
            self._state_reader.is_stored(msg.job, msg.route)
        )

    @core.handles(messages.CancelJob)
    def _on_cancel(self, msg: messages.CancelJob) -> 'defer.Deferred[bool]':
        """Cancel a job."""
        return defer.ensureDeferred(self._cancel(msg))

    async def _cancel(self, msg: messages.CancelJob) -> bool:
        """Store the cancellation of a job; return whether the job exists."""
        started_ms = self.kernel.clock.now()
        entry = self._replica.find(msg.job, msg.route)
        if entry is None:
            if not await self._state_reader.is_stored(msg.job, msg.route):
                # If it is stored now, it may be one of another path.
                if await self._withdraw(msg):
                    return False
                if not await self._state_reader.is_stored(msg.job, msg.route):
                    return False
        elif entry.is_cancelled or entry.outcome is not None:
            self._log.info(
                'Cancellation has no effect',
                job=msg.job,
                state=self._replica.state_of(entry).value,
            )
            return True
        try:
            await _commits.insert_job_rows(
                self.kernel,
                layout.TABLE,
                layout.part_for_job(msg.job),
                (store.Put(key=layout.CANCEL_PREFIX + msg.job, value=b'{}'),),
                msg.deadline_ms - const.DEADLINE_MARGIN_MS,
            )
        except core.OriolestandError as exc:
            self._observe_write('cancel', exc.code, started_ms)
            self._log.warning(
                'Cancellation not stored', job=msg.job, why=str(exc)
            )
            raise
        self._observe_write('cancel', 'stored', started_ms)
        self._log.info('Cancellation stored', job=msg.job)
        return True

    async def _withdraw(self, msg: messages.CancelJob) -> bool:
        """Store that an id has no job; return False if it has one now.

        A submission that is on its way cannot store the job afterwards.
        """
        return await self._refusals.refuse(
            msg.job, msg.deadline_ms, is_withdrawal=True
        )

    @core.handles(messages.CountWaiting)
    def _on_count(self, msg: messages.CountWaiting) -> 'defer.Deferred[int]':
        """Count the jobs of a route that have not started."""
        return defer.ensureDeferred(self._count_waiting(msg))

    async def _count_waiting(self, msg: messages.CountWaiting) -> int:
        """Return the number of such jobs, according to a recent view."""
        await self._view_age.wait_until_recent(
            msg.deadline_ms - const.DEADLINE_MARGIN_MS
        )
        return self._replica.count_waiting(msg.route)

    def _observe_write(self, name: str, kind: str, started_ms: int) -> None:
        """Record the outcome and latency of a caller's write."""
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.Observe(
                name=name,
                label=kind,
                latency_ms=self.kernel.clock.now() - started_ms,
            ),
        )
