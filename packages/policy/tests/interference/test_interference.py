"""Test the estimates from delayed reports and the mitigation steps."""

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
    policy: interference.Interference,
    usage: interference.UsageReport,
    now: int,
) -> list[Step]:
    advices = policy.observe(usage, usage.residents, core.Millis(now))
    return [advice.step for advice in advices]


def test_slowdown_is_attributed_to_the_noisy_team() -> None:
    """The slowdown by one team must not be attributed to another."""
    policy = interference.LearnedInterference()
    for at in range(50):
        observe(policy, report(1.0, at, q='quiet'), at)
        observe(policy, report(1.25, at, n='noisy', q='quiet'), at)
    assert policy.expected_slowdown('noisy') > 0.2
    assert policy.expected_slowdown('quiet') < 0.05


def test_next_step_needs_a_report_measured_after_the_last_step() -> None:
    """A delayed report must not cause a second step."""
    policy = interference.LearnedInterference()
    both = {'k': 'noisy', 'm': 'noisy'}
    steps = [
        observe(policy, report(1.8, at, **both), at + 2_000)
        for at in (0, 1_000, 6_000, 8_000, 20_000)
    ]
    assert steps == [[Step.THROTTLE], [], [], [Step.THROTTLE], [Step.MOVE]]


def test_task_is_released_when_services_are_fast() -> None:
    """A task must not stay throttled without need."""
    policy = interference.LearnedInterference()
    observe(policy, report(1.5, 0, k='noisy'), 0)
    assert observe(policy, report(1.0, 9_000, k='noisy'), 9_000) == [
        Step.RELEASE
    ]


def test_no_step_without_service_requests() -> None:
    """Throttling where no services run would only waste batch time."""
    policy = interference.LearnedInterference()
    assert not observe(policy, report(2.0, 0, services=0, k='noisy'), 0)


def test_only_the_controlling_daemon_acts() -> None:
    """Daemons must not act on tasks that another one controls."""
    policy = interference.LearnedInterference()
    usage = report(1.6, 0, k='noisy')
    assert not policy.observe(usage, (), core.Millis(0))
