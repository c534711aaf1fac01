"""Tests of the account of processors, and of why some are idle."""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _idle_account
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _pressure

PLAIN = scheduling.StepSpec(count=1, cpu=4_000)
FILLING = scheduling.StepSpec(
    count=1, cpu=4_000, is_filling=True, image='loud'
)
SERVICE = scheduling.StepSpec(
    count=2,
    cpu=2_000,
    is_service=True,
    image='web',
    target_ms=100,
    max_per_worker=1,
)
WORKER_CPU = 10_000


def uses_of(harness):
    """Return the amounts by the name of the use, without zeros."""
    account = harness.scheduler.idle_account(harness.now)['p']
    assert sum(account.uses.values()) == account.size_cpu
    return {use.value: cpu for use, cpu in account.uses.items() if cpu}


def start(harness, job, spec):
    """Start the tasks of a job."""
    harness.add(job, spec)
    starts, _ = harness.decide()
    assert len(starts) == spec.count
    for one in starts:
        harness.answer(one)
    return starts


def start_services(harness, make, measured):
    """Start a service task on each worker and report its tail latency."""
    starts = start(harness, 'svc', SERVICE)
    for tail in (1, measured, measured):
        harness.now += 1_000
        for one in starts:
            harness.poll(one.worker, [make.report(one, measured=tail)])


def wait(harness, spec):
    """Add a task that is not started; return the uses."""
    harness.add('waiting', spec)
    assert harness.decide()[0] == []
    return uses_of(harness)


def test_account_tells_the_kinds_of_runs(harness, make):
    # Guards against runs that are counted with the wrong kind, and filling
    # tasks that are counted as if they ran at full pace.
    start(harness, 'service', dataclasses.replace(SERVICE, target_ms=0))
    start(harness, 'plain', dataclasses.replace(PLAIN, count=2))
    (filling,) = start(harness, 'filling', FILLING)
    worker = harness.scheduler.workers[filling.worker]
    worker.set_pace(worker.runs[(filling.key, filling.run)], 50)
    assert uses_of(harness) == {
        'service': 2_200,
        'plain': 8_000,
        'filling': 2_000,
        'no_task': 7_800,
    }


def test_account_tells_what_is_kept_for_waiting_tasks(harness):
    # Guards against idle processors that nothing else may use and that look
    # as if they were left over.
    w0, w1 = harness.scheduler.workers.values()
    w0.reserve(PLAIN)
    harness.add('kept', FILLING)
    w1.keep_for(next(iter(harness.scheduler._cell.ready)))
    harness.scheduler.cancel_job('kept', harness.now)
    assert uses_of(harness) == {'reserved': 8_000, 'no_task': 12_000}


def test_overcommitted_worker_is_not_counted_twice(harness):
    # Guards against uses beyond the size while plain tasks displace filling
    # ones.
    harness.scheduler.workers['w1'].is_evacuated = True
    start(harness, 'filling', dataclasses.replace(FILLING, count=2))
    start(harness, 'plain', dataclasses.replace(PLAIN, count=2))
    assert uses_of(harness) == {
        'plain': 8_000,
        'filling': 2_000,
        'evacuated': 10_000,
    }


@pytest.mark.parametrize(
    ('spec', 'use'),
    [
        ({'cpu': 11_000}, 'too_small'),
        ({'cpu': 11_000, 'is_filling': True}, 'too_small'),
        ({'memory_mb': 11_000}, 'memory'),
        ({'memory_mb': 11_000, 'is_filling': True}, 'memory'),
        ({'label': 'ssd'}, 'unsuitable'),
        ({'accelerators': 1}, 'unsuitable'),
        # The room for a gang or a service is no question of pieces.
        ({'cpu': 11_000, 'is_gang': True, 'count': 2}, 'no_task'),
        ({'cpu': 11_000, 'is_service': True}, 'no_task'),
    ],
)
def test_account_tells_what_tasks_lack(harness, spec, use):
    # Guards against a wrong cause of idle processors beside waiting tasks.
    spec = dataclasses.replace(PLAIN, **spec)
    assert wait(harness, spec) == {use: 2 * WORKER_CPU}


def test_idle_processors_of_services_are_none_for_plain_tasks(harness):
    # Guards against looking for a smaller plain task where services request
    # what they leave idle.
    spec = dataclasses.replace(SERVICE, cpu=8_000, target_ms=0)
    start(harness, 'service', spec)
    assert wait(harness, PLAIN) == {
        'service': 8_800,
        'service_claim': 7_200,
        'too_small': 4_000,
    }


def test_memory_that_is_reserved_keeps_processors_idle(harness):
    # Guards against "memory" where memory is free and reserved.
    for worker in harness.scheduler.workers.values():
        worker.reserve(dataclasses.replace(PLAIN, cpu=0, memory_mb=9_000))
    spec = dataclasses.replace(FILLING, memory_mb=2_000)
    assert wait(harness, spec) == {'reserved': 2 * WORKER_CPU}


def test_account_tells_workers_that_fill_up_gradually(harness):
    # Guards against a search for an obstacle in a domain just taken back.
    harness.add('waiting', PLAIN)
    for worker in harness.scheduler.workers.values():
        worker.starts_left = 0
    assert uses_of(harness) == {'returned': 2 * WORKER_CPU}


