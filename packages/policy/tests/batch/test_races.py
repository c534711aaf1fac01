"""Compare the lifecycle with a naive one; run it under random failures."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from oriolestand_policy import batch

CONTROLLER = 'a/1'
NAMES = ('t0', 't1')
State = batch.TaskState


class NaiveLifecycle:
    """Reference lifecycle in one process, without failures."""

    def __init__(self):
        self.tasks = {}

    def submit(self, name, work, fails):
        self.tasks[name] = {
            'state': State.QUEUED,
            'work': work,
            'fails': fails,
            'done': 0,
            'attempt': 0,
            'retries': 1,
            'evictions': 0,
        }

    def place(self, name):
        task = self.tasks[name]
        if task['state'] is not State.QUEUED:
            return
        task['attempt'] += 1
        task['state'] = State.RUNNING
        if task['fails']:
            task['state'] = State.QUEUED if task['retries'] else State.FAILED
            task['retries'] = max(0, task['retries'] - 1)

    def evict(self, name):
        task = self.tasks[name]
        if task['state'] is State.RUNNING:
            task['state'] = State.QUEUED
            task['evictions'] += 1

    def cancel(self, name):
        task = self.tasks[name]
        if not task['state'].is_final:
            task['state'] = State.CANCELLED

    def advance(self, ms):
        for task in self.tasks.values():
            if task['state'] is State.RUNNING:
                task['done'] += ms
                if task['done'] >= task['work']:
                    task['state'] = State.DONE


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('place', 'evict', 'cancel', 'advance')),
        st.sampled_from(NAMES),
    ),
    max_size=30,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps=STEPS, fails=st.booleans())
def test_same_outcome_as_the_naive_lifecycle_without_failures(
    make_simulation, steps, fails
):
    """Without failures the protocol must not change the outcome."""
    simulation = make_simulation()
    naive = NaiveLifecycle()
    for name, is_failing in zip(NAMES, (fails, False), strict=True):
        simulation.submit(name, work_ms=500, fails=is_failing, retries_left=1)
        naive.submit(name, 500, is_failing)
    for action, name in steps:
        if action == 'advance':
            simulation.run(100)
            naive.advance(100)
            continue
        getattr(naive, action)(name)
        if action == 'place':
            simulation.take_control(CONTROLLER, name)
        elif action == 'evict':
            simulation.notify(CONTROLLER, name, batch.EvictRequested())
        else:
            simulation.cancel(name)
        for task_name in NAMES:
            row, task = simulation.row(task_name), naive.tasks[task_name]
            assert row.state is task['state']
            assert row.attempt == task['attempt']
            assert row.evictions == task['evictions']


def _random_step(simulation, rng):
    """Make one random step, which may be a failure."""
    alive = sorted(simulation.lifecycles)
    controller = rng.choice(alive)
    name = rng.choice(NAMES)
    match rng.randrange(15):
        case 0 | 1:
            simulation.take_control(
                controller, name, rng.choice(sorted(simulation.workers))
            )
        case 2:
            simulation.notify(controller, name, batch.EvictRequested())
        case 3 if rng.random() < 0.05:
            simulation.cancel(name)
        case 4 if rng.random() < 0.3:
            # Messages of a controller may still arrive after its death.
            del simulation.lifecycles[controller]
            simulation.lifecycles[f'c/{simulation.clock.now()}'] = {}
        case 5 if rng.random() < 0.2:
            simulation.restart_worker(rng.choice(sorted(simulation.workers)))
        case 6 if simulation.in_transit and rng.random() < 0.5:
            item = rng.choice(simulation.in_transit)
            if not isinstance(item[2], batch.WriteRow):
                simulation.in_transit.remove(item)
        case 7 | 8 | 9 if simulation.in_transit:
            simulation.deliver(
                simulation.in_transit.pop(
                    rng.randrange(len(simulation.in_transit))
                )
            )
        case 10:
            simulation.renew(controller)
        case 11:
            for task in list(simulation.lifecycles[controller]):
                simulation.notify(controller, task, batch.Tick())
        case 12 if rng.random() < 0.3:
            simulation.notify(controller, name, batch.HandOverRequested())
        case _:
            simulation.clock.advance(rng.choice((5, 20, 60, 400)))


@pytest.mark.parametrize('seed', range(150))
def test_never_runs_in_two_places(seed, make_simulation):
    """Message loss, delay or repetition or a crash must not overlap runs."""
    simulation = make_simulation(seed)
    simulation.lifecycles['b/1'] = {}
    for name in NAMES:
        simulation.submit(name, work_ms=700)
    for _ in range(600):
        _random_step(simulation, simulation.rng)
    assert simulation.overlapping_tasks() == []
    simulation.is_ordered = True
    simulation.deliver_all()
    for _ in range(40):
        for name in NAMES:
            for controller in list(simulation.lifecycles):
                simulation.take_control(controller, name)
        simulation.run(200)
    assert all(simulation.row(name).state.is_final for name in NAMES)
    assert simulation.overlapping_tasks() == []
