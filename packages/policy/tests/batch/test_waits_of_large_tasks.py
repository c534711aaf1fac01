"""Test that queued batch tasks do not wait without end."""

from oriolestand_policy import batch


def entry(name, slots, memory_mb=0):
    """Return a queued task."""
    return batch.QueuedTask(
        name=name,
        team='a',
        priority=0,
        pool='p',
        demand=batch.Demand(slots=slots, memory_mb=memory_mb),
    )


def test_large_task_is_placed_beside_smaller_ones():
    # Guards against smaller tasks that take each slot as it becomes free.
    queue = batch.TaskQueue()
    free = 0
    queue.put(entry('large', 2))
    for number in range(100):
        queue.put(entry(f'small{number}', 1))
        free += 1
        placed = queue.take(
            lambda e, free=free: 'w' if e.demand.slots <= free else None
        )
        if placed is None:
            continue
        if placed[0].name == 'large':
            return
        free -= placed[0].demand.slots
    raise AssertionError('the large task was never placed')


def test_a_class_that_is_never_empty_does_not_hold_up_another():
    # Guards against an order by the first task of a class: a class that gets
    # new tasks for as long as it has some stays first for good.
    queue = batch.TaskQueue()
    queue.put(entry('a0', 1))
    queue.put(entry('b', 1, memory_mb=1))
    for number in range(1, 100):
        queue.put(entry(f'a{number}', 1))
        placed = queue.take(lambda e: 'w')
        if placed[0].name == 'b':
            return
    raise AssertionError('the task of the other class was never placed')
