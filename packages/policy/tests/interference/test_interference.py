"""Test learning from lagging reports and the steps that follow."""

import oriolestand_core as core
from oriolestand_policy import interference

Step = interference.Step


def report(
    slowdown: float, at: int, services: int = 10, **residents: str
) -> interference.UsageReport:
    return interference.UsageReport(
        address='a',
        measured_at=core.Millis(at),
        slowdown=slowdown,
        services=services,
        residents=residents,
    )


def observe(
    one: interference.Interference, usage: interference.UsageReport, now: int
) -> list[Step]:
    found = one.observe(usage, usage.residents, core.Millis(now))
    return [advice.step for advice in found]


def test_blame_is_split_by_pairs() -> None:
    """A quiet team must not be blamed for a noisy neighbour."""
    one = interference.LearnedInterference()
    for at in range(50):
        observe(one, report(1.0, at, q='quiet'), at)
        observe(one, report(1.25, at, n='noisy', q='quiet'), at)
    assert one.harm('noisy') > 0.2
    assert one.harm('quiet') < 0.05


def test_steps_wait_for_reports_after_the_last_one() -> None:
    """A lagging report must not cause a second step."""
    one = interference.LearnedInterference()
    both = {'k': 'noisy', 'm': 'noisy'}
    steps = [
        observe(one, report(1.8, at, **both), at + 2_000)
        for at in (0, 1_000, 6_000, 8_000, 20_000)
    ]
    assert steps == [[Step.THROTTLE], [], [], [Step.THROTTLE], [Step.MOVE]]


def test_release_when_services_are_fast() -> None:
    """A throttled task must not stay slow without need."""
    one = interference.LearnedInterference()
    observe(one, report(1.5, 0, k='noisy'), 0)
    assert observe(one, report(1.0, 9_000, k='noisy'), 9_000) == [Step.RELEASE]


def test_no_step_where_no_service_runs() -> None:
    """Throttling must not cost batch time for nothing."""
    one = interference.LearnedInterference()
    assert not observe(one, report(2.0, 0, services=0, k='noisy'), 0)


def test_only_the_owner_acts() -> None:
    """Three daemons that see the same report must take one step."""
    one = interference.LearnedInterference()
    usage = report(1.6, 0, k='noisy')
    assert not one.observe(usage, (), core.Millis(0))
