"""Store refusals, so that no earlier submission of the id is stored later."""

import collections

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import _replica
from oriolestand_fleet.services.jobs import const
from oriolestand_fleet.services.jobs import models


class Refusals:
    """Write rows of refusals in the place of the rows of jobs.

    A submission expects the version of the row that it found when it arrived.
    Each refusal changes that version, so that no submission before it can be
    applied after it, however late.
    """

    def __init__(self, kernel: core.Kernel, replica: _replica.Replica) -> None:
        self._kernel = kernel
        self._replica = replica
        self._log = core.get_logger(const.DOMAIN)

    async def refuse(
        self, job: str, deadline_ms: int, *, is_withdrawal: bool = False
    ) -> bool:
        """Store that an id has no job; return False if it has one.

        :param is_withdrawal: whether no later submission may use the id.
        :raises JobInDoubtError: if the store did not confirm it in time.
        """
        known = self._replica.refusal_of(job)
        while known is None or not known.is_withdrawn:
            version = known.version if known is not None else 0
            result = await self._write(
                job, version, deadline_ms, is_withdrawal=is_withdrawal
            )
            if result.is_applied:
                self._log.info(
                    'Refusal stored', job=job, is_withdrawal=is_withdrawal
                )
                return True
            entry = _decode(job, result)
            if entry.is_stored:
                return False
            known = entry.refusal
        return True

    async def sweep(self, retention_ms: int) -> None:
        """Remove refusals that no submission can be older than.

        :param retention_ms: how long the states of jobs are kept.
        """
        limit_ms = self._kernel.clock.wall() - retention_ms
        by_part = collections.defaultdict(list)
        for job, refusal in self._replica.refusals():
            if refusal.wall_ms < limit_ms:
                by_part[layout.part_for_job(job)].append((job, refusal))
        for part, expired in by_part.items():
            for start in range(0, len(expired), const.REFUSAL_BATCH):
                batch = expired[start : start + const.REFUSAL_BATCH]
                await self._remove(part, batch)

    async def _remove(
        self, part: str, batch: list[tuple[str, models.Refusal]]
    ) -> None:
        """Remove rows of refusals unless one of them has changed."""
        keys = [layout.JOB_PREFIX + job for job, _ in batch]
        message = store.CommitRows(
            table=layout.TABLE,
            part=part,
            checks=tuple(
                store.Check(key=key, version=refusal.version)
                for key, (_, refusal) in zip(keys, batch, strict=True)
            ),
            puts=tuple(store.Put(key=key, value=None) for key in keys),
        )
        outcome = await _commits.try_commit(self._kernel, message)
        if outcome.result is None:
            self._log.warning(
                'Refusals not removed', rows=len(batch), why=outcome.error
            )

    async def _write(
        self, job: str, version: int, deadline_ms: int, *, is_withdrawal: bool
    ) -> store.CommitResult:
        """Write the row of a refusal if the present row has a version."""
        value = models.encode_refusal(
            self._kernel.clock.wall(), is_withdrawn=is_withdrawal
        )
        return await _commits.insert_job_rows(
            self._kernel,
            layout.TABLE,
            layout.part_for_job(job),
            (store.Put(key=layout.JOB_PREFIX + job, value=value),),
            deadline_ms - const.DEADLINE_MARGIN_MS,
            version,
        )


def has_job(result: store.CommitResult) -> bool:
    """Return whether the present row in a result is that of a job."""
    return any(
        _decode(row.key, result).is_stored
        for row in result.current
        if row.value is not None
    )


def _decode(job: str, result: store.CommitResult) -> models.Entry:
    """Decode the present row in the result of a commit.

    :raises JobInDoubtError: if it is malformed.
    """
    entry = models.Entry(id=job)
    for row in result.current:
        if row.value is None:
            continue
        try:
            entry.set_row(row.value, row.version)
        except ValueError as exc:
            raise messages.JobInDoubtError(
                'the row of the job is malformed', job=job
            ) from exc
    return entry
