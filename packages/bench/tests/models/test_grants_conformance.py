"""Test that the ledger and the planner conform to the grants model."""

import random

import pytest

from oriolestand_bench.models import _grants as model
from oriolestand_policy import grants

UPSTREAM = '127.0.0.1:1'
HOLDERS = (
    grants.Holder(instance_id='a', incarnation='1'),
    grants.Holder(instance_id='b', incarnation='1'),
)
STEPS = 300


def to_row(slots: tuple[int, int]) -> grants.ShardRow:
    """Return the shard row that corresponds to a row of the model."""
    shares = {
        holder: grants.Share(slots=count, horizon_ms=0)
        for holder, count in zip(HOLDERS, slots, strict=True)
        if count
    }
    item = grants.UpstreamGrants(capacity=model.CAPACITY, shares=shares)
    return grants.ShardRow(upstreams={UPSTREAM: item})


def to_model_row(row: grants.ShardRow) -> tuple[int, ...]:
    """Return the row of the model that corresponds to a shard row."""
    return tuple(row.slots_of(holder).get(UPSTREAM, 0) for holder in HOLDERS)


class LedgerMirror:
    """Applies the transitions of the model to ledgers."""

    def __init__(self) -> None:
        self.ledgers = [grants.Ledger(holder) for holder in HOLDERS]
        for ledger in self.ledgers:
            ledger.observe(to_row((model.CAPACITY, 0)), 0)

    def apply(self, label: str, state: model.State) -> None:
        """Apply a transition of the model to the ledgers."""
        kind, index, *_ = label.split()
        holder = state.holders[int(index)]
        if kind == 'write':
            self.ledgers[int(index)].begin_write(to_row(holder.writes[-1].row))
        elif kind == 'read':
            self.ledgers[int(index)].observe(to_row(state.row), state.version)

    def check(self, state: model.State, steps: model.Steps) -> None:
        """Check that the ledgers allow the same slots as the model."""
        for index, holder in enumerate(state.holders):
            if not holder.is_alive:
                continue
            code = self.ledgers[index].usable_slots().get(UPSTREAM, 0)
            assert min(code, holder.cap) == steps.usable(holder, index)
            assert self.ledgers[index].version == holder.version


@pytest.mark.parametrize('seed', range(60))
def test_ledger_follows_the_model(seed: int) -> None:
    """A ledger that allows more than the model invalidates its proof."""
    rng = random.Random(seed)
    steps = model.Steps()
    mirror = LedgerMirror()
    state = model.initial(model.CAPACITY)
    for _ in range(STEPS):
        choices = list(steps.all(state))
        if not choices:
            break
        label, state = rng.choice(choices)
        mirror.apply(label, state)
        mirror.check(state, steps)


@pytest.mark.parametrize('seed', range(60))
def test_plans_are_writes_that_the_model_allows(seed: int) -> None:
    """A plan must keep the slots in use and the share of a live holder."""
    rng = random.Random(seed)
    steps = model.Steps()
    state = model.initial(model.CAPACITY)
    for _ in range(STEPS):
        choices = list(steps.all(state))
        if not choices:
            break
        _, state = rng.choice(choices)
        index = rng.randrange(2)
        holder = state.holders[index]
        other = state.holders[1 - index]
        is_gone = not other.is_alive and not other.sent
        row = to_row(holder.cached_row)
        demand = grants.Demand(
            capacity={UPSTREAM: model.CAPACITY},
            horizon_ms={UPSTREAM: 0},
            in_use={UPSTREAM: holder.used},
            entry_ids=rng.choice((['a'], ['b'], ['a', 'b'])),
        )
        gone = {HOLDERS[1 - index]} if is_gone else set()
        planned = to_model_row(grants.plan(row, HOLDERS[index], demand, gone))
        assert sum(planned) <= model.CAPACITY
        assert planned[index] >= min(holder.used, holder.cached_row[index])
        if not is_gone:
            assert planned[1 - index] == holder.cached_row[1 - index]
