"""Test that the policy benchmark is repeatable and keeps the limits."""

from oriolestand_bench.policy import _fakes
from oriolestand_bench.policy import _measures
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scale
from oriolestand_bench.policy import _scenarios
import oriolestand_core as core


class Short(_scenarios.FastFailer):
    """Keep the event short."""

    event_ms = 1_000


def test_same_seed_gives_the_same_record() -> None:
    """Figures must come from the seed alone, not from hashes or time."""
    make = _runner.make_policy(_runner.FRITID.shares)
    one, two = (_runner.run_once(Short, 12, 5, make) for _ in range(2))
    assert one.series == two.series
    assert [p.useful_ms for p in one.phases] == [
        p.useful_ms for p in two.phases
    ]
    assert one.over_limit == 0


def test_stopped_task_goes_on_from_its_checkpoint() -> None:
    """Work since the last checkpoint is lost, and no more than that."""
    clock = core.ManualClock()
    worker = _fakes.Worker('w', 8, clock)
    task = _fakes.Task(key='k', team='t', slots=2, work_ms=9_000, job='j')
    worker.start(task, worker.stop)
    clock.advance(2_500)
    assert worker.stop(task) == 2 * 500
    worker.start(task, worker.stop)
    clock.advance(7_001)
    assert task.worker is None


def test_each_scenario_can_be_made_and_has_measures() -> None:
    """A scenario without its methods fails only when its turn comes."""
    for scenario in _scenarios.SCENARIOS:
        assert scenario().streams()
        assert _measures.measures_of(scenario.name)


def test_costs_can_be_measured_with_many_tasks() -> None:
    """A reservation that fails is cheap and would hide the cost."""
    assert _scale.task_cost(_scale.build(50), tasks=200, rounds=10) > 0
