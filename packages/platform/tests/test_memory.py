"""Test the in-memory store against a simple reference model."""

from hypothesis import given
from hypothesis import strategies as st

import oriolestand_platform as platform

KEYS = st.sampled_from(['a', 'b'])
VERSIONS = st.integers(0, 3)
checks = st.builds(
    platform.Check, table=st.just('t'), key=KEYS, version=VERSIONS
)
puts = st.builds(
    platform.Put,
    table=st.just('t'),
    key=KEYS,
    value=st.none() | st.fixed_dictionaries({'n': st.integers(0, 9)}),
)
transactions = st.builds(
    platform.Transaction,
    request_id=st.integers(0, 5).map(str),
    checks=st.lists(checks, max_size=2).map(tuple),
    puts=st.lists(puts, max_size=2).map(tuple),
)


@given(st.lists(transactions, max_size=12))
def test_transactions_are_atomic_idempotent_and_checked(
    sent: list[platform.Transaction],
) -> None:
    """Grants, tables and tasks rely on these properties of transactions."""
    store = platform.MemoryStore()
    values: dict[str, object] = {}
    versions: dict[str, int] = {}
    applied: dict[str, platform.TransactionResult] = {}
    for tx in sent:
        result = store.commit(tx)
        if tx.request_id in applied:
            assert result == applied[tx.request_id]
            continue
        checks_hold = all(
            c.version == (versions[c.key] if c.key in values else 0)
            for c in tx.checks
        )
        assert result.applied == checks_hold
        if checks_hold:
            applied[tx.request_id] = result
            for put in tx.puts:
                if put.value is None:
                    values.pop(put.key, None)
                else:
                    values[put.key] = put.value
                    versions[put.key] = versions.get(put.key, 0) + 1
        rows = {row.key: row for row in store.scan('t')}
        assert {k: r.value for k, r in rows.items()} == values
        assert all(r.version == versions[k] for k, r in rows.items())
        assert [row.key for row in store.scan('t')] == sorted(values)


def test_conflict_returns_the_conflicting_rows() -> None:
    """A writer must get the current rows that its write conflicts with."""
    store = platform.MemoryStore()
    put = platform.Put(table='t', key='k', value={'n': 1})
    store.commit(platform.Transaction(request_id='1', puts=(put,)))
    check = platform.Check(table='t', key='k', version=0)
    result = store.commit(
        platform.Transaction(request_id='2', checks=(check,), puts=(put,))
    )
    assert [row.value for row in result.conflicts] == [{'n': 1}]
