"""Test the room that is kept for overdue batch tasks."""

import collections
import heapq
import random

import pytest

from oriolestand_policy import batch

MAX_RUN = 20
"""Longest run time of a small task, in steps of the simulation."""


class Cell(batch.Workers):
    """Workers of one pool with tasks that run for a number of steps."""

    def __init__(self, workers=4, slots=4):
        self.now = 0
        self.index = batch.WorkerIndex()
        self.queue = batch.TaskQueue()
        for number in range(workers):
            self.index.set_worker(
                batch.WorkerSpec(
                    address=f'w{number}', slots=slots, memory_mb=100
                )
            )
        self.running = []
        self.run_steps = {}
        self.started_at = {}
        self.worker_of = {}
        self.order = []
        self.busy = collections.Counter()

    def put(self, name, slots=1, run=5, team='a', priority=0, memory_mb=0):
        self.run_steps[name] = run
        self.queue.put(
            batch.QueuedTask(
                name=name,
                team=team,
                priority=priority,
                pool='p',
                demand=batch.Demand(slots=slots, memory_mb=memory_mb),
            )
        )

    def step(self):
        """End the tasks that are due, then start what can be placed."""
        self.now += 1
        while self.running and self.running[0][0] <= self.now:
            _, _, entry, worker = heapq.heappop(self.running)
            self.index.release(worker, entry.demand)
            self.queue.release_slots(entry.team, entry.demand.slots, 'p')
        while found := self.queue.take(self):
            entry, worker = found
            self.index.take(worker, entry.demand)
            due = self.now + self.run_steps[entry.name]
            heapq.heappush(self.running, (due, len(self.order), entry, worker))
            self.started_at[entry.name] = self.now
            self.worker_of[entry.name] = worker
            self.order.append(entry.name)
        for _, _, entry, _ in self.running:
            self.busy[entry.team] += entry.demand.slots

    def room_of(self, name):
        """Return the worker that is kept for a task, or None."""
        for room in self.queue.rooms:
            if room.task.name == name:
                return room.address
        return None

    def find(self, task, rooms):
        def may_use(address):
            return address not in rooms or self.index.leaves_free(
                address, task.demand, rooms[address]
            )

        return self.index.choose(task.demand, self.now, task.avoid, may_use)

    def can_run(self, task):
        return self.index.can_run(task.demand)

    def find_room(self, task, rooms):
        return self.index.choose_room(
            task.demand, self.now, lambda a: None if a in rooms else 99
        )

    def can_keep(self, task, address):
        return self.index.can_host(address, task.demand, self.now)


def keep_room(cell, name='large', slots=4, **kw):
    """Fill the workers and overtake a task until room is kept for it.

    The workers stay full of tasks that end one after another.
    """
    for number in range(16):
        cell.put(f'first{number}', run=3 + number)
    cell.step()
    cell.put(name, slots, **kw)
    for number in range(400):
        if cell.room_of(name):
            return
        cell.put(f'next{number}', run=16)
        cell.step()
    raise AssertionError('no room was kept')


@pytest.mark.parametrize('seed', range(10))
def test_large_tasks_start_within_a_bound_beside_small_ones(seed):
    """A stream of small tasks must not hold up a large one.

    It may be overtaken MAX_OVERTAKES times; then it starts once the tasks on
    the worker that is kept for it have ended.
    """
    rng = random.Random(seed)
    cell = Cell()
    room_since, overtaken, waits = {}, {}, {}
    for now in range(3_000):
        for number in range(rng.randrange(3)):
            cell.put(
                f'small{now}-{number}',
                rng.choice((1, 1, 1, 2)),
                rng.randint(1, MAX_RUN),
                memory_mb=rng.choice((0, 1, 2)),
            )
        if now % 100 == 50:
            cell.put(f'large{now}', 4)
            overtaken[f'large{now}'] = 0
        before = len(cell.order)
        cell.step()
        for name in overtaken:
            address = cell.room_of(name)
            if address:
                room_since.setdefault(name, now)
            if name not in waits and name in cell.started_at:
                waits[name] = now - room_since.get(name, now)
            elif name not in waits and not address:
                overtaken[name] += sum(
                    int(other[5:].partition('-')[0]) > int(name[5:])
                    for other in cell.order[before:]
                )
    assert len(waits) == 30
    assert room_since
    assert max(waits.values()) <= MAX_RUN
    assert max(overtaken.values()) <= batch.MAX_OVERTAKES


