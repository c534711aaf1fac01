"""Test goodput under overload, and the parts of its bench."""

import pytest

from oriolestand_bench import _workers
from oriolestand_bench.goodput import _case
from oriolestand_bench.goodput import _figures
from oriolestand_bench.goodput import _idle
from oriolestand_bench.goodput import _offline
from oriolestand_bench.goodput import _simulation
from oriolestand_bench.goodput import _tables
from oriolestand_bench.goodput import _traffic
from oriolestand_policy import scheduling

WORKERS = 20
OVERLOAD = 2.5


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
