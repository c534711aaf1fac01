"""Test goodput under overload, and the parts of its bench."""

import types

import pytest

from oriolestand_bench import _workers
from oriolestand_bench.goodput import _case
from oriolestand_bench.goodput import _figures
from oriolestand_bench.goodput import _idle
from oriolestand_bench.goodput import _jobs
from oriolestand_bench.goodput import _offline
from oriolestand_bench.goodput import _refusals
from oriolestand_bench.goodput import _simulation
from oriolestand_bench.goodput import _tables
from oriolestand_bench.goodput import _traffic
from oriolestand_policy import scheduling

WORKERS = 20
OVERLOAD = 2.5
REFUSING_CASE = _case.Case(workers=4, load=4.0, load_ms=25_000)
"""Load for so long that overdue jobs fill the pool."""


@pytest.fixture(scope='module')
def figures_at():
    """Return a function that plays a load once and returns its figures."""
    played = {}

    def figures_at(load):
        if load not in played:
            simulation = _simulation.GoodputSimulation(
                _case.Case(workers=WORKERS, load=load),
                are_waits_explained=False,
            )
            played[load] = _figures.figures_of(simulation, simulation.play())
        return played[load]

    return figures_at


def test_filling_jobs_of_each_size_are_served_alike(figures_at):
    # Guards against an order that serves some sizes at the cost of others.
    found = figures_at(OVERLOAD)
    bound = 0.8 * found.filling_in_time
    assert [share for share in found.deciles if share < bound] == []


def test_goodput_does_not_fall_under_overload(figures_at):
    # Guards against processors spent on jobs that will not be in time.
    assert figures_at(OVERLOAD).goodput >= 0.95 * figures_at(1.0).goodput


def test_references_are_above_the_goodput(figures_at):
    # Guards against bounds that are none, and against lost jobs in the sums.
    found = figures_at(1.0)
    assert found.goodput <= found.fluid
    assert found.goodput + found.late <= found.offered
    assert found.offline <= found.fluid <= found.offered + 1e-6


@pytest.mark.parametrize('load', [0.5, 4.0])
def test_traffic_offers_the_work_of_its_load(load):
    # Guards against loads that are other multiples of the room than stated.
    case = _case.Case(workers=50, load=load)
    jobs = case.plan('load', load, case.load_ms)
    offered = sum(job.work for job in jobs) * 1_000 / case.load_ms
    assert offered == pytest.approx(load * case.room, rel=0.05)


def test_jobs_are_the_same_at_all_loads():
    # Guards against curves whose points differ by chance of the sizes.
    case = _case.Case(workers=20, load=1.0)
    few = case.plan('load', 1.0, case.load_ms)
    many = case.plan('load', 2.0, case.load_ms)
    assert {job.steps for job in few} < {job.steps for job in many}


def _job(cores, run_ms, arrival_ms=0):
    """Return a filling job of one task; its objective is 2 x run_ms + 1 s."""
    step = _traffic.PlannedStep(
        cpu=cores * 1_000, run_ms=(run_ms,), estimate_ms=run_ms
    )
    return _traffic.PlannedJob(
        kind=_traffic.Kind.FILLING,
        arrival_ms=arrival_ms,
        domain=0,
        image='f0',
        has_checkpoints=True,
        steps=(step,),
    )


def test_best_order_counts_whole_jobs_and_the_bound_parts():
    # Guards against a reference that takes part of a job for a job. Within
    # its objective of 5 s, 1 core runs two tasks of 2 s and half of a third.
    jobs = [_job(1, 2_000)] * 3
    cores = [1.0] * 100
    assert _offline.best_order(jobs, cores) == pytest.approx(4.0)
    assert _offline.fluid_bound(jobs, cores) == pytest.approx(5.0)


def test_references_count_no_work_after_the_objective():
    # Guards against credit for jobs that are late.
    jobs = [_job(1, 1_000, arrival_ms=0)]
    cores = [0.0] * 30 + [1.0] * 70
    assert _offline.best_order(jobs, cores) == 0.0
    assert _offline.fluid_bound(jobs, cores) == 0.0


def test_account_of_processors_covers_the_load_and_decides_nothing():
    # Guards against a table that leaves processors out, and against a bench
    # whose goodput depends on whether it is printed.
    digests = []
    for is_accounted in (False, True):
        simulation = _simulation.GoodputSimulation(
            _case.Case(workers=3, load=OVERLOAD, load_ms=9_000),
            are_waits_explained=False,
            is_cpu_accounted=is_accounted,
        )
        simulation.play()
        digests.append(simulation.digest.hexdigest())
    assert digests[0] == digests[1]
    uses = simulation.cpu_record.uses
    # The first account stands for no time, and the last one may be 2 s old.
    size = 3 * _workers.WORKER_CPU
    assert 5 * size < uses.total() <= 9 * size
    assert uses[scheduling.CpuUse.SERVICE] and uses[scheduling.CpuUse.FILLING]
    assert '| service | ' in _tables.cpu_uses(simulation.cpu_record)


def test_account_counts_for_the_time_since_the_last_one():
    # Guards against accounts that count twice, as they are asked for more
    # often than they are made.
    record = _idle.CpuRecord()
    for now_ms, cpu in ((1_000, 7), (1_000, 7), (3_000, 40), (3_000, 40)):
        account = scheduling.IdleAccount(
            now_ms=now_ms,
            size_cpu=cpu,
            waiting=0,
            uses={scheduling.CpuUse.PLAIN: cpu},
        )
        record.note({'p': account})
    assert record.uses == {scheduling.CpuUse.PLAIN: 80}


