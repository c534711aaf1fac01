"""Test ejection and probing of upstreams."""

import oriolestand_core as core
from oriolestand_policy import health
from oriolestand_policy import placement


def setup(
    count: int = 4,
) -> tuple[health.FailureHealth, list[placement.UpstreamState]]:
    one = health.FailureHealth()
    upstreams = [
        placement.UpstreamState(address=f'u{n}', pool='p', limit=8)
        for n in range(count)
    ]
    for upstream in upstreams:
        one.add(upstream)
        record_result(one, upstream, 'warm', False, 0)
    return one, upstreams


def record_result(
    one: health.FailureHealth,
    upstream: placement.UpstreamState,
    source: str,
    failed: bool,
    now: int,
    started: int | None = None,
    origin: str = 'team',
) -> None:
    at = core.Millis(now if started is None else started)
    one.record_result(upstream, source, origin, failed, at, core.Millis(now))


def eject(
    one: health.FailureHealth, upstream: placement.UpstreamState
) -> None:
    for number in range(health.MAX_FAILURES):
        record_result(one, upstream, f'r{number}', True, 10, origin='')


def test_out_after_five_then_probed_one_at_a_time() -> None:
    """A worker that fails every task must not draw the work."""
    one, (first, *_) = setup()
    for number in range(health.MAX_FAILURES - 1):
        record_result(one, first, f'r{number}', True, 10)
        left = health.MAX_FAILURES - number - 1
        assert first.start_limit == left
    record_result(one, first, 'last', True, 10)
    assert first.free == 0
    assert one.due(core.Millis(500)) == []
    assert one.due(core.Millis(1_010)) == [first]
    assert first.free == 1
    record_result(one, first, 'probe', True, 1_020)
    assert first.free == 0
    assert one.due(core.Millis(2_100)) == []
    assert one.due(core.Millis(3_020)) == [first]
    record_result(one, first, 'probe2', False, 3_100)
    assert first.free == 8


def test_one_bad_request_ejects_nobody() -> None:
    """Attempts of the same request are one failure."""
    one, (first, *_) = setup()
    for _ in range(20):
        record_result(one, first, 'bad', True, 10)
    assert first.start_limit == health.MAX_FAILURES - 1


def test_bad_job_ejects_nobody() -> None:
    """A job whose tasks fail everywhere is itself the cause."""
    one, upstreams = setup()
    for number in range(40):
        upstream = upstreams[number % 4]
        record_result(one, upstream, f't{number}', True, 10, origin='bad job')
    assert all(upstream.free >= 4 for upstream in upstreams)


def test_old_success_does_not_clear_new_failures() -> None:
    """Requests that were sent before the fault may still succeed."""
    one, (first, *_) = setup()
    for number in range(health.MAX_FAILURES):
        record_result(one, first, f'r{number}', True, 10 + number)
        record_result(
            one, first, f'old{number}', False, 11 + number, started=5
        )
    assert first.free == 0


def test_long_ejections_are_bounded() -> None:
    """If most of a pool is unreachable, the rest is probed again soon.

    What did not run has no origin to blame, so one team's requests suffice.
    """
    one, upstreams = setup()
    for upstream in upstreams:
        eject(one, upstream)
    assert len(one.due(core.Millis(300))) == 2
    assert len(one.due(core.Millis(1_010))) == 2
