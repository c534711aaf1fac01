"""Test what is learned of neighbours and what follows from it."""

import dataclasses
import math

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _forecast
from oriolestand_policy.scheduling import _pacing
from oriolestand_policy.scheduling import _pressure

SERVICE = scheduling.StepSpec(
    count=2,
    cpu=4_000,
    is_service=True,
    image='web',
    target_ms=18,
    max_per_worker=1,
)
LOUD = scheduling.StepSpec(
    count=1, cpu=3_000, is_filling=True, image='loud', has_checkpoints=True
)
CALM = scheduling.StepSpec(
    count=1, cpu=3_000, is_filling=True, image='calm', has_checkpoints=True
)


@pytest.fixture
def loaded(bench, make):
    """Return a bench with a service task on each of two workers."""
    bench.add('svc', SERVICE)
    for start in bench.decide()[0]:
        bench.answer(start)
        bench.look(start.worker, [make.report(start, measured=4)])
    return bench


def services_of(bench):
    """Return the runs of the service by worker."""
    return {
        name: next(r for r in w.runs.values() if r.spec.is_service)
        for name, w in bench.scheduler.workers.items()
    }


def beside(bench, make, start, tail, times=25):
    """Report a filling task at full speed and the tail beside it."""
    services = services_of(bench)
    for _ in range(times):
        bench.now += 1_000
        for name, run in services.items():
            is_here = name == start.worker
            rows = [
                scheduling.RunReport(
                    key=run.key,
                    number=run.number,
                    checkpoint='',
                    percent=100,
                    measured=tail if is_here else 8,
                )
            ]
            if is_here:
                rows.append(make.report(start, 50, start_cpu(bench, start)))
            bench.look(name, rows)


def start_cpu(bench, start):
    """Return the processors that a task asks for."""
    return bench.scheduler.jobs[start.key.job].spec.steps[0].cpu


def test_harm_of_a_pair_is_learned(loaded, make):
    # Guards against placing by load alone, blind to which images clash.
    for name, spec, tail in (('l', LOUD, 16), ('c', CALM, 8)):
        loaded.add(name, spec)
        start = loaded.decide()[0][0]
        loaded.answer(start)
        beside(loaded, make, start, tail)
        loaded.look(start.worker, ended=[make.end(start, 'done')])
    pressure = loaded.scheduler.pressure
    assert pressure.weight('web', 'loud') > 0.5
    assert pressure.weight('web', 'calm') < 0.05


def test_filling_task_stays_off_a_worker_with_a_high_tail(loaded, make):
    # Guards against more neighbours for a service task in need.
    services = services_of(loaded)
    for run in services.values():
        run.measured = 17
    loaded.add('c', CALM)
    assert loaded.decide()[0] == []
    services['w1'].measured = 5
    assert [s.worker for s in loaded.decide()[0]] == ['w1']


def test_harmful_neighbour_moves_and_another_stays(loaded, make):
    # Guards against users harmed for seconds, and against giving up work
    # that does no harm.
    pressure = loaded.scheduler.pressure
    pressure._weights[('web', 'loud')] = _pressure._Weight(1.0)
    pressure._weights[('web', 'calm')] = _pressure._Weight(0.01)
    worker = loaded.scheduler.workers['w0']
    runs = {}
    for name, spec in (('l', LOUD), ('c', CALM)):
        key = scheduling.TaskKey(name, 0, 0, 0)
        run = scheduling.Run(
            key=key,
            number=1,
            spec=spec,
            phase=scheduling.RunPhase.RUNNING,
            since_ms=0,
        )
        worker.add(run)
        runs[name] = run
    services_of(loaded)['w0'].measured = 40
    _pacing.note_tails(worker, loaded.now)
    later = loaded.now + _pacing.PATIENCE_MS
    reliefs = list(_pacing.plan_relief(worker, pressure, later))
    assert [(r.run, r.is_move) for r in reliefs] == [(runs['l'], True)]
    worker.relieved_ms = 0
    late = loaded.now + _pacing.EMERGENCY_MS
    reliefs = list(_pacing.plan_relief(worker, pressure, late))
    assert {r.run.key.job for r in reliefs} == {'l', 'c'}


def test_slowed_neighbour_is_raised_when_no_tail_is_high(loaded):
    # Guards against filling work that stays slow for good.
    worker = loaded.scheduler.workers['w0']
    run = scheduling.Run(
        key=scheduling.TaskKey('c', 0, 0, 0),
        number=1,
        spec=CALM,
        phase=scheduling.RunPhase.RUNNING,
        since_ms=0,
        pace=0,
    )
    worker.add(run)
    reliefs = list(
        _pacing.plan_relief(worker, loaded.scheduler.pressure, loaded.now)
    )
    assert [(r.run, r.pace) for r in reliefs] == [(run, 100)]


