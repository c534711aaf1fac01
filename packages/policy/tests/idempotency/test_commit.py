"""Test that a key is claimed at most once despite failures of the store."""

import random

import pytest

import oriolestand_core as core
from oriolestand_policy import idempotency


def _claim(key: str, request_id: str, version: int = 0) -> idempotency.Claim:
    """Return a claim of a key by a request."""
    record = idempotency.KeyRecord(
        state=idempotency.KeyState.STARTED,
        request_id=request_id,
        method='POST',
        target='/',
    )
    return idempotency.Claim(key=key, version=version, record=record)


class Table:
    """In-memory table service, to which batches may also arrive late."""

    def __init__(self) -> None:
        self.rows: dict[str, idempotency.VersionedRecord] = {}

    def commit(self, batch: idempotency.WriteBatch) -> bool:
        for write in batch.writes:
            row = self.rows.get(write.key)
            if (row.version if row else 0) != write.version:
                return False
        for write in batch.writes:
            self.rows[write.key] = idempotency.VersionedRecord(
                record=write.record, version=write.version + 1
            )
        return True

    def conflicts(
        self, batch: idempotency.WriteBatch
    ) -> dict[str, idempotency.VersionedRecord]:
        return {
            w.key: self.rows[w.key]
            for w in batch.writes
            if w.key in self.rows and self.rows[w.key].version != w.version
        }


@pytest.mark.parametrize('seed', range(40))
def test_two_entry_instances_never_both_run_a_key(seed: int) -> None:
    """Lost responses, late writes and outages must not cause a second run."""
    rng = random.Random(seed)
    table = Table()
    commit_groups = [idempotency.GroupCommit(limit=3) for _ in range(2)]
    delayed: list[idempotency.WriteBatch] = []
    runs: dict[str, list[str]] = {}
    for step in range(200):
        commits = rng.choice(commit_groups)
        if rng.random() < 0.5:
            commits.add(_claim(f'k{rng.randrange(20)}', f'r{step}'))
        if delayed and rng.random() < 0.3:
            table.commit(delayed.pop(rng.randrange(len(delayed))))
        batch = commits.take()
        if batch is None:
            continue
        assert len({w.key for w in batch.writes}) == len(batch.writes)
        draw = rng.random()
        if draw < 0.15:
            commits.complete_failed(batch, nothing_written=True)
            continue
        if draw < 0.3:
            delayed.append(batch)
            commits.complete_failed(batch, nothing_written=False)
            continue
        if table.commit(batch):
            claims = commits.complete_applied(batch)
        else:
            rows = table.conflicts(batch)
            claims, _ = commits.complete_conflicted(batch, rows)
        for claim in claims:
            runs.setdefault(claim.key, []).append(claim.record.request_id)
    assert runs
    assert all(len(ids) == 1 for ids in runs.values())


def test_withdrawn_claim_blocks_its_late_write() -> None:
    """A request recorded as not run may be retried: its claim must fail."""
    table, commits = Table(), idempotency.GroupCommit()
    commits.add(_claim('k', 'r1'))
    lost_batch = commits.take()
    assert lost_batch is not None
    assert commits.complete_failed(lost_batch, nothing_written=False) == list(
        lost_batch.writes
    )
    outcome_batch = commits.take()
    assert outcome_batch is not None
    assert table.commit(outcome_batch)
    commits.complete_applied(outcome_batch)
    assert not table.commit(lost_batch)
    row = table.rows['k']
    assert row.record.state is idempotency.KeyState.DID_NOT_RUN
    decision = idempotency.decide(row, 'POST', '/', None)
    assert decision == idempotency.Run(version=1)


def _stored_row(
    state: idempotency.KeyState, digest: str = '', body: bytes | None = None
) -> idempotency.VersionedRecord:
    """Return the stored row of a first request."""
    answer = None
    if body is not None:
        answer = idempotency.StoredAnswer(status=200, headers=(), body=body)
    record = idempotency.KeyRecord(
        state=state,
        request_id='r1',
        method='POST',
        target='/a',
        digest=digest,
        answer=answer,
    )
    return idempotency.VersionedRecord(record=record, version=2)


@pytest.mark.parametrize(
    ('stored', 'verdict'),
    [
        (_stored_row(idempotency.KeyState.STARTED), core.Verdict.MAY_HAVE_RUN),
        (_stored_row(idempotency.KeyState.RAN), core.Verdict.RAN),
    ],
)
def test_repeated_request_gets_the_stored_verdict(
    stored: idempotency.VersionedRecord, verdict: core.Verdict
) -> None:
    """A repeat must not run, and must report that the first may have run."""
    decision = idempotency.decide(stored, 'POST', '/a', None)
    assert isinstance(decision, idempotency.Refuse)
    assert decision.error.verdict is verdict
    assert decision.error.http_status == 409


def test_key_of_another_request_is_refused() -> None:
    """A stored response must not be replayed to a different request."""
    stored = _stored_row(idempotency.KeyState.RAN, digest='d', body=b'x')
    for method, target, digest in (
        ('PUT', '/a', 'd'),
        ('POST', '/b', 'd'),
        ('POST', '/a', 'e'),
    ):
        decision = idempotency.decide(stored, method, target, digest)
        assert isinstance(decision, idempotency.Refuse)
        assert decision.error.http_status == 422
    unread = idempotency.decide(stored, 'POST', '/a', None)
    assert unread == idempotency.DigestBody()
    replay = idempotency.decide(stored, 'POST', '/a', 'd')
    assert isinstance(replay, idempotency.Replay)
