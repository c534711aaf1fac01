"""Accept jobs, answer for their state and follow what others write."""

import json
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet import settings
from oriolestand_fleet.messages import jobs as contracts
from oriolestand_fleet.messages import store
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.jobs import _replica
from oriolestand_fleet.services.jobs import const
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import scheduling


class JobsTask(core.Task):
    """Own the replica of all jobs and the writes of callers."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._row_bytes = cfg.limits.row_bytes
        self._log = core.get_logger(const.DOMAIN)
        self._replica = _replica.Replica()
        self._cursor: int | None = None
        self._is_lost = False
        self._is_owner = False
        self._snapshots: list[tuple[int, defer.Deferred[Any]]] = []

    def start(self) -> None:
        """Begin to follow the table."""
        self.kernel.subscribe(contracts.OwnershipChanged, self)
        defer.ensureDeferred(self._follow())

    # Following the table.

    async def _follow(self) -> None:
        """Read the table, then wait for changes, for ever."""
        while not self.is_stopped:
            try:
                if self._cursor is None:
                    await self._read_all()
                else:
                    await self._read_changes(self._cursor)
            except store.HistoryLostError as exc:
                self._log.warning('Changes lost, reading again', why=str(exc))
                self._cursor = None
            except core.OriolestandError as exc:
                self._note_lost(exc)
                await self.kernel.sleep(const.RETRY_MS)

    async def _read_all(self) -> None:
        """Read all parts; changes from the oldest reading on follow."""
        rows: list[store.Row] = []
        oldest: int | None = None
        for part in layout.all_parts():
            start = ''
            while True:
                page: store.RowPage = await self.kernel.ask(
                    store.SERVICE,
                    store.ReadRows(table=layout.TABLE, part=part, start=start),
                )
                rows += page.rows
                if oldest is None:
                    oldest = page.version
                oldest = min(oldest, page.version)
                if not page.has_more or not page.rows:
                    break
                start = page.rows[-1].key + '\0'
        assert oldest is not None
        if oldest < self._replica.version:
            raise store.StoreError('the reading is older than what is known')
        self._publish(self._replica.replace(rows))
        self._move_to(oldest)

    async def _read_changes(self, cursor: int) -> None:
        """Wait for changes and take them over."""
        page: store.RowPage = await self.kernel.ask(
            store.SERVICE,
            store.FollowRows(
                table=layout.TABLE, after=cursor, wait_ms=const.FOLLOW_WAIT_MS
            ),
        )
        for row in page.rows:
            self._publish(self._replica.apply(row))
        self._move_to(max(cursor, page.version))
        if page.rows:
            await self.kernel.sleep(
                const.OWNER_PAUSE_MS
                if self._is_owner
                else const.FOLLOW_PAUSE_MS
            )

    def _move_to(self, version: int) -> None:
        """Note up to where the replica is complete."""
        if self._is_lost:
            self._is_lost = False
            self._log.info('Store is reached again', version=version)
        self._cursor = version
        self._replica.version = version
        self.kernel.publish(
            contracts.ReplicaSynced(is_reachable=True, is_complete=True)
        )
        for wanted, fut in list(self._snapshots):
            if wanted <= version:
                self._snapshots.remove((wanted, fut))
                fut.callback(self._replica.snapshot())

    def _note_lost(self, exc: core.OriolestandError) -> None:
        """Tell of a failure to follow; log the first of a row."""
        if not self._is_lost:
            self._is_lost = True
            self._log.warning(
                'Store cannot be followed',
                why=str(exc),
                version=self._replica.version,
            )
        self.kernel.publish(
            contracts.ReplicaSynced(
                is_reachable=False, is_complete=self._cursor is not None
            )
        )

    def _publish(self, events: list[object]) -> None:
        """Publish events in order."""
        for event in events:
            self.kernel.publish(event)

    @core.handles(contracts.OwnershipChanged)
    def _on_ownership(self, msg: contracts.OwnershipChanged) -> None:
        """Follow the table more closely while the daemon owns the cell."""
        self._is_owner = msg.is_owner

    @core.handles(contracts.TakeSnapshot)
    def _on_snapshot(
        self, msg: contracts.TakeSnapshot
    ) -> 'contracts.Snapshot | defer.Deferred[Any]':
        """Return all jobs once the replica is new enough."""
        if self._cursor is not None and msg.version <= self._cursor:
            return self._replica.snapshot()
        fut: defer.Deferred[Any] = defer.Deferred()
        self._snapshots.append((msg.version, fut))
        return fut

    # Requests of callers.

    @core.handles(contracts.SubmitJob)
    def _on_submit(self, msg: contracts.SubmitJob) -> 'defer.Deferred[bool]':
        """Store a job."""
        return defer.ensureDeferred(self._submit(msg))

    async def _submit(self, msg: contracts.SubmitJob) -> bool:
        """Insert the row of a job unless it is there already."""
        job = msg.spec.id
        began = self.kernel.clock.now()
        if self._replica.find(job, msg.spec.route) is not None:
            self._log.info('Job is known', job=job, route=msg.spec.route)
            return False
        body = json.dumps(
            scheduling.job_to_plain(msg.spec), separators=(',', ':')
        ).encode()
        try:
            if len(body) > self._row_bytes:
                raise scheduling.BadJobError(
                    'the job does not fit in a row',
                    job=job,
                    bytes=len(body),
                    limit=self._row_bytes,
                )
            if self._is_lost:
                # Nothing is sent, so that the refusal is certain and the
                # caller can turn to a daemon that reaches the store.
                raise contracts.JobNotStoredError('the store is out of reach')
            is_new = await _commits.insert(
                self.kernel,
                layout.TABLE,
                layout.part_of(job),
                store.Put(key=layout.JOB_PREFIX + job, value=body),
                msg.deadline_ms - const.DEADLINE_MARGIN_MS,
            )
        except core.OriolestandError as exc:
            self._count('intake', exc.code, began)
            self._log.warning(
                'Job not stored',
                job=job,
                route=msg.spec.route,
                code=exc.code,
                verdict=exc.verdict.value,
                why=str(exc),
                store_lost=self._is_lost,
            )
            raise
        self._count('intake', 'stored' if is_new else 'repeat', began)
        self._log.info(
            'Job stored',
            job=job,
            route=msg.spec.route,
            is_new=is_new,
            tasks=sum(step.count for step in msg.spec.steps),
            took_ms=self.kernel.clock.now() - began,
        )
        return is_new

    @core.handles(contracts.GetState)
    def _on_get(
        self, msg: contracts.GetState
    ) -> 'contracts.JobState | defer.Deferred[Any]':
        """Return the state of a job from the replica or the store."""
        entry = self._replica.find(msg.job, msg.route)
        if entry is not None:
            return entry.state
        return defer.ensureDeferred(self._look_up(msg.job, msg.route))

    async def _look_up(
        self, job: str, route: str
    ) -> contracts.JobState | None:
        """Read the row of a job that the replica lacks."""
        key = layout.JOB_PREFIX + job
        try:
            page: store.RowPage = await self.kernel.ask(
                store.SERVICE,
                store.ReadRows(
                    table=layout.TABLE,
                    part=layout.part_of(job),
                    start=key,
                    end=key + '\0',
                ),
            )
        except core.OriolestandError as exc:
            self._log.warning('State not known', job=job, why=str(exc))
            raise contracts.StateUnknownError(
                'the store cannot be asked', job=job
            ) from exc
        if not page.rows and page.version < self._replica.version:
            raise contracts.StateUnknownError(
                'the store gave an old reading', job=job
            )
        for row in page.rows:
            entry = models.Entry(id=job)
            if row.value is not None:
                entry.set_body(row.value)
            if entry.body is not None and entry.route == route:
                known = self._replica.find(job, route)
                return known.state if known else entry.state
        self._log.info('Job does not exist', job=job, version=page.version)
        return None

    @core.handles(contracts.CancelJob)
    def _on_cancel(self, msg: contracts.CancelJob) -> 'defer.Deferred[bool]':
        """Cancel a job."""
        return defer.ensureDeferred(self._cancel(msg))

    async def _cancel(self, msg: contracts.CancelJob) -> bool:
        """Insert the row that cancels a job that exists."""
        began = self.kernel.clock.now()
        entry = self._replica.find(msg.job, msg.route)
        if entry is None:
            state = await self._look_up(msg.job, msg.route)
            if state is None:
                return False
        elif entry.is_cancelled or entry.outcome is not None:
            self._log.info(
                'Cancel has no effect', job=msg.job, state=entry.state.value
            )
            return True
        try:
            await _commits.insert(
                self.kernel,
                layout.TABLE,
                layout.part_of(msg.job),
                store.Put(key=layout.CANCEL_PREFIX + msg.job, value=b'{}'),
                msg.deadline_ms - const.DEADLINE_MARGIN_MS,
            )
        except core.OriolestandError as exc:
            self._count('cancel', exc.code, began)
            self._log.warning('Cancel not stored', job=msg.job, why=str(exc))
            raise
        self._count('cancel', 'stored', began)
        self._log.info('Cancel stored', job=msg.job)
        return True

    @core.handles(contracts.CountWaiting)
    def _on_count(self, msg: contracts.CountWaiting) -> int:
        """Return how many jobs of a route have not begun."""
        return self._replica.count_waiting(msg.route)

    def _count(self, name: str, kind: str, began: int) -> None:
        """Record the outcome and the latency of a caller's write."""
        self.kernel.post(
            telemetry.SERVICE,
            telemetry.Observe(
                name=name,
                label=kind,
                latency_ms=self.kernel.clock.now() - began,
            ),
        )
