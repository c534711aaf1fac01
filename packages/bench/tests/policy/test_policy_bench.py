"""Test the policy benchmark."""

from oriolestand_bench.policy import _fakes
from oriolestand_bench.policy import _measures
from oriolestand_bench.policy import _runner
from oriolestand_bench.policy import _scale
from oriolestand_bench.policy import _scenarios
import oriolestand_core as core


class ShortFastFailer(_scenarios.FastFailer):
    """Fast failer with a short event phase."""

    event_ms = 1_000


def test_same_seed_gives_the_same_record() -> None:
    """Results must depend only on the seed, not on hashes or time."""
    make_dispatcher = _runner.make_policy(_runner.FRITID.shares)
    first, second = (
        _runner.run_once(ShortFastFailer, 12, 5, make_dispatcher)
        for _ in range(2)
    )
    assert first.series == second.series
    assert [p.useful_ms for p in first.phases] == [
        p.useful_ms for p in second.phases
    ]
    assert first.over_limit == 0


def test_stopped_task_resumes_from_its_checkpoint() -> None:
    """Exactly the work since the last checkpoint is lost."""
    clock = core.ManualClock()
    worker = _fakes.Worker('w', 8, clock)
    task = _fakes.Task(key='k', team='t', slots=2, work_ms=9_000, job='j')
    worker.start(task, worker.stop)
    clock.advance(2_500)
    assert worker.stop(task) == 2 * 500
    worker.start(task, worker.stop)
    clock.advance(7_001)
    assert task.worker is None


def test_each_scenario_can_be_created_and_has_measures() -> None:
    """An incomplete scenario would fail only late in a benchmark run."""
    for scenario in _scenarios.SCENARIOS:
        assert scenario().streams()
        assert _measures.measures_of(scenario.name)


def test_costs_can_be_measured_with_many_tasks() -> None:
    """A failed reservation is cheap and would hide the cost."""
    assert (
        _scale.measure_task_us(
            _scale.make_dispatcher(50), tasks=200, rounds=10
        )
        > 0
    )
