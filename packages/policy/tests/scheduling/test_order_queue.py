"""Tests of the order in which an owner sends its orders."""

import random

from oriolestand_policy import scheduling

SERVICE = {'needs_record': True}
MAX_GANG_MS = 1_000
"""Leaves two thirds of a lease of 6 s for passes and polls."""


class _Sender:
    """Sends orders that take ``cost_ms`` each."""

    def __init__(self, cost_ms):
        self.cost_ms = cost_ms
        self.now_ms = 0
        self.sent = []

    def send(self, order):
        self.sent.append(order)
        self.now_ms += self.cost_ms

    def time(self):
        return self.now_ms


def make_key(index):
    return scheduling.TaskKey('5c0e', 0, 0, index)


def make_start(index, run=7, **kwargs):
    return scheduling.StartTask(
        worker='w',
        key=make_key(index),
        run=run,
        payload='',
        checkpoint='',
        **kwargs,
    )


def make_stop(index):
    return scheduling.StopTask(
        worker='w', key=make_key(index), run=7, reason='cancelled'
    )


def make_pace(index):
    return scheduling.PaceTask(
        worker='w', key=make_key(index), run=7, percent=0
    )


def take_all(queue):
    taken = []
    while (order := queue.take()) is not None:
        taken.append(order)
    return taken


def test_orders_are_sent_by_what_they_promise():
    # Cancelled tasks ran on, and services stayed away, behind batch starts.
    queue = scheduling.OrderQueue()
    expected = [
        make_stop(0),
        make_stop(1),
        make_pace(2),
        make_start(3, **SERVICE),
        make_start(4),
        make_start(5),
    ]
    for index in (4, 0, 3, 1, 5, 2):
        queue.add(expected[index])
    ranks = [expected.index(order) for order in take_all(queue)]
    assert ranks == [0, 1, 2, 3, 4, 5]


def test_orders_beyond_the_budget_wait():
    # A burst of starts kept the event loop from reading reports.
    queue = scheduling.OrderQueue()
    for index in range(10):
        queue.add(make_start(index))
    sender = _Sender(cost_ms=3)
    assert queue.send(sender.send, sender.time, budget_ms=20)
    assert len(sender.sent) == 7
    queue.add(make_stop(20))
    assert not queue.send(sender.send, sender.time, budget_ms=20)
    assert sender.sent[7] == make_stop(20)
    assert [order.key.index for order in sender.sent[8:]] == [7, 8, 9]


def test_members_of_a_gang_are_sent_together():
    # Members wait up to 3 s for each other, and a pass of a busy owner may
    # take a second.
    queue = scheduling.OrderQueue()
    for index in range(12):
        queue.add(make_start(index, is_gang=index >= 2))
    queue.add(make_start(12))
    sender = _Sender(cost_ms=7)
    assert queue.send(sender.send, sender.time, budget_ms=20)
    assert [order.key.index for order in sender.sent] == list(range(12))


def test_starts_of_a_gang_are_marked(harness):
    # The queue would send the members in passes that are seconds apart.
    steps = [
        scheduling.StepSpec(count=3, cpu=1_000, is_gang=is_gang)
        for is_gang in (True, False)
    ]
    harness.add('5c0e', *steps)
    starts, _ = harness.decide()
    assert [start.is_gang for start in starts] == [True] * 3 + [False] * 3
    assert len({start.run for start in starts[:3]}) == 1


def test_large_gang_leaves_time_for_polls():
    # Leases would end while all members of a large gang are sent.
    queue = scheduling.OrderQueue()
    for index in range(2_000):
        queue.add(make_start(index, is_gang=True))
    sender = _Sender(cost_ms=4)
    assert queue.send(sender.send, sender.time, budget_ms=20)
    assert sender.now_ms <= MAX_GANG_MS + 4


def test_orders_behind_a_gang_wait():
    # Guards against a budget that counts for one order of a gang only.
    queue = scheduling.OrderQueue()
    gangs = [make_start(n, is_gang=True) for n in range(8)]
    other = make_start(8, is_gang=True, run=8)
    for order in [*gangs, other]:
        queue.add(order)
    sender = _Sender(cost_ms=7)
    assert queue.send(sender.send, sender.time, budget_ms=20)
    assert sender.sent == gangs


def test_an_order_that_exceeds_the_budget_is_sent():
    queue = scheduling.OrderQueue()
    queue.add(make_start(0))
    queue.add(make_start(1))
    sender = _Sender(cost_ms=50)
    assert queue.send(sender.send, sender.time, budget_ms=20)
    assert not queue.send(sender.send, sender.time, budget_ms=20)
    assert len(sender.sent) == 2


def test_withdrawn_starts_are_not_sent():
    # Guards against a start that is sent after its reason has gone.
    rng = random.Random(4)
    queue = scheduling.OrderQueue()
    waiting = {}
    for step in range(2_000):
        kind = rng.randrange(4)
        if kind < 2:
            start = make_start(step, needs_record=bool(rng.randrange(2)))
            queue.add(start)
            waiting[start.key] = start
        elif kind == 2 and waiting:
            key = rng.choice(list(waiting))
            del waiting[key]
            assert queue.withdraw('w', key, 7)
            assert not queue.withdraw('w', key, 7)
        else:
            order = queue.take()
            if order is None:
                assert not waiting
            else:
                assert waiting.pop(order.key) == order
        assert queue.start_count == len(waiting) == len(queue)
    assert {order.key for order in take_all(queue)} == set(waiting)
