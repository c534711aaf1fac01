"""Guard against rounds whose work grows with what waits times the workers."""

import dataclasses
import random

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _fleet
from oriolestand_policy.scheduling import _gang_fit
from oriolestand_policy.scheduling import _jobs
from oriolestand_policy.scheduling import _mixed_placement
from oriolestand_policy.scheduling import _room_selection


def gang(count, cpu, **fields):
    """Return the step of a gang."""
    return scheduling.StepSpec(
        count=count, cpu=cpu, memory_mb=1, is_gang=True, **fields
    )


@pytest.fixture
def counted(monkeypatch):
    """Count the selections of workers and the estimates of ends."""
    calls = {'select_worker': 0, 'ends_of': 0}
    for owner, name in (
        (_mixed_placement.MixedPlacement, 'select_worker'),
        (_room_selection, 'ends_of'),
    ):
        original = getattr(owner, name)

        def call(*args, _name=name, _original=original):
            calls[_name] += 1
            return _original(*args)

        monkeypatch.setattr(owner, name, call)
    return calls


def test_members_of_a_gang_that_cannot_fit_are_not_placed(make, counted):
    """Members that fit were placed in each round until one did not."""
    harness = make.Harness(workers=20)
    harness.add('a', gang(2_000, 1_000))
    for _ in range(20):
        harness.now += 50
        assert harness.decide() == ([], [])
    assert counted['select_worker'] == 0


def test_gang_starts_in_the_round_in_which_its_room_is_free(make):
    """A gang that did not fit before was not tried again."""
    harness = make.Harness(workers=4)
    harness.add('b', scheduling.StepSpec(count=1, cpu=9_000, memory_mb=1))
    (running,), _ = harness.decide()
    harness.add('a', gang(20, 2_000))
    for _ in range(5):
        harness.now += 50
        assert harness.decide() == ([], [])
    harness.poll(running.worker, ended=[make.end(running, 'done')])
    starts, _ = harness.decide()
    assert len(starts) == 20


def test_reservation_estimates_the_ends_on_each_worker_once(make, counted):
    """Each member examined all runs of all workers: seconds for 2,000."""
    harness = make.Harness(workers=20)
    harness.add(
        'b',
        scheduling.StepSpec(
            count=200, cpu=1_000, memory_mb=1, estimate_ms=14_000
        ),
    )
    starts, _ = harness.decide()
    assert len(starts) == 200
    for start in starts:
        harness.answer(start)
    harness.add('a', gang(200, 1_000, estimate_ms=1_000))
    reserved = []
    for second in range(1, 13):
        harness.now += 1_000
        for name in harness.infos:
            running = [
                make.report(start, 3 * second)
                for start in starts
                if start.worker == name
            ]
            harness.poll(name, running)
        before = dict(counted)
        harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())
        reserved += [
            effect
            for effect in harness.scheduler.take_effects()
            if getattr(effect, 'event', '') == 'capacity_reserved'
        ]
        assert counted['ends_of'] - before['ends_of'] <= 20
    # A gang that takes all workers for over 5 s gets no reservation.
    assert counted['ends_of'] > 0 and not reserved


def random_worker(rng, number):
    """Return a worker with random runs."""
    worker = _fleet.Worker(
        info=_fleet.WorkerInfo(
            id=f'w{number}',
            pool='p',
            address='a',
            failure_domain='d',
            cpu=rng.randrange(4_000, 20_000, 1_000),
            memory_mb=rng.randrange(20, 60),
            accelerators=rng.randrange(4),
            rack=rng.choice(['r', 's']),
        ),
        is_readmitted=rng.random() < 0.2,
    )
    for index in range(rng.randrange(8)):
        spec = scheduling.StepSpec(
            count=1,
            cpu=rng.randrange(0, 4_000, 500),
            memory_mb=rng.randrange(10),
            accelerators=rng.randrange(2),
            estimate_ms=rng.randrange(20_000),
            is_service=rng.random() < 0.2,
            is_filling=rng.random() < 0.2,
        )
        if worker.shortage(spec) is None:
            key = _jobs.TaskKey(rng.choice(['x', 'g']), 0, 0, index)
            worker.add(
                _fleet.Run(
                    key=key,
                    number=index,
                    spec=spec,
                    phase=_fleet.RunPhase.RUNNING,
                    since_ms=rng.randrange(1_000),
                    percent=rng.randrange(100),
                )
            )
    return worker


def random_members(rng, ids):
    """Return the members of a random gang, which avoid some workers."""
    count = rng.randrange(1, 40)
    spec = gang(
        count,
        rng.randrange(0, 4_000, 500),
        accelerators=rng.randrange(2),
        max_per_worker=rng.choice([0, 0, 3]),
        rack=rng.choice(['', 'r']),
        is_service=rng.random() < 0.3,
    )
    return [
        _jobs.Task(
            key=_jobs.TaskKey('g', 0, 0, index),
            spec=spec,
            avoid=set(rng.sample(ids, rng.choice([0, 0, 2]))),
        )
        for index in range(count)
    ]


