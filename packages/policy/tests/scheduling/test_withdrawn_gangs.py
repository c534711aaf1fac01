"""Tests of gangs of which a member was not started."""

from oriolestand_policy import scheduling

GANG = scheduling.StepSpec(
    count=2, cpu=1_000, is_service=True, is_gang=True, max_per_worker=1
)


def test_other_members_stop_when_a_start_is_withdrawn(harness):
    # Guards against members that occupy their workers until they end `alone`
    # (GANG), as the last member of their gang never starts.
    harness.add('a', GANG)
    starts, _ = harness.decide()
    withdrawn, other = starts
    harness.answer(other)
    harness.answer(withdrawn, scheduling.StartOutcome.WITHDRAWN)
    _, stops = harness.decide()
    assert [(s.worker, s.run) for s in stops] == [(other.worker, other.run)]
