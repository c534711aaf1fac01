"""Compare the life cycle with a naive one and under random failures."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from oriolestand_policy import batch

ME = 'a/1'
NAMES = ('t0', 't1')
State = batch.TaskState


class Naive:
    """Run tasks under one lock, in one process, without failures."""

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
def test_same_outcome_as_one_lock_without_failures(make_world, steps, fails):
    """Without failures the protocol must not be visible in the outcome."""
    world = make_world()
    naive = Naive()
    for name, bad in zip(NAMES, (fails, False), strict=True):
        world.submit(name, work_ms=500, fails=bad, retries_left=1)
        naive.submit(name, 500, bad)
    for step, name in steps:
        if step == 'advance':
            world.run(100)
            naive.advance(100)
            continue
        getattr(naive, step)(name)
        if step == 'place':
            world.take(ME, name)
        elif step == 'evict':
            world.tell(ME, name, batch.EvictWanted())
        else:
            world.cancel(name)
        for other in NAMES:
            row, task = world.row(other), naive.tasks[other]
            assert row.state is task['state']
            assert row.attempt == task['attempt']
            assert row.evictions == task['evictions']


def _step(world, rng):
    """Make one random step, a failure among them."""
    alive = sorted(world.lives)
    me = rng.choice(alive)
    name = rng.choice(NAMES)
    match rng.randrange(15):
        case 0 | 1:
            world.take(me, name, rng.choice(sorted(world.workers)))
        case 2:
            world.tell(me, name, batch.EvictWanted())
        case 3 if rng.random() < 0.05:
            world.cancel(name)
        case 4 if rng.random() < 0.3:
            # The sender's messages may still arrive after its death.
            del world.lives[me]
            world.lives[f'c/{world.clock.now()}'] = {}
        case 5 if rng.random() < 0.2:
            world.restart_worker(rng.choice(sorted(world.workers)))
        case 6 if world.mail and rng.random() < 0.5:
            mail = rng.choice(world.mail)
            if not isinstance(mail[2], batch.WriteRow):
                world.mail.remove(mail)
        case 7 | 8 | 9 if world.mail:
            world.deliver(world.mail.pop(rng.randrange(len(world.mail))))
        case 10:
            world.renew(me)
        case 11:
            for task in list(world.lives[me]):
                world.tell(me, task, batch.Tick())
        case 12 if rng.random() < 0.3:
            world.tell(me, name, batch.HandOverWanted())
        case _:
            world.clock.advance(rng.choice((5, 20, 60, 400)))


@pytest.mark.parametrize('seed', range(150))
def test_never_runs_in_two_places(seed, make_world):
    """Lost, late and repeated messages and deaths must not overlap runs."""
    world = make_world(seed)
    world.lives['b/1'] = {}
    for name in NAMES:
        world.submit(name, work_ms=700)
    for _ in range(600):
        _step(world, world.rng)
    assert world.overlaps() == []
    world.is_ordered = True
    world.settle()
    for _ in range(40):
        for name in NAMES:
            for me in list(world.lives):
                world.take(me, name)
        world.run(200)
    assert all(world.row(name).state.is_final for name in NAMES)
    assert world.overlaps() == []