def test_worker_with_room_gets_no_task_that_would_take_it():
    """Tasks that start on the kept worker would delay the one it is for."""
    cell = Cell()
    keep_room(cell)
    address = cell.room_of('large')
    placed = len(cell.order)
    for number in range(40):
        cell.put(f'more{number}')
        cell.step()
        if 'large' in cell.started_at:
            break
        for name in cell.order[placed:]:
            assert cell.worker_of[name] != address
    assert cell.worker_of['large'] == address
    assert cell.queue.rooms == ()


def test_room_is_on_the_worker_that_lacks_the_least():
    """A wait for the busiest worker would be longer than needed."""
    cell = Cell(workers=2, slots=4)
    for _ in range(3):
        cell.index.take('w0', batch.Demand())
    cell.index.take('w1', batch.Demand())
    for slots, worker in ((4, 'w1'), (3, 'w1')):
        demand = batch.Demand(slots=slots)
        assert cell.index.choose_room(demand, 0, lambda a: 99) == worker
    assert cell.index.choose_room(demand, 0, {'w0': 1}.get) == 'w0'


def test_slots_that_the_room_does_not_need_are_used():
    """Room for a task that lacks memory must not idle all slots."""
    cell = Cell(workers=1, slots=4)
    cell.index.take('w0', batch.Demand(memory_mb=60))
    cell.put('large', memory_mb=60)
    for number in range(batch.MAX_OVERTAKES + 1):
        cell.put(f'small{number}', run=1)
        cell.step()
    assert cell.room_of('large') == 'w0'
    cell.put('other', run=1)
    cell.put('other with memory', run=1, memory_mb=1)
    cell.step()
    assert 'other' in cell.started_at
    assert 'other with memory' not in cell.started_at


def test_task_that_can_never_fit_holds_up_nobody():
    """Room for a task that no worker could run would never be given back."""
    orders = []
    for has_misfit in (False, True):
        rng = random.Random(7)
        cell = Cell()
        if has_misfit:
            cell.put('misfit', 5)
            cell.put('misfit in memory', 1, memory_mb=101)
        for now in range(300):
            for number in range(rng.randrange(4)):
                cell.put(f'{now}-{number}', 1, rng.randint(1, MAX_RUN))
            if now % 50 == 25:
                cell.put(f'large{now}', 4)
            cell.step()
        assert sum(name.startswith('large') for name in cell.order) == 6
        orders.append(cell.order)
    assert orders[0] == orders[1]


def test_room_moves_when_its_worker_leaves():
    """Room on a worker that left would never become free."""
    cell = Cell()
    keep_room(cell)
    former = cell.room_of('large')
    cell.index.set_excluded(frozenset({former}))
    cell.put('more')
    cell.step()
    assert cell.room_of('large') not in (None, former)
    for number in range(MAX_RUN):
        cell.put(f'more{number}')
        cell.step()
    assert cell.worker_of['large'] not in (None, former)


def test_team_with_its_share_in_another_pool_still_gets_room():
    """Its slots elsewhere may never become free; it would wait for good."""
    cell = Cell()
    cell.queue.take_slots('a', 50, 'other pool')
    for number in range(16):
        cell.put(f'first{number}', run=3 + number, team='other')
    cell.step()
    cell.put('large', 4)
    for number in range(200):
        cell.put(f'small{number}', run=MAX_RUN - number % 7, team='other')
        cell.put(f'more{number}', run=MAX_RUN - number % 5, team='other')
        cell.step()
    assert 'large' in cell.started_at


def test_room_moves_although_another_team_comes_first():
    """A team that had room when it came first must not wait a second time."""
    cell = Cell()
    keep_room(cell)
    former = cell.room_of('large')
    cell.put('of other', 4, team='other')
    cell.index.set_excluded(frozenset({former}))
    cell.step()
    assert cell.room_of('large') not in (None, former)


def test_room_is_given_back_when_no_worker_is_left_for_the_task():
    """Only the worker that left could run it: others must not wait for it."""
    cell = Cell()
    cell.index.set_worker(
        batch.WorkerSpec(address='big', slots=8, memory_mb=100)
    )
    cell.index.take('big', batch.Demand(slots=8))
    keep_room(cell, slots=6)
    cell.put('second', 4)
    for number in range(batch.MAX_OVERTAKES + 4):
        cell.put(f'young{number}', run=100)
        cell.step()
    assert cell.room_of('large') == 'big'
    cell.index.set_excluded(frozenset({'big'}))
    cell.put('more')
    cell.step()
    assert cell.room_of('large') is None
    assert cell.room_of('second') is not None


