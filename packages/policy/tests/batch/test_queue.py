"""Test the order of queued tasks and the choice of workers."""

import random

from oriolestand_policy import batch

SMALL = batch.Demand()
BIG = batch.Demand(slots=4)


def entry(name, team='t', priority=0, demand=SMALL):
    return batch.QueuedTask(
        name=name, team=team, priority=priority, demand=demand, pool='p'
    )


def test_priority_takes_precedence_over_fair_share():
    """Many less urgent tasks must not delay an urgent one."""
    queue = batch.TaskQueue()
    for i in range(100):
        queue.put(entry(f'low{i}'))
    queue.put(entry('urgent', priority=9))
    assert queue.take(lambda task: 'w')[0].name == 'urgent'


def test_teams_get_slots_by_weight():
    """A team with many tasks must not starve one with few."""
    queue = batch.TaskQueue()
    queue.set_team('a', weight=3)
    queue.set_team('b', weight=1)
    for i in range(1_000):
        queue.put(entry(f'a{i}', 'a'))
        queue.put(entry(f'b{i}', 'b'))
    taken = [queue.take(lambda task: 'w')[0].team for _ in range(100)]
    assert 74 <= taken.count('a') <= 76


def test_quota_limits_the_slots_of_a_team():
    """A team must stay within its quota even when workers are idle."""
    queue = batch.TaskQueue()
    queue.set_team('a', quota=4)
    for i in range(3):
        queue.put(entry(str(i), 'a', demand=BIG))
    assert queue.take(lambda task: 'w') is not None
    assert queue.take(lambda task: 'w') is None
    queue.release_slots('a', 4)
    assert queue.take(lambda task: 'w') is not None


def test_unplaceable_demand_class_does_not_block_others():
    """A large task at the head of the queue must not block small ones."""
    queue = batch.TaskQueue()
    queue.put(entry('big', demand=BIG))
    queue.put(entry('small'))
    taken = queue.take(lambda task: 'w' if task.demand == SMALL else None)
    assert taken[0].name == 'small'


def count_lookups(tasks, workers):
    """Return the number of worker lookups for 50 placements."""
    calls = [0]
    queue = batch.TaskQueue()
    index = batch.WorkerIndex()
    for i in range(workers):
        index.set_worker(batch.WorkerSpec(address=f'w{i}', slots=8))
    for i in range(tasks):
        demand = (SMALL, BIG)[i % 2]
        queue.put(entry(str(i), f'team{i % 78}', i % 3, demand))

    def choose_worker(task):
        calls[0] += 1
        return index.choose(task.demand, 0)

    for _ in range(50):
        task, worker = queue.take(choose_worker)
        index.take(worker, task.demand)
    return calls[0]


def test_lookups_per_placement_are_constant():
    """The number of lookups must not grow with that of tasks or workers."""
    assert count_lookups(1_000, 60) == 50
    assert count_lookups(100_000, 60) == 50
    assert count_lookups(1_000, 6_000) == 50


def test_failing_worker_is_ejected_after_five_jobs_then_probed():
    """A worker on which five jobs failed must be ejected, then probed once.

    The probe is a task; no second one may start while the first one runs.
    """
    index = batch.WorkerIndex()
    index.set_worker(batch.WorkerSpec(address='bad', slots=8))
    for i in range(5):
        assert index.choose(SMALL, 0) == 'bad'
        index.record_result('bad', f'job{i}', True, 0)
    assert index.choose(SMALL, 0) is None
    assert index.choose(SMALL, 10_000) == 'bad'
    index.take('bad', SMALL)
    assert index.choose(SMALL, 10_000) is None
    index.release('bad', SMALL)
    index.record_result('bad', 'job9', False, 10_000)
    assert index.choose(SMALL, 10_000) == 'bad'


def test_one_failing_job_ejects_no_worker():
    """Retries of a failing job must not count as failures of the worker."""
    index = batch.WorkerIndex()
    index.set_worker(batch.WorkerSpec(address='w', slots=8))
    for _ in range(20):
        index.record_result('w', 'bad-job', True, 0)
    assert index.choose(SMALL, 0) == 'w'


def test_memory_and_accelerators_limit_a_worker():
    """A worker must not be given more than it has of any resource."""
    index = batch.WorkerIndex()
    spec = batch.WorkerSpec(
        address='w', slots=8, accelerators=1, memory_mb=1_000
    )
    index.set_worker(spec)
    demand = batch.Demand(accelerators=1, memory_mb=600)
    assert index.choose(demand, 0) == 'w'
    index.take('w', demand)
    assert index.choose(demand, 0) is None
    assert index.choose(batch.Demand(memory_mb=401), 0) is None
    assert index.choose(batch.Demand(memory_mb=400), 0) == 'w'


def test_unplaceable_reason_names_the_missing_resource():
    """A job that can never run must be reported with the reason."""
    specs = [
        batch.WorkerSpec(address='a', slots=8, accelerators=2),
        batch.WorkerSpec(address='b', slots=8, memory_mb=9),
    ]
    assert batch.unplaceable_reason(SMALL, specs, 'p') == ''
    assert batch.unplaceable_reason(SMALL, [], 'p') == ''
    assert '3 accelerators' in batch.unplaceable_reason(
        batch.Demand(accelerators=3), specs, 'p'
    )
    both = batch.Demand(accelerators=1, memory_mb=1)
    assert 'single worker' in batch.unplaceable_reason(both, specs, 'p')


def test_random_changes_keep_the_queue_consistent():
    """Removals in any order must leave no empty team or priority level."""
    rng = random.Random(1)
    queue = batch.TaskQueue()
    names = set()
    for i in range(2_000):
        if names and rng.random() < 0.5:
            name = rng.choice(sorted(names))
            names.remove(name)
            queue.remove(name)
        else:
            names.add(str(i))
            queue.put(entry(str(i), f't{i % 5}', i % 3))
    for name in names:
        queue.remove(name)
    assert len(queue) == 0
    assert queue._levels == {} and queue._priorities == []
