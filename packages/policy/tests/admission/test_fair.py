"""Test shares and shedding of the fair queue."""

import collections

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import tables

S, B = tables.Kind.SERVICE, tables.Kind.BATCH
NOW = core.Millis(0)


def ticket(
    name: str,
    team: str = 't',
    kind: tables.Kind = S,
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
    one = admission.FairQueue(limit, admission.ShareConfig(service_share=0.5))
    one.set_total(total)
    return one


def serve(one: admission.FairQueue, count: int) -> collections.Counter[str]:
    """Start requests as slots come free; return the starts by team."""
    started: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        found = one.take(NOW, 1)
        if found is None:
            break
        one.note_start(found.kind, found.team, 1)
        started[found.team] += 1
    return started


def test_slots_follow_the_weights() -> None:
    """A team with a long line must not get more than its weight."""
    one = queue()
    one.set_weights((('heavy', 2),))
    for number in range(30):
        one.offer(ticket(f'a{number}', 'flood'), NOW)
    for number in range(10):
        one.offer(ticket(f'b{number}', 'heavy'), NOW)
    assert serve(one, 6) == {'flood': 2, 'heavy': 4}


def test_kinds_share_under_load() -> None:
    """A flood of one kind must leave the other its share."""
    one = queue()
    for number in range(20):
        one.offer(ticket(f's{number}', 'svc'), NOW)
        one.offer(ticket(f'b{number}', 'bat', B), NOW)
    assert serve(one, 12) == {'svc': 6, 'bat': 6}


def test_urgent_first_within_a_team() -> None:
    """Priority orders the requests of one team."""
    one = queue()
    one.offer(ticket('low'), NOW)
    one.offer(ticket('high', priority=1), NOW)
    taken = one.take(NOW, 12)
    assert taken is not None
    assert taken.id == 'high'


def test_full_queue_sheds_the_longest_line() -> None:
    """A flood must not take the places of other teams."""
    one = queue(limit=4)
    for number in range(4):
        assert not one.offer(ticket(f'a{number}', 'flood'), NOW)
    assert [t.id for t in one.offer(ticket('b', 'other'), NOW)] == ['a3']
    assert [t.id for t in one.offer(ticket('c', 'flood'), NOW)] == ['c']


def slow(one: admission.FairQueue, mean_ms: float = 100.0) -> None:
    """Let the team hold all slots, each for a known time."""
    one.note_start(S, 't', 13)
    one.note_end(S, 't', 1, mean_ms)


def test_hopeless_request_is_shed_on_arrival() -> None:
    """A request must not wait for a deadline that it cannot meet."""
    one = queue()
    slow(one)
    assert one.offer(ticket('late', deadline=50), NOW)
    assert not one.offer(ticket('soon'), NOW)


def test_wait_of_services_is_bounded() -> None:
    """In a flood, admitted requests must not wait much longer than usual."""
    one = queue()
    slow(one)
    shed = [one.offer(ticket(f'r{n}'), NOW) for n in range(100)]
    assert sum(bool(refused) for refused in shed) > 80
    assert one.retry_after_ms(ticket('r')) > 100


def test_expire_and_cancel() -> None:
    """A request that is gone must not be served."""
    one = queue()
    one.offer(ticket('a', deadline=10), NOW)
    one.offer(ticket('b'), NOW)
    assert one.cancel('b')
    assert not one.cancel('b')
    assert [t.id for t in one.expire(core.Millis(10))] == ['a']
    assert not len(one)
    assert one.take(NOW, 12) is None


def test_team_without_a_place_goes_first() -> None:
    """Waiting batch requests must not starve another team's tasks."""
    one = queue()
    one.note_start(B, 'greedy', 3)
    one.note_unmet('starved', 1)
    one.offer(ticket('r', 'greedy', B), NOW)
    assert one.take(NOW, 12) is None
    assert not one.may_reserve('greedy', 1, 12)
    assert one.may_reserve('starved', 1, 12)
    one.tick(core.Millis(60_000))
    assert one.take(NOW, 12) is not None