@pytest.fixture(scope='module')
def refusing():
    """Return a simulation whose pool was full, and the records of its jobs."""
    simulation = _simulation.GoodputSimulation(
        REFUSING_CASE, are_waits_explained=False, are_jobs_refused=True
    )
    return simulation, simulation.play()


def test_full_pool_refuses_filling_jobs_only(refusing):
    # Guards against a bench that accepts what daemons refuse, or counts a
    # refused job as one that has run.
    simulation, records = refusing
    found = _figures.figures_of(simulation, records)
    refused = [record for record in records if record.accepted_ms < 0]
    assert 0 < len(refused) == found.refused
    assert found.refused + found.accepted == len(
        _figures.of_kind(records, _traffic.Kind.FILLING)
    )
    for record in refused:
        assert record.planned.kind is _traffic.Kind.FILLING
        assert record.result is _jobs.Result.NOTHING and not record.starts


@pytest.mark.parametrize('open_after_ms', [500, 1_500])
def test_refused_callers_come_back_in_the_time_they_have(open_after_ms):
    # Guards against refused jobs that are lost at once, or whose objective
    # begins again when they return.
    simulation = _simulation.GoodputSimulation(
        REFUSING_CASE, are_waits_explained=False, are_jobs_refused=True
    )
    simulation._admission.on_report(0, simulation.now)
    simulation._admission.set_full_pools({_refusals.POOL: 1})
    first_ms = simulation.now
    simulation._submit_planned(_job(2, 2_000))
    (record,) = simulation._submitted
    assert record.accepted_ms < 0
    simulation.run(open_after_ms)
    simulation._admission.set_full_pools({})
    simulation.run(10_000)
    # Each return is one second later, as the pool says.
    expected_ms = first_ms + -(-open_after_ms // 1_000) * 1_000
    assert record.accepted_ms == record.ready_ms[0] == expected_ms
    assert record.submitted_ms == first_ms
    assert len(simulation.refusals.refusals) == -(-open_after_ms // 1_000)


def test_refused_callers_without_time_do_not_come_back():
    # Guards against callers that wait longer than those of the users.
    simulation = _simulation.GoodputSimulation(
        REFUSING_CASE, are_waits_explained=False, are_jobs_refused=True
    )
    simulation._admission.set_full_pools({_refusals.POOL: 1})
    for _ in range(8):
        simulation._admission.on_report(0, simulation.now)
        if not simulation._submitted:
            simulation._submit_planned(_job(2, 2_000))
        simulation.run(1_000)
    (record,) = simulation._submitted
    assert record.accepted_ms < 0
    assert len(simulation.refusals.refusals) == 4


def test_room_beside_refusals_is_noted_and_decides_nothing(
    refusing, monkeypatch
):
    # Guards against a bench whose goodput depends on what it notes.
    simulation, _ = refusing
    assert all(found.fitting >= 0 for found in simulation.refusals.refusals)
    table = _tables.refused(
        simulation.refusals, _figures.figures_of(*refusing)
    )
    assert '| all | ' in table
    monkeypatch.setattr(
        _refusals.RefusalRecord, 'judge', lambda *args, **kwargs: None
    )
    blind = _simulation.GoodputSimulation(
        REFUSING_CASE, are_waits_explained=False, are_jobs_refused=True
    )
    blind.play()
    assert blind.digest.hexdigest() == simulation.digest.hexdigest()


def test_open_jobs_without_a_run_at_the_end_are_counted(refusing):
    # Guards against a count of jobs that were refused, have ended or have
    # runs.
    simulation, records = refusing
    accepted = [record for record in records if record.accepted_ms >= 0]
    assert 0 < simulation.stuck < len(accepted)


@pytest.mark.parametrize('setting', _case.Setting)
def test_no_job_without_a_run_is_counted_at_a_low_load(setting):
    # Guards against a count of ended jobs, which a new owner does not know.
    # Images that services leave no headroom for may wait at any load.
    simulation = _simulation.GoodputSimulation(
        _case.Case(
            workers=4,
            load=0.4,
            setting=setting,
            load_ms=5_000,
            are_images_calm=True,
        ),
        are_waits_explained=False,
        are_jobs_refused=True,
    )
    simulation.play()
    assert simulation.stuck == 0


class _Room:
    """Stand-in for a placement: a worker's obstacle is its own attribute."""

    def obstacle(self, worker, task):
        return worker.obstacle


def _worker(idle, obstacle):
    """Return a worker with idle processors and an obstacle."""
    capacity = types.SimpleNamespace(unkept_cpu=lambda: idle)
    return types.SimpleNamespace(capacity=capacity, obstacle=obstacle)


def test_room_of_a_refusal_counts_tasks_that_fit(monkeypatch):
    # Guards against idle processors that no task of the job may use counted
    # as room, and against room after the job can be in time.
    monkeypatch.setattr(scheduling, 'is_usable', lambda worker, now_ms: True)
    record = _refusals.RefusalRecord()
    job = _job(2, 2_000)
    record.add(job, is_strong=False, first_ms=0)
    closed = types.SimpleNamespace(value='no_headroom')
    fleet = types.SimpleNamespace(workers={'a': _worker(9_000, closed)})
    record.judge(fleet, _Room(), 0, is_sample=False)
    found = record.refusals[0]
    assert (found.fitting, found.idle) == (0, {'no_headroom': 9_000})
    fleet.workers['b'] = _worker(5_000, None)
    record.judge(fleet, _Room(), 500, is_sample=False)
    assert found.fitting_in_time == 0
    record.judge(fleet, _Room(), found.usable_ms + 1, is_sample=True)
    assert found.fitting_in_time == 0
    record.judge(fleet, _Room(), found.usable_ms, is_sample=True)
    assert (found.fitting, found.fitting_in_time) == (0, 2)
    assert found.idle == {'no_headroom': 9_000}