@pytest.mark.parametrize(
    ('measured', 'weight', 'variance', 'use'),
    [
        (90, 0.1, 0.01, 'high_tail'),
        (84, 0.1, 0.01, 'no_headroom'),
        (2, 4.0, 0.01, 'headroom'),
    ],
)
def test_account_tells_what_services_leave(
    harness, make, measured, weight, variance, use
):
    # Guards against idle processors that look free beside services that are
    # near their latency target.
    start_services(harness, make, measured)
    weights = harness.scheduler.pressure._weights
    weights['web', 'loud'] = _pressure._Weight(weight, variance)
    assert wait(harness, FILLING) == {'service': 2_200, use: 17_800}


def test_account_tells_a_trial(harness, make):
    # Guards against a wait for a trial that looks like one for headroom.
    start_services(harness, make, 2)
    weights = harness.scheduler.pressure._weights
    weights['web', 'loud'] = _pressure._Weight(0.5, 0.64)
    spec = dataclasses.replace(FILLING, cpu=5_000)
    start(harness, 'tried', spec)
    uses = wait(harness, spec)
    assert uses['trial'] == WORKER_CPU - 1_100
    assert uses['too_small'] == WORKER_CPU - 1_100 - 5_000


def test_account_tells_room_without_a_start(harness):
    # Guards against room that is missed and looks like an obstacle.
    harness.add('waiting', FILLING)
    assert uses_of(harness) == {'undecided': 2 * WORKER_CPU}


@pytest.mark.parametrize(
    ('fields', 'use'),
    [
        ({'is_probed': False}, 'not_probed'),
        ({'is_recorded': False}, 'not_recorded'),
        ({'is_listed': False}, 'not_listed'),
        ({'is_lapsing': True}, 'lapsing'),
        ({'is_evacuated': True}, 'evacuated'),
        ({'last_report_ms': 0}, 'silent'),
        ({'avoid_until_ms': 1_000_000}, 'avoided'),
        ({'is_on_probation': True}, 'on_probation'),
    ],
)
def test_account_tells_why_a_worker_gets_no_tasks(harness, fields, use):
    # Guards against processors of such workers that count as free.
    harness.add('waiting', PLAIN)
    for name, value in fields.items():
        setattr(harness.scheduler.workers['w0'], name, value)
    assert uses_of(harness) == {use: WORKER_CPU, 'undecided': WORKER_CPU}


def test_each_state_of_a_worker_is_a_use():
    # Guards against a new state that the account does not know.
    uses = {use.value for use in scheduling.CpuUse}
    states = {state.value for state in _eligibility.WorkerState}
    assert states - uses == {'usable'}
    assert set(_obstacles.Obstacle) < set(_idle_account._USE_OF_OBSTACLE)


@pytest.mark.parametrize('cpu', [1_000, 5_000])
def test_nearest_reason_of_several_kinds_counts(harness, make, cpu):
    # Guards against the obstacle of a task that is far from a start where
    # another one only lacks headroom, whichever is judged first.
    start_services(harness, make, 2)
    weights = harness.scheduler.pressure._weights
    weights['web', 'loud'] = _pressure._Weight(4.0, 0.01)
    large = dataclasses.replace(FILLING, image='large', memory_mb=99_000)
    harness.add('large', dataclasses.replace(large, cpu=cpu))
    uses = wait(harness, FILLING)
    assert uses == {'service': 2_200, 'headroom': 17_800}
    assert harness.scheduler.idle_account(harness.now)['p'].waiting == 2


def test_failed_account_is_not_replaced_by_an_outdated_one(
    harness, monkeypatch
):
    # Guards against figures of a former time that look like present ones.
    assert uses_of(harness)
    harness.now += _idle_account.INTERVAL_MS
    accounts = harness.scheduler._idle_accounts
    monkeypatch.setattr(accounts, '_calculate', lambda _: 1 // 0)
    for _ in range(2):
        with pytest.raises(ZeroDivisionError):
            harness.scheduler.idle_account(harness.now)


def test_account_is_bounded(harness, monkeypatch):
    # Guards against accounts that take longer the more tasks or images wait,
    # or the more often they are asked for, and against images never judged.
    placement = harness.scheduler._task_starter.placement
    judged = []
    real = placement.obstacle
    monkeypatch.setattr(
        placement,
        'obstacle',
        lambda w, t: judged.append((w.info.id, t)) or real(w, t),
    )
    for number in range(100):
        spec = dataclasses.replace(
            FILLING, image=f'f{number % 20}', memory_mb=99_000, count=50
        )
        harness.add(f'job{number}', spec)
    images = set()
    for _ in range(7):
        judged.clear()
        for worker in harness.infos:
            harness.poll(worker)
        harness.scheduler.idle_account(harness.now)
        harness.scheduler.idle_account(harness.now + 1_999)
        assert len(judged) == 2 * _idle_account.MAX_KINDS
        images |= {task.spec.image for _, task in judged}
        harness.now += _idle_account.INTERVAL_MS
    assert len(images) == 20
