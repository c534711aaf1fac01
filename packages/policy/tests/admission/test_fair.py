"""Test the shares and load shedding of the fair queue."""

import collections

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import tables

SERVICE, BATCH = tables.Kind.SERVICE, tables.Kind.BATCH
NOW = core.Millis(0)


def ticket(
    name: str,
    team: str = 't',
    kind: tables.Kind = SERVICE,
    priority: int = 0,
    deadline: int = 10_000,
) -> admission.Ticket:
    return admission.Ticket(
        id=name,
        pool='p',
        team=team,
        kind=kind,
        priority=priority,
        arrived=NOW,
        deadline=core.Millis(deadline),
    )


def queue(limit: int = 100, total: int = 12) -> admission.FairQueue:
    fair_queue = admission.FairQueue(
        limit, admission.ShareConfig(service_share=0.5)
    )
    fair_queue.set_total_slots(total)
    return fair_queue


def serve(
    fair_queue: admission.FairQueue, count: int
) -> collections.Counter[str]:
    """Start up to ``count`` queued requests; return the starts by team."""
    started: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        request = fair_queue.take(NOW, 1)
        if request is None:
            break
        fair_queue.record_start(request.kind, request.team, 1)
        started[request.team] += 1
    return started


def test_slots_follow_the_weights() -> None:
    """A team with a long queue must not get more than its weighted share."""
    fair_queue = queue()
    fair_queue.set_weights((('heavy', 2),))
    for number in range(30):
        fair_queue.offer(ticket(f'a{number}', 'flood'), NOW)
    for number in range(10):
        fair_queue.offer(ticket(f'b{number}', 'heavy'), NOW)
    assert serve(fair_queue, 6) == {'flood': 2, 'heavy': 4}


def test_kinds_share_under_load() -> None:
    """A burst of one kind must leave the other its share."""
    fair_queue = queue()
    for number in range(20):
        fair_queue.offer(ticket(f's{number}', 'svc'), NOW)
        fair_queue.offer(ticket(f'b{number}', 'bat', BATCH), NOW)
    assert serve(fair_queue, 12) == {'svc': 6, 'bat': 6}


def test_higher_priority_is_served_first_within_a_team() -> None:
    """An urgent request must overtake earlier ones of its team."""
    fair_queue = queue()
    fair_queue.offer(ticket('low'), NOW)
    fair_queue.offer(ticket('high', priority=1), NOW)
    taken = fair_queue.take(NOW, 12)
    assert taken is not None
    assert taken.id == 'high'


def test_full_queue_sheds_from_the_longest_team_queue() -> None:
    """A burst of one team must not fill the queue for other teams."""
    fair_queue = queue(limit=4)
    for number in range(4):
        assert not fair_queue.offer(ticket(f'a{number}', 'flood'), NOW)
    assert [t.id for t in fair_queue.offer(ticket('b', 'other'), NOW)] == [
        'a3'
    ]
    assert [t.id for t in fair_queue.offer(ticket('c', 'flood'), NOW)] == ['c']


def occupy_slots(
    fair_queue: admission.FairQueue, mean_ms: float = 100.0
) -> None:
    """Occupy all slots and record the mean time a slot is held."""
    fair_queue.record_start(SERVICE, 't', 13)
    fair_queue.record_end(SERVICE, 't', 1, mean_ms)


def test_request_that_cannot_meet_its_deadline_is_shed_on_arrival() -> None:
    """A request must not be queued when it cannot meet its deadline."""
    fair_queue = queue()
    occupy_slots(fair_queue)
    assert fair_queue.offer(ticket('late', deadline=50), NOW)
    assert not fair_queue.offer(ticket('soon'), NOW)


def test_wait_of_services_is_bounded() -> None:
    """In a burst, requests beyond the maximum wait must be shed."""
    fair_queue = queue()
    occupy_slots(fair_queue)
    shed = [fair_queue.offer(ticket(f'r{n}'), NOW) for n in range(100)]
    assert sum(bool(refused) for refused in shed) > 80
    assert fair_queue.retry_after_ms(ticket('r')) > 100


def test_expire_and_cancel() -> None:
    """An expired or cancelled request must not be served."""
    fair_queue = queue()
    fair_queue.offer(ticket('a', deadline=10), NOW)
    fair_queue.offer(ticket('b'), NOW)
    assert fair_queue.cancel('b')
    assert not fair_queue.cancel('b')
    assert [t.id for t in fair_queue.expire(core.Millis(10))] == ['a']
    assert not len(fair_queue)
    assert fair_queue.take(NOW, 12) is None


def test_team_with_unmet_demand_takes_precedence() -> None:
    """Queued batch requests must not starve another team's tasks."""
    fair_queue = queue()
    fair_queue.record_start(BATCH, 'greedy', 3)
    fair_queue.record_unmet_demand('starved', 1)
    fair_queue.offer(ticket('r', 'greedy', BATCH), NOW)
    assert fair_queue.take(NOW, 12) is None
    assert not fair_queue.may_reserve('greedy', 1, 12)
    assert fair_queue.may_reserve('starved', 1, 12)
    fair_queue.tick(core.Millis(60_000))
    assert fair_queue.take(NOW, 12) is not None