def test_room_is_given_back_when_the_task_is_gone():
    """Room for a cancelled task would hold up others for good."""
    cell = Cell()
    keep_room(cell)
    cell.queue.remove('large')
    assert cell.queue.rooms == ()
    assert cell.queue._kept['a'] == 0


def test_room_is_given_back_when_the_task_starts_elsewhere():
    """A task needs no room after it has started on another worker."""
    cell = Cell()
    keep_room(cell)
    cell.index.set_worker(batch.WorkerSpec(address='new', slots=4))
    cell.step()
    assert cell.worker_of['large'] == 'new'
    assert cell.queue.rooms == ()


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('large_team', ['heavy', 'light'])
def test_teams_keep_their_shares_beside_overdue_tasks(seed, large_team):
    """A team with many overdue tasks must not get more than its share."""
    rng = random.Random(seed)
    cell = Cell(workers=10)
    cell.queue.set_team('heavy', weight=3)
    cell.queue.set_team('light', weight=1)
    for number in range(4_000):
        for team in ('heavy', 'light'):
            slots = 1
            if team == large_team and rng.random() < 0.2:
                slots = 4
            run = rng.randint(1, MAX_RUN)
            cell.put(f'{team}{number}', slots, run, team)
    for _ in range(600):
        cell.step()
    share = cell.busy['heavy'] / cell.busy.total()
    assert 0.71 <= share <= 0.79
    assert cell.busy.total() >= 0.85 * 600 * 40


@pytest.mark.parametrize('workers', [2, 4, 10])
def test_large_tasks_of_a_light_team_do_not_take_a_small_pool(workers):
    """A team above its share must not get room while another one waits.

    One task at a time is more than a tenth of a small pool, but no more.
    """
    rng = random.Random(1)
    cell = Cell(workers)
    cell.queue.set_team('heavy', weight=9)
    cell.queue.set_team('light', weight=1)
    for number in range(6_000):
        cell.put(f'heavy{number}', 1, rng.randint(1, MAX_RUN), 'heavy')
        cell.put(f'light{number}', 2, rng.randint(1, MAX_RUN), 'light')
    for _ in range(1_000):
        cell.step()
    share = max(0.1, 2 / (4 * workers))
    assert 0.9 * share <= cell.busy['light'] / cell.busy.total()
    assert cell.busy['light'] / cell.busy.total() <= 1.1 * share


@pytest.mark.parametrize('slots_elsewhere', [0, 50])
def test_team_above_its_share_holds_back_its_younger_tasks(slots_elsewhere):
    """Otherwise it would never have no slots in use, and no room.

    The task of the other team waits for a worker that does not become free.
    """
    cell = Cell()
    cell.index.set_worker(
        batch.WorkerSpec(address='big', slots=8, memory_mb=1_000)
    )
    cell.index.take('big', batch.Demand(slots=8))
    keep_room(cell, 'of other', 8, team='other')
    cell.queue.take_slots('a', slots_elsewhere, 'other pool')
    cell.put('large', 4)
    for number in range(batch.MAX_OVERTAKES + 2 * MAX_RUN):
        cell.put(f'young{number}', run=MAX_RUN)
        cell.step()
    assert 'large' in cell.started_at


def test_urgent_task_uses_room_of_a_less_urgent_one():
    """Room for a task must not hold up more urgent ones."""
    cell = Cell(workers=1)
    for number in range(4):
        cell.put(f'first{number}', run=100 if number else 1)
    cell.put('large', 4)
    cell.step()
    cell.step()
    for number in range(batch.MAX_OVERTAKES + 1):
        cell.put(f'next{number}', run=1)
        cell.step()
    assert cell.room_of('large') == 'w0'
    cell.put('urgent', priority=9)
    cell.put('other', team='b')
    cell.step()
    assert 'urgent' in cell.started_at
    assert 'other' not in cell.started_at


def test_task_over_the_quota_of_its_team_holds_up_only_its_team():
    """Small tasks of a team must not use up its quota for good."""
    cell = Cell(workers=2)
    cell.queue.set_team('a', quota=2)
    cell.put('long', run=100)
    cell.put('large', 2)
    for number in range(batch.MAX_OVERTAKES + 5):
        cell.put(f'small{number}', run=1)
        cell.put(f'other{number}', run=1, team='b')
        cell.step()
    assert 'small0' in cell.started_at
    assert f'small{batch.MAX_OVERTAKES + 4}' not in cell.started_at
    assert f'other{batch.MAX_OVERTAKES + 4}' in cell.started_at
    for _ in range(100):
        cell.step()
    assert 'large' in cell.started_at


