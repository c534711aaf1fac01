"""Test that keys are claimed at most once, whatever the store does."""

import random

import pytest

import oriolestand_core as core
from oriolestand_policy import idempotency


def _claim(key: str, request_id: str, version: int = 0) -> idempotency.Claim:
    """Return the claim of a request."""
    record = idempotency.KeyRecord(
        state=idempotency.KeyState.STARTED,
        request_id=request_id,
        method='POST',
        target='/',
    )
    return idempotency.Claim(key=key, version=version, record=record)


class Table:
    """Apply batches like the table service; late copies may come."""

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
    """Lost answers, late writes and outages must not lead to a second run."""
    rng = random.Random(seed)
    table = Table()
    sides = [idempotency.GroupCommit(limit=3) for _ in range(2)]
    late: list[idempotency.WriteBatch] = []
    runs: dict[str, list[str]] = {}
    for step in range(200):
        commits = rng.choice(sides)
        if rng.random() < 0.5:
            commits.add(_claim(f'k{rng.randrange(20)}', f'r{step}'))
        if late and rng.random() < 0.3:
            table.commit(late.pop(rng.randrange(len(late))))
        batch = commits.take()
        if batch is None:
            continue
        assert len({w.key for w in batch.writes}) == len(batch.writes)
        fate = rng.random()
        if fate < 0.15:
            commits.failed(batch, is_certain=True)
            continue
        if fate < 0.3:
            late.append(batch)
            commits.failed(batch, is_certain=False)
            continue
        if table.commit(batch):
            claims = commits.applied(batch)
        else:
            rows = table.conflicts(batch)
            claims, _ = commits.conflicted(batch, rows)
        for claim in claims:
            runs.setdefault(claim.key, []).append(claim.record.request_id)
    assert runs
    assert all(len(ids) == 1 for ids in runs.values())


def test_a_withdrawn_claim_blocks_its_late_write() -> None:
    """A caller that was told did_not_run may repeat; it must run once."""
    table, commits = Table(), idempotency.GroupCommit()
    commits.add(_claim('k', 'r1'))
    lost = commits.take()
    assert lost is not None
    assert commits.failed(lost, is_certain=False) == list(lost.writes)
    settle = commits.take()
    assert settle is not None
    assert table.commit(settle)
    commits.applied(settle)
    assert not table.commit(lost)
    row = table.rows['k']
    assert row.record.state is idempotency.KeyState.DID_NOT_RUN
    decision = idempotency.decide(row, 'POST', '/', None)
    assert decision == idempotency.Run(version=1)


def _known(
    state: idempotency.KeyState, digest: str = '', body: bytes | None = None
) -> idempotency.VersionedRecord:
    """Return the row of a first request."""
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
    ('known', 'verdict'),
    [
        (_known(idempotency.KeyState.STARTED), core.Verdict.MAY_HAVE_RUN),
        (_known(idempotency.KeyState.RAN), core.Verdict.RAN),
    ],
)
def test_a_repeat_gets_the_verdict_of_the_row(
    known: idempotency.VersionedRecord, verdict: core.Verdict
) -> None:
    """A repeat must neither run nor hide that the first one may have."""
    decision = idempotency.decide(known, 'POST', '/a', None)
    assert isinstance(decision, idempotency.Refuse)
    assert decision.error.verdict is verdict
    assert decision.error.http_status == 409


def test_a_key_used_for_another_request_is_refused() -> None:
    """A stored answer must not go to a request it does not belong to."""
    known = _known(idempotency.KeyState.RAN, digest='d', body=b'x')
    for method, target, digest in (
        ('PUT', '/a', 'd'),
        ('POST', '/b', 'd'),
        ('POST', '/a', 'e'),
    ):
        decision = idempotency.decide(known, method, target, digest)
        assert isinstance(decision, idempotency.Refuse)
        assert decision.error.http_status == 422
    read = idempotency.decide(known, 'POST', '/a', None)
    assert read == idempotency.DigestBody()
    replay = idempotency.decide(known, 'POST', '/a', 'd')
    assert isinstance(replay, idempotency.Replay)
