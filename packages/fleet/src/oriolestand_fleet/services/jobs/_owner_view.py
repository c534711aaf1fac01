"""Read what only the owner of the cell needs: job specifications, progress."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import random

import oriolestand_core as core
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import _part_reader
from oriolestand_fleet.services.jobs import _replica
from oriolestand_fleet.services.jobs import const
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import backoff
from oriolestand_policy import scheduling


class OwnerView:
    """Load all jobs for a new owner, then follow new jobs until closed.

    Daemons that do not own the cell hold no specifications, so that neither
    their memory nor the links to the store carry them. Jobs that were stored
    after a newer claim belong to another owner and are not published.

    :param claim_version: version of the claim of the owner.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        replica: _replica.Replica,
        claim_version: int,
    ) -> None:
        self._kernel = kernel
        self._replica = replica
        self._log = core.get_logger(const.DOMAIN)
        self._claim_version = claim_version
        self._cursor = 0
        self._retries = backoff.ExponentialBackoff(
            const.RETRY_MS,
            rng=random.Random(f'{kernel.incarnation} {layout.SPEC_TABLE}'),
        )
        self.is_closed = False
        self._withheld_ids: set[str] = set()
        # Jobs whose specification was received before their row.
        self._rowless_ids: set[str] = set()
        self._has_time_limit = False
        self._page_ms = kernel.clock.now()

    def close(self) -> None:
        """Stop to follow new jobs."""
        self.is_closed = True

    async def load(self) -> messages.Snapshot:
        """Return all open jobs and the rows of the former owner.

        The replica must have reached the version of the claim. Failed reads
        are repeated until they succeed or the view is closed.

        :raises LoadEndedError: if the view is closed before, or if no page
            arrives for LOAD_TIMEOUT_MS. A read in progress is not cut off.
        """
        self._page_ms = self._kernel.clock.now()
        self._has_time_limit = True
        specs, version = await self._read_specs()
        owner_part = self._new_reader(layout.OWNER_TABLE, layout.CELL_PART)
        await self._read_parts([owner_part])
        rows = owner_part.rows
        by_key = {row.key: row for row in rows}
        legacy = self._replica.cell.get(layout.FLEET_KEY)
        if legacy is not None:
            by_key[layout.FLEET_KEY] = legacy
        self._has_time_limit = False
        self._cursor = version
        progress = self._decode_progress(rows)
        ended = _ended_jobs(progress)
        self._add_legacy_progress(specs, progress)
        found = tuple(
            self._to_job(
                spec,
                by_key.get(layout.PROGRESS_PREFIX + spec.id),
                progress.get(spec.id),
            )
            for spec in self._decode_specs(specs)
            if spec.id not in self._withheld_ids
        )
        return messages.Snapshot(
            jobs=found,
            ended=ended,
            rows={
                key: row
                for key, row in by_key.items()
                if not key.startswith(layout.PROGRESS_PREFIX)
            },
            version=version,
            unreadable_routes=self._routes_of(
                specs.keys() - {job.id for job in found}
            ),
        )

    def _routes_of(self, jobs: Iterable[str]) -> frozenset[str]:
        """Return the names of the routes in the rows of jobs."""
        entries = (self._replica.entries.get(job) for job in jobs)
        return frozenset(
            entry.route
            for entry in entries
            if entry is not None and entry.route is not None
        )

    async def _read_specs(self) -> tuple[dict[str, bytes], int]:
        """Return the specifications by job id, and the oldest version read."""
        # Rows of earlier versions held the specification in the job row.
        specs = {
            entry.id: entry.spec
            for entry in self._replica.entries.values()
            if entry.spec is not None
        }
        parts = [
            self._new_reader(layout.SPEC_TABLE, part)
            for part in layout.job_parts()
        ]
        await self._read_parts(parts)
        for part in parts:
            for row in part.rows:
                if row.value is not None:
                    specs[_job_id(row)] = row.value
        return specs, min(part.version or 0 for part in parts)

    def _new_reader(self, table: str, part: str) -> _part_reader.PartReader:
        """Return a reader of a part."""
        return _part_reader.PartReader(
            self._kernel, table, part, self._on_page
        )

    def _on_page(self) -> None:
        """Record that a page has arrived."""
        self._page_ms = self._kernel.clock.now()

    def _check_progress(self) -> None:
        """Raise LoadEndedError if no page has arrived for too long."""
        silent_ms = self._kernel.clock.now() - self._page_ms
        if self._has_time_limit and silent_ms >= const.LOAD_TIMEOUT_MS:
            raise messages.LoadEndedError(
                'no page of the cell arrived in time', silent_ms=silent_ms
            )

    async def _read_parts(
        self, readers: Sequence[_part_reader.PartReader]
    ) -> None:
        """Read parts; repeat what failed until complete or closed."""
        while True:
            try:
                await _part_reader.read_missing(
                    readers, lambda: self.is_closed
                )
            except messages.LoadEndedError:
                raise
            except core.OriolestandError as exc:
                self._log.warning('Jobs cannot be loaded', why=str(exc))
                self._check_progress()
                await self._kernel.sleep(self._retries.next_delay_ms())
                continue
            self._retries.reset()
            return

    def _decode_specs(
        self, specs: dict[str, bytes]
    ) -> Iterator[scheduling.JobSpec]:
        """Yield the decoded specifications; skip malformed rows."""
        for job, value in specs.items():
            try:
                spec = models.decode_spec(value)
                if spec.id != job:
                    raise _rows.MalformedRowError(
                        'the row names another job', id=spec.id
                    )
                yield spec
            except _rows.MalformedRowError as exc:
                # One such row must not keep all other jobs from running.
                self._log.error(
                    'Malformed specification ignored', job=job, why=str(exc)
                )

    def _decode_progress(
        self, rows: Iterable[store.Row]
    ) -> dict[str, scheduling.Progress]:
        """Return the progress by job id; withhold jobs with malformed rows."""
        found = {}
        for row in rows:
            if not row.key.startswith(layout.PROGRESS_PREFIX) or not row.value:
                continue
            job = row.key.removeprefix(layout.PROGRESS_PREFIX)
            try:
                found[job] = models.decode_progress(row.value)
            except _rows.MalformedRowError as exc:
                self._withhold(job, row.key, str(exc))
        return found

    def _add_legacy_progress(
        self, jobs: Iterable[str], progress: dict[str, scheduling.Progress]
    ) -> None:
        """Add what earlier versions stored in the state rows of jobs."""
        for job in jobs:
            entry = self._replica.entries.get(job)
            if entry is None or job in progress or job in self._withheld_ids:
                continue
            key = layout.RECORD_PREFIX + job
            if entry.is_record_unreadable:
                self._withhold(job, key, 'the state row is malformed')
            elif entry.record is not None:
                try:
                    progress[job] = models.decode_progress(entry.record)
                except _rows.MalformedRowError as exc:
                    self._withhold(job, key, str(exc))

    def _withhold(self, job: str, key: str, why: str) -> None:
        """Keep a job from being started, as its tasks may be done."""
        self._withheld_ids.add(job)
        self._log.error(
            'Malformed progress, job is not started', key=key, why=why
        )

    def _to_job(
        self,
        spec: scheduling.JobSpec,
        row: store.Row | None,
        progress: scheduling.Progress | None,
    ) -> messages.StoredJob:
        """Return a job with its stored progress."""
        entry = self._replica.entries.get(spec.id)
        return messages.StoredJob(
            id=spec.id,
            spec=spec,
            policy=self._policy_of(spec.id),
            is_policy_awaited=spec.id in self._rowless_ids,
            progress=progress,
            progress_version=row.version if row is not None else 0,
            is_cancelled=entry is not None and entry.is_cancelled,
        )

    async def follow(self) -> None:
        """Publish new jobs until closed."""
        while not self.is_closed:
            try:
                await self._read_next()
            except messages.LoadEndedError:
                return
            except core.OriolestandError as exc:
                self._log.warning('New jobs cannot be read', why=str(exc))
                await self._kernel.sleep(self._retries.next_delay_ms())
                continue
            self._retries.reset()

    async def _read_next(self) -> None:
        """Publish new jobs; read all jobs again if the history is lost."""
        try:
            await self._follow_once()
        except store.HistoryLostError as exc:
            self._log.warning(
                'Change history lost, reading all jobs again', why=str(exc)
            )
            await self._read_again()

    async def _follow_once(self) -> None:
        """Wait for new jobs and publish them."""
        page: store.RowPage = await self._kernel.ask(
            store.SERVICE,
            store.FollowRows(
                table=layout.SPEC_TABLE,
                after=self._cursor,
                wait_ms=const.FOLLOW_WAIT_MS,
            ),
        )
        if self.is_closed:
            return
        specs: dict[str, bytes] = {}
        for row in page.rows:
            if row.key == layout.OWNER_KEY:
                self._check_claim(row)
                if self.is_closed:
                    break
            elif row.value is not None:
                specs[_job_id(row)] = row.value
        self._publish(specs)
        self._cursor = max(self._cursor, page.version)
        if page.rows:
            await self._kernel.sleep(const.OWNER_PAUSE_MS)

    def _check_claim(self, row: store.Row) -> None:
        """Publish a newer claim, and follow no jobs after it."""
        if row.version <= self._claim_version:
            return
        self._log.info(
            'Newer claim received with new jobs', version=row.version
        )
        self._kernel.publish(messages.CellRowChanged(row=row))
        self.close()

    async def _read_again(self) -> None:
        """Read all specifications and publish them; known jobs are ignored."""
        specs, version = await self._read_specs()
        # The claim is read last: without a newer one, none came before a job.
        claims = self._new_reader(layout.SPEC_TABLE, layout.CELL_PART)
        await self._read_parts([claims])
        for row in claims.rows:
            self._check_claim(row)
        if self.is_closed:
            return
        self._publish(specs)
        self._cursor = version

    def _policy_of(self, job: str) -> scheduling.RoutePolicy | None:
        """Return the policy in the row of a job, or None if there is none.

        If the row is missing, its policy, if any, is published once received.
        """
        entry = self._replica.entries.get(job)
        if entry is None or not entry.is_stored:
            self._rowless_ids.add(job)
            return None
        return entry.policy

    def publish_policies(self) -> None:
        """Publish policies that were missing when their job was passed on.

        The rows and the specifications of jobs come on feeds of their own.
        """
        for job in list(self._rowless_ids):
            entry = self._replica.entries.get(job)
            if entry is None or not entry.is_stored:
                continue
            self._rowless_ids.remove(job)
            self._kernel.publish(
                messages.JobPolicyReceived(id=job, policy=entry.policy)
            )

    def _publish(self, specs: dict[str, bytes]) -> None:
        """Publish jobs; a cancellation may have been received before one."""
        for spec in self._decode_specs(specs):
            if spec.id in self._withheld_ids:
                continue
            entry = self._replica.entries.get(spec.id)
            stored = messages.StoredJob(
                id=spec.id,
                spec=spec,
                policy=self._policy_of(spec.id),
                is_policy_awaited=spec.id in self._rowless_ids,
                is_cancelled=entry is not None and entry.is_cancelled,
            )
            self._kernel.publish(messages.JobAdded(job=stored))


def _ended_jobs(progress: dict[str, scheduling.Progress]) -> dict[str, int]:
    """Return the Unix times in ms at which jobs ended, by job id."""
    return {
        job: int(values.get('ended', 0))
        for job, values in progress.items()
        if values.get('outcome')
    }


def _job_id(row: store.Row) -> str:
    """Return the id of the job that a specification row belongs to."""
    return row.key.removeprefix(layout.SPEC_PREFIX)
