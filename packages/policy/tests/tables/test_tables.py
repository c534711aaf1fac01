"""Test versions, validation and differences of tables."""

from hypothesis import given
from hypothesis import strategies as st

from oriolestand_policy import tables

stamps = st.builds(
    tables.Stamp,
    version=st.integers(0, 4),
    digest=st.sampled_from(['a', 'b']),
)


@given(st.lists(stamps))
def test_adopted_versions_only_rise(offered: list[tables.Stamp]) -> None:
    """No order of arrival may restore an older version."""
    in_force = tables.Stamp()
    for stamp in offered:
        if tables.compare_stamps(in_force, stamp) is tables.Choice.ADOPT:
            assert stamp.version > in_force.version
            in_force = stamp
    assert in_force.version == max((s.version for s in offered), default=0)


writers = st.sampled_from(['mine', 'other'])


@given(
    st.lists(writers, max_size=3),
    st.integers(0, 3),
    st.integers(0, 3),
)
def test_outcome_of_a_lost_write_is_never_wrong(
    order: list[str], first_read: int, pause: int
) -> None:
    """Writes between the two reads must not lead to a wrong outcome.

    All writers checked row version 0, so the first one in ``order`` wins.
    The current row is read after ``first_read`` writes, and the history row
    ``pause`` writes later.
    """
    second_read = first_read + pause
    read_row_version = 1 if order[:first_read] else 0
    read_history_edit_id = order[0] if order[:second_read] else None
    state = tables.resolve_write(
        edit_id='mine',
        checked_row_version=0,
        history_edit_id=read_history_edit_id,
        row_version=read_row_version,
    )
    if state is tables.WriteState.IN_FORCE:
        assert order[0] == 'mine'
    if state is tables.WriteState.NOT_IN_FORCE:
        assert order[0] == 'other'


pools = st.builds(
    tables.Pool,
    name=st.sampled_from(['p', 'q']),
    slots_per_upstream=st.integers(0, 2),
    upstreams=st.lists(
        st.builds(
            tables.Upstream,
            address=st.sampled_from(['1:1', '1:2']),
            failure_domain=st.sampled_from(['a', 'b']),
        ),
        max_size=2,
        unique_by=lambda upstream: upstream.address,
    ).map(tuple),
)
routes = st.builds(
    tables.Route,
    name=st.sampled_from(['r', 's']),
    pool=st.sampled_from(['p', 'q']),
    match=st.builds(tables.Match, host=st.sampled_from(['', 'h'])),
    kind=st.sampled_from(tables.Kind),
)
documents = st.builds(
    lambda rs, ps: tables.Tables(
        version=1, routes=tuple(rs), pools={p.name: p for p in ps}
    ),
    st.lists(routes, max_size=2, unique_by=lambda r: r.name),
    st.lists(pools, max_size=2, unique_by=lambda p: p.name),
)


@given(documents, documents)
def test_difference_is_empty_only_for_equal_tables(
    old: tables.Tables, new: tables.Tables
) -> None:
    """An editor who lost a race must be shown every change."""

    def content(value: tables.Tables) -> object:
        return (
            {r.name: r for r in value.routes},
            {
                name: (p.slots_per_upstream, set(p.upstreams))
                for name, p in value.pools.items()
            },
        )

    changes = tables.diff(old, new)
    assert bool(changes) == (content(old) != content(new))
    assert len(set(map(str, changes))) == len(changes)
    assert len(tables.diff(new, old)) == len(changes)


def test_every_problem_is_found_with_its_path() -> None:
    """Operators must see all problems at once to correct them together."""
    up = tables.Upstream(address='1:1', failure_domain='a')
    repeating = tables.Pool(name='p', upstreams=(up, up))
    duplicate = tables.Pool(name='p', upstreams=(up,))
    dangling = tables.Route(name='r', pool='none')
    found = tables.find_problems(
        [(0, dangling), (1, dangling)],
        [(0, repeating), (2, duplicate)],
        {'p'},
    )
    assert {problem.path for problem in found} == {
        'pools.2.name',
        'routes.1.name',
        'routes.0.pool',
        'routes.1.pool',
        'pools.0.upstreams.1.address',
        'pools.2.upstreams.0.address',
    }