def test_service_task_takes_room_beside_filling_tasks(bench):
    # Guards against a service task that waits although a worker has room.
    bench.add('c', scheduling.StepSpec(count=6, cpu=3_000, is_filling=True))
    assert len(bench.decide()[0]) == 6
    bench.add('svc', SERVICE)
    assert len(bench.decide()[0]) == 2


def swing(bench, until_ms):
    """Report a load that rises and falls, with its peak at 2.5 s of 10 s."""
    services = services_of(bench)
    while bench.now < until_ms:
        bench.now += 200
        load = 0.45 + 0.2 * math.sin(2 * math.pi * bench.now / 10_000)
        for name, run in services.items():
            added = sum(
                0.17
                for other in bench.scheduler.workers[name].runs.values()
                if other.spec.is_filling and other.pace
            )
            tail = round(8 / (1 - load - added))
            rows = [
                scheduling.RunReport(
                    key=run.key,
                    number=run.number,
                    checkpoint='',
                    percent=100,
                    measured=tail,
                )
            ]
            rows += [
                scheduling.RunReport(
                    key=other.key,
                    number=other.number,
                    checkpoint='',
                    percent=50,
                    measured=other.spec.cpu,
                )
                for other in bench.scheduler.workers[name].runs.values()
                if other.spec.is_filling
            ]
            bench.look(name, rows)


def learn(pressure, filling, weight):
    """Make the weight of a pair known."""
    pressure._weights[('web', filling)] = _pressure._Weight(weight, 0.01)


def test_filling_task_waits_for_a_peak_to_pass(bench, make):
    # Guards against a filling task that is stopped at once by a rising load.
    spec = dataclasses.replace(SERVICE, target_ms=32)
    bench.add('svc', spec)
    for start in bench.decide()[0]:
        bench.answer(start)
    learn(bench.scheduler.pressure, 'loud', 0.8)
    swing(bench, 41_600)
    bench.add('l', LOUD)
    assert bench.decide()[0] == []
    swing(bench, 44_800)
    assert len(bench.decide()[0]) == 1


def test_filling_task_yields_before_a_peak(bench, make):
    # Guards against users who are harmed until a report shows it.
    bench.add('svc', dataclasses.replace(SERVICE, target_ms=32))
    for start in bench.decide()[0]:
        bench.answer(start)
    learn(bench.scheduler.pressure, 'still', 0.8)
    swing(bench, 46_000)
    spec = dataclasses.replace(LOUD, image='still', has_checkpoints=False)
    bench.add('l', spec)
    start = bench.decide()[0][0]
    bench.answer(start)
    swing(bench, 51_000)
    worker = bench.scheduler.workers[start.worker]
    run = worker.runs[(start.key, start.run)]
    assert run.pace == 0
    service = services_of(bench)[start.worker]
    assert service.over_since_ms < 0
    swing(bench, 57_000)
    assert run.pace == 100


def test_one_task_tries_a_pair(loaded, make):
    # Guards against many service tasks that are harmed to learn one weight.
    pressure = loaded.scheduler.pressure
    for _ in range(20):
        loaded.now += 400
        for name, run in services_of(loaded).items():
            row = scheduling.RunReport(
                key=run.key,
                number=run.number,
                checkpoint='',
                percent=100,
                measured=8,
            )
            loaded.look(name, [row])
    loaded.add('n', dataclasses.replace(LOUD, count=2, image='new'))
    placement = scheduling.MixedPlacement(pressure)
    placement.plan(loaded.scheduler.workers.values(), loaded.now)
    first, second = loaded.scheduler.jobs['n'].occurrence(0)[0]
    assert placement.choose(first, 'p') is not None
    assert placement.choose(second, 'p') is None


def test_known_weight_does_not_fade_without_a_forecast(loaded, make):
    # Guards against a successor that takes the harm it finds for own load
    # and so forgets which pairs are harmful.
    learn(loaded.scheduler.pressure, 'loud', 2.0)
    loaded.add('l', LOUD)
    start = loaded.decide()[0][0]
    loaded.answer(start)
    services = services_of(loaded)
    for run in services.values():
        loaded.scheduler.pressure.forget_job(run.key.job)
    for _ in range(8):
        loaded.now += 300
        row = scheduling.RunReport(
            key=services[start.worker].key,
            number=services[start.worker].number,
            checkpoint='',
            percent=100,
            measured=9,
        )
        loaded.look(start.worker, [row, make.report(start, 50, LOUD.cpu)])
    assert loaded.scheduler.pressure.weight('web', 'loud') == 2.0


def test_wave_of_a_known_period_is_fitted_early():
    # Guards against a successor that plans without a forecast for long.
    history = _forecast.LoadHistory()
    for now in range(0, 5_200, 200):
        load = 0.5 + 0.2 * math.sin(2 * math.pi * now / 10_000)
        history.add(load, now, 10_000)
    assert history.is_known
    assert history.peak(9_000, 0) < 0.45