@pytest.mark.parametrize('seed', range(60))
def test_selection_for_a_gang_is_that_of_each_member(seed):
    """The heap of workers could order them in another way."""
    rng = random.Random(seed)
    workers = [random_worker(rng, number) for number in range(8)]
    members = random_members(rng, [w.info.id for w in workers])
    demands = {}
    expected = []
    longest_ms = 0
    for member in members:
        found = _room_selection.select_worker(workers, demands, member, 2_000)
        if found is None:
            break
        worker, time_ms = found
        longest_ms = max(longest_ms, time_ms)
        demand = demands.setdefault(worker.info.id, _room_selection.Demand())
        demand.add(member.spec)
        expected.append(worker)
    selection = _room_selection.RoomSelection(
        workers, members[0], len(members), 2_000
    )
    assert selection.has_room == (len(expected) == len(members))
    if selection.has_room:
        assert [selection.select(m.avoid) for m in members] == expected
        assert selection.longest_ms == longest_ms
        assert selection.worker_count == len(demands)


@pytest.mark.parametrize('seed', range(60))
def test_sums_and_rooms_agree_with_placing_each_member(seed):
    """A gang that fits would wait without end if they were too low."""
    rng = random.Random(seed)
    workers = [random_worker(rng, number) for number in range(6)]
    for worker in workers:
        worker.is_probed = worker.is_recorded = True
        worker.last_report_ms = 0
        if rng.random() < 0.3:
            worker.reserve(gang(1, 1_000))
        if rng.random() < 0.3:
            kept = scheduling.StepSpec(count=1, cpu=500, memory_mb=2)
            key = _jobs.TaskKey('k', 0, 0, 0)
            worker.keep_for(_jobs.Task(key=key, spec=kept))
        if rng.random() < 0.2:
            worker.starts_left = rng.randrange(2)
    members = random_members(rng, [w.info.id for w in workers])
    placement = _mixed_placement.MixedPlacement(
        scheduling.Scheduler(1, 1).pressure
    )
    placement.plan(workers, 0)
    fit = placement.fit_of_gang(members[0], 'p')
    placed = 0
    for member in members:
        worker = placement.select_worker(member, 'p')
        if worker is None:
            break
        placed += 1
        worker.add(
            _fleet.Run(
                key=member.key,
                number=1,
                spec=member.spec,
                phase=_fleet.RunPhase.STARTING,
                since_ms=0,
            )
        )
    assert fit.may_fit == (placed == len(members))


def test_every_waiting_gang_has_its_turn_within_the_stated_time():
    """Gangs that are placed in vain would use up each round."""
    budget = _gang_fit.GangBudget()
    checks = 3_000
    gangs = range(100)
    first_ms = {}
    now = 0
    while len(first_ms) < len(gangs):
        now += 50
        spent = 0
        for number in gangs:
            if budget.allows(number, now):
                budget.spend(number, checks)
                spent += checks
                first_ms.setdefault(number, now)
        assert spent <= _gang_fit.MAX_SAVED_CHECKS + checks
    limit_ms = len(gangs) * checks * 1_000 // _gang_fit.CHECKS_PER_S
    assert now <= limit_ms + 100


def test_gang_starts_although_others_are_placed_in_vain(make, counted):
    """Gangs whose last member fits nowhere were placed in each round."""
    harness = make.Harness(workers=20)
    placement = harness.scheduler._task_starter.placement
    select = placement.select_worker
    placement.select_worker = lambda task, pool: (
        None
        if task.spec.image == 'slow' and task.key.index == 999
        else select(task, pool)
    )
    for number in range(4):
        harness.add(
            f'a{number}', gang(1_000, 1, is_filling=True, image='slow')
        )
    harness.add('b', gang(10, 1))
    began_ms = harness.now
    started = []
    while not started:
        harness.now += 50
        for name in harness.infos:
            harness.poll(name)
        started = harness.decide()[0]
    assert {start.key.job for start in started} == {'b'}
    assert harness.now - began_ms <= 2_000 + 100
    before = counted['select_worker']
    for _ in range(40):
        harness.now += 50
        harness.decide()
    assert counted['select_worker'] - before <= 5_000


def test_room_is_kept_for_gangs_of_any_size():
    """A gang that fits waited after a smaller one with equal demands."""
    rng = random.Random(1)
    workers = [random_worker(rng, number) for number in range(3)]
    for worker in workers:
        worker.is_probed = worker.is_recorded = True
        worker.last_report_ms = 0
        worker.update_info(dataclasses.replace(worker.info, cpu=100_000))
    placement = _mixed_placement.MixedPlacement(
        scheduling.Scheduler(1, 1).pressure
    )
    placement.plan(workers, 0)
    for count in (2, 100):
        spec = gang(count, 1_000, image='x')
        spec = dataclasses.replace(spec, memory_mb=0)
        key = _jobs.TaskKey(f'g{count}', 0, 0, 0)
        fit = placement.fit_of_gang(_jobs.Task(key=key, spec=spec), 'p')
        assert fit.may_fit
