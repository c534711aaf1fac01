"""Tests of paces that a worker may not have received."""

from oriolestand_policy import scheduling

FILLING = scheduling.StepSpec(count=1, cpu=1_000, is_filling=True)
MITIGATION_INTERVAL_MS = 700


def paces(scheduler):
    """Take the effects; return the paces that are ordered, in percent."""
    return [
        effect.percent
        for effect in scheduler.take_effects()
        if isinstance(effect, scheduling.PaceTask)
    ]


def start_filling(harness, make):
    """Start a filling task; return its start order."""
    harness.add('j', FILLING)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.poll(start.worker, [make.report(start, measured=1_000)])
    assert paces(harness.scheduler) == []
    return start


def test_pace_in_doubt_is_sent_again_once(harness, make):
    # Guards against a task that stays paused, or runs at full speed beside a
    # slowed service, because an order was lost or overtaken by an earlier one.
    start = start_filling(harness, make)
    harness.scheduler.on_pace_failed(start.worker, start.key, start.run)
    assert paces(harness.scheduler) == []
    for expected in ([100], []):
        harness.now += 100
        harness.poll(start.worker, [make.report(start, measured=1_000)])
        assert paces(harness.scheduler) == expected


def test_pace_of_a_run_that_is_gone_is_not_sent(harness, make):
    # Guards against an error, or an order without a run, after a late failure.
    start = start_filling(harness, make)
    harness.poll(start.worker, ended=[make.end(start, 'done')])
    harness.scheduler.on_pace_failed(start.worker, start.key, start.run)
    harness.scheduler.on_pace_failed('unknown', start.key, start.run)
    harness.now += 100
    harness.poll(start.worker)
    assert paces(harness.scheduler) == []


def test_run_that_a_former_owner_has_paused_is_resumed(harness, make):
    # A new owner took the runs of its predecessor to be at full speed, so a
    # paused one stayed paused. One that uses its processors needs no order.
    former = start_filling(harness, make)
    for measured, expected in ((0, [100]), (1_000, [])):
        successor = make.Harness()
        successor.add('j', FILLING)
        for _ in range(2):
            running = [make.report(former, measured=measured)]
            successor.poll(former.worker, running)
            successor.now += MITIGATION_INTERVAL_MS
        successor.poll(former.worker, running)
        assert paces(successor.scheduler) == expected
