"""Test ejection and probing of upstreams."""

import oriolestand_core as core
from oriolestand_policy import health
from oriolestand_policy import placement


def make_policy(
    count: int = 4,
) -> tuple[health.FailureHealth, list[placement.UpstreamState]]:
    policy = health.FailureHealth()
    upstreams = [
        placement.UpstreamState(address=f'u{n}', pool='p', limit=8)
        for n in range(count)
    ]
    for upstream in upstreams:
        policy.add(upstream)
        record_result(policy, upstream, 'warm', False, 0)
    return policy, upstreams


def record_result(
    policy: health.FailureHealth,
    upstream: placement.UpstreamState,
    source: str,
    failed: bool,
    now: int,
    started: int | None = None,
    origin: str = 'team',
) -> None:
    at = core.Millis(now if started is None else started)
    policy.record_result(
        upstream, source, origin, failed, at, core.Millis(now)
    )


def eject(
    policy: health.FailureHealth, upstream: placement.UpstreamState
) -> None:
    for number in range(health.MAX_FAILURES):
        record_result(policy, upstream, f'r{number}', True, 10, origin='')


def test_ejected_after_five_failures_then_probed_one_at_a_time() -> None:
    """A failing upstream must be ejected and get one probe per delay."""
    policy, (first, *_) = make_policy()
    for number in range(health.MAX_FAILURES - 1):
        record_result(policy, first, f'r{number}', True, 10)
        remaining = health.MAX_FAILURES - number - 1
        assert first.start_limit == remaining
    record_result(policy, first, 'last', True, 10)
    assert first.free == 0
    assert policy.allow_due_probes(core.Millis(500)) == []
    assert policy.allow_due_probes(core.Millis(1_010)) == [first]
    assert first.free == 1
    record_result(policy, first, 'probe', True, 1_020)
    assert first.free == 0
    assert policy.allow_due_probes(core.Millis(2_100)) == []
    assert policy.allow_due_probes(core.Millis(3_020)) == [first]
    record_result(policy, first, 'probe2', False, 3_100)
    assert first.free == 8


def test_one_failing_request_ejects_no_upstream() -> None:
    """Attempts of the same request must count as one failure."""
    policy, (first, *_) = make_policy()
    for _ in range(20):
        record_result(policy, first, 'bad', True, 10)
    assert first.start_limit == health.MAX_FAILURES - 1


def test_failing_job_ejects_no_upstream() -> None:
    """A job whose tasks fail on all upstreams must not eject them."""
    policy, upstreams = make_policy()
    for number in range(40):
        upstream = upstreams[number % 4]
        record_result(
            policy, upstream, f't{number}', True, 10, origin='bad job'
        )
    assert all(upstream.free >= 4 for upstream in upstreams)


def test_old_success_does_not_clear_new_failures() -> None:
    """Successes of requests sent before a fault must not clear failures."""
    policy, (first, *_) = make_policy()
    for number in range(health.MAX_FAILURES):
        record_result(policy, first, f'r{number}', True, 10 + number)
        record_result(
            policy, first, f'old{number}', False, 11 + number, started=5
        )
    assert first.free == 0


def test_long_ejections_are_bounded() -> None:
    """Beyond the maximum share, ejected upstreams must be probed soon.

    The failures have no origin, as for requests that did not run, so each of
    them counts.
    """
    policy, upstreams = make_policy()
    for upstream in upstreams:
        eject(policy, upstream)
    assert len(policy.allow_due_probes(core.Millis(300))) == 2
    assert len(policy.allow_due_probes(core.Millis(1_010))) == 2