def test_task_larger_than_the_quota_of_its_team_holds_up_nobody():
    """It can never start, so the team would never start anything again."""
    cell = Cell()
    cell.queue.set_team('a', quota=2)
    cell.put('large', 3)
    for number in range(2 * batch.MAX_OVERTAKES):
        cell.put(f'small{number}', run=1)
        cell.step()
    assert len(cell.order) == 2 * batch.MAX_OVERTAKES


def test_room_is_given_back_when_the_quota_is_used_up():
    """A quota that was lowered must not keep a worker empty."""
    cell = Cell()
    keep_room(cell)
    cell.queue.set_team('a', quota=4)
    cell.step()
    assert cell.queue.rooms == ()


def test_kept_room_counts_as_in_use_by_the_team():
    """A team must not get its share and room beside it."""
    cell = Cell()
    keep_room(cell)
    cell.queue.take_slots('b', cell.queue._in_use['a'] + 2)
    cell.index.set_worker(batch.WorkerSpec(address='new', slots=1))
    cell.put('of a')
    cell.put('of b', team='b')
    cell.queue.remove('next')
    assert cell.queue.take(cell)[0].team == 'b'


def test_room_stays_with_the_oldest_overdue_task():
    """Room that goes from one task to the next is of use to none."""
    cell = Cell()
    keep_room(cell)
    address = cell.room_of('large')
    cell.put('second', 3)
    for number in range(batch.MAX_OVERTAKES + 2):
        cell.put(f'young{number}', run=1)
        cell.step()
        if 'large' in cell.started_at:
            break
        assert cell.room_of('large') == address
    assert cell.worker_of['large'] == address


def test_class_that_fits_no_worker_is_looked_up_once():
    """Lookups for the same class of many teams would add up."""
    cell = Cell(workers=1)
    cell.index.take('w0', batch.Demand(slots=4))
    calls = []
    find = cell.find
    cell.find = lambda *args: calls.append(args) or find(*args)
    for number in range(50):
        cell.put(f'{number}', team=f't{number}')
    assert cell.queue.take(cell) is None
    assert len(calls) == 1


def test_teams_without_slots_in_use_take_turns():
    """A team whose tasks end before the next one starts has a load of 0."""
    queue = batch.TaskQueue()
    cell = Cell()
    cell.queue = queue
    cell.put('b', team='b')
    for number in range(3):
        cell.put(f'a{number}', team='a')
        entry, _ = queue.take(lambda task: 'w')
        queue.release_slots(entry.team, 1, 'p')
        if entry.name == 'b':
            return
    raise AssertionError('the task of the other team never started')


def test_task_that_is_put_back_keeps_its_place_and_overtook_nobody():
    """Refused requests for slots must neither make tasks overdue nor young."""
    cell = Cell()
    cell.put('first', memory_mb=1)
    for name in ('second', 'third'):
        cell.put(name)
    large = batch.QueuedTask(
        name='large',
        team='b',
        priority=0,
        pool='p',
        demand=batch.Demand(slots=9),
    )
    cell.queue.put(large)
    cell.put('young')
    for _ in range(3 * batch.MAX_OVERTAKES):
        entry, _ = cell.queue.take(cell)
        assert entry.name == 'first'
        cell.queue.put_back(entry)
    assert cell.queue._started['p'] == []
    assert cell.queue._in_use['a'] == 0
    taken = [cell.queue.take(cell)[0].name for _ in range(4)]
    assert taken == ['first', 'second', 'third', 'young']


@pytest.mark.parametrize('waiting', [500, 2_000, 10_000])
def test_lookups_of_a_decision_do_not_grow_with_what_waits(waiting):
    """A decision must not look at each overdue task."""
    cell = Cell()
    keep_room(cell)
    for number in range(waiting):
        cell.put(f'old{number}', 4 - number % 3)
    for number in range(batch.MAX_OVERTAKES + 2):
        cell.put(f'more{number}', run=1)
        cell.step()
    calls = collections.Counter()
    for name in ('find', 'find_room', 'can_run', 'can_keep'):
        function = getattr(cell, name)

        def count(*args, name=name, function=function):
            calls[name] += 1
            return function(*args)

        setattr(cell, name, count)
    cell.queue.take(cell)
    assert calls.total() <= 10
