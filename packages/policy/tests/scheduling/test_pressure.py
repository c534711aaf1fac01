"""Test the interference estimates and the decisions based on them."""

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
def loaded(harness, make):
    """Return a harness with a service task on each of two workers."""
    harness.add('svc', SERVICE)
    for start in harness.decide()[0]:
        harness.answer(start)
        harness.poll(start.worker, [make.report(start, measured=4)])
    return harness


def services_of(harness):
    """Return the run of the service on each worker."""
    return {
        name: next(r for r in w.runs.values() if r.spec.is_service)
        for name, w in harness.scheduler.workers.items()
    }


def report_beside(harness, make, start, tail, times=25):
    """Report a filling task at full speed and the tail latency beside it."""
    services = services_of(harness)
    for _ in range(times):
        harness.now += 1_000
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
                rows.append(make.report(start, 50, start_cpu(harness, start)))
            harness.poll(name, rows)


def start_cpu(harness, start):
    """Return the processors that a task requests."""
    return harness.scheduler.jobs[start.key.job].spec.steps[0].cpu


def test_interference_of_a_pair_is_learned(loaded, make):
    # Guards against placement that ignores which images interfere.
    for name, spec, tail in (('l', LOUD, 16), ('c', CALM, 8)):
        loaded.add(name, spec)
        start = loaded.decide()[0][0]
        loaded.answer(start)
        report_beside(loaded, make, start, tail)
        loaded.poll(start.worker, ended=[make.end(start, 'done')])
    pressure = loaded.scheduler.pressure
    assert pressure.weight('web', 'loud') > 0.5
    assert pressure.weight('web', 'calm') < 0.05


def test_filling_task_stays_off_a_worker_with_a_high_tail(loaded, make):
    # Guards against adding neighbours to a service task that is slow.
    services = services_of(loaded)
    for run in services.values():
        run.measured = 17
    loaded.add('c', CALM)
    assert loaded.decide()[0] == []
    services['w1'].measured = 5
    assert [s.worker for s in loaded.decide()[0]] == ['w1']


def test_interfering_neighbour_moves_and_another_stays(loaded, make):
    # Guards against slow responses for seconds, and against stopping filling
    # tasks that do not interfere.
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
    _pacing.track_tail_latency(worker, loaded.now)
    later = loaded.now + _pacing.YIELD_DELAY_MS
    mitigations = list(_pacing.plan_mitigations(worker, pressure, later))
    assert [(r.run, r.is_move) for r in mitigations] == [(runs['l'], True)]
    worker.mitigated_ms = 0
    late = loaded.now + _pacing.YIELD_ALL_DELAY_MS
    mitigations = list(_pacing.plan_mitigations(worker, pressure, late))
    assert {r.run.key.job for r in mitigations} == {'l', 'c'}


def test_paused_neighbour_resumes_when_no_tail_is_high(loaded):
    # Guards against filling tasks that are never resumed.
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
    mitigations = list(
        _pacing.plan_mitigations(worker, loaded.scheduler.pressure, loaded.now)
    )
    assert [(r.run, r.pace) for r in mitigations] == [(run, 100)]


def test_service_task_fits_beside_filling_tasks(harness):
    # Guards against a service task that waits because filling tasks run.
    harness.add('c', scheduling.StepSpec(count=6, cpu=3_000, is_filling=True))
    assert len(harness.decide()[0]) == 6
    harness.add('svc', SERVICE)
    assert len(harness.decide()[0]) == 2


def report_wave(harness, until_ms):
    """Report a sine-wave load with a period of 10 s and its peak at 2.5 s."""
    services = services_of(harness)
    while harness.now < until_ms:
        harness.now += 200
        load = 0.45 + 0.2 * math.sin(2 * math.pi * harness.now / 10_000)
        for name, run in services.items():
            added = sum(
                0.17
                for other in harness.scheduler.workers[name].runs.values()
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
                for other in harness.scheduler.workers[name].runs.values()
                if other.spec.is_filling
            ]
            harness.poll(name, rows)


def set_weight(pressure, filling, weight):
    """Set the weight of a pair, as if it had converged."""
    pressure._weights[('web', filling)] = _pressure._Weight(weight, 0.01)


def test_filling_task_waits_for_a_peak_to_pass(harness, make):
    # Guards against starting a filling task that a rising load soon stops.
    spec = dataclasses.replace(SERVICE, target_ms=32)
    harness.add('svc', spec)
    for start in harness.decide()[0]:
        harness.answer(start)
    set_weight(harness.scheduler.pressure, 'loud', 0.8)
    report_wave(harness, 41_600)
    harness.add('l', LOUD)
    assert harness.decide()[0] == []
    report_wave(harness, 44_800)
    assert len(harness.decide()[0]) == 1


def test_filling_task_yields_before_a_peak(harness, make):
    # Guards against slow responses until a report shows the higher load.
    harness.add('svc', dataclasses.replace(SERVICE, target_ms=32))
    for start in harness.decide()[0]:
        harness.answer(start)
    set_weight(harness.scheduler.pressure, 'still', 0.8)
    report_wave(harness, 46_000)
    spec = dataclasses.replace(LOUD, image='still', has_checkpoints=False)
    harness.add('l', spec)
    start = harness.decide()[0][0]
    harness.answer(start)
    report_wave(harness, 51_000)
    worker = harness.scheduler.workers[start.worker]
    run = worker.runs[(start.key, start.run)]
    assert run.pace == 0
    service = services_of(harness)[start.worker]
    assert service.over_since_ms < 0
    report_wave(harness, 57_000)
    assert run.pace == 100


def test_only_one_task_tries_an_uncertain_pair(loaded, make):
    # Guards against slowing many service tasks to learn one weight.
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
            loaded.poll(name, [row])
    loaded.add('n', dataclasses.replace(LOUD, count=2, image='new'))
    placement = scheduling.MixedPlacement(pressure)
    placement.plan(loaded.scheduler.workers.values(), loaded.now)
    first, second = loaded.scheduler.jobs['n'].occurrence(0)[0]
    assert placement.select_worker(first, 'p') is not None
    assert placement.select_worker(second, 'p') is None


def test_converged_weight_does_not_decay_without_a_forecast(loaded, make):
    # Guards against a new owner that counts existing interference as
    # intrinsic load, and so loses the weights of interfering pairs.
    set_weight(loaded.scheduler.pressure, 'loud', 2.0)
    loaded.add('l', LOUD)
    start = loaded.decide()[0][0]
    loaded.answer(start)
    services = services_of(loaded)
    for run in services.values():
        loaded.scheduler.pressure.remove_job(run.key.job)
    for _ in range(8):
        loaded.now += 300
        row = scheduling.RunReport(
            key=services[start.worker].key,
            number=services[start.worker].number,
            checkpoint='',
            percent=100,
            measured=9,
        )
        loaded.poll(start.worker, [row, make.report(start, 50, LOUD.cpu)])
    assert loaded.scheduler.pressure.weight('web', 'loud') == 2.0


def test_wave_of_a_known_period_is_fitted_early():
    # Guards against a new owner that plans without a forecast for long.
    history = _forecast.LoadHistory()
    for now in range(0, 5_200, 200):
        load = 0.5 + 0.2 * math.sin(2 * math.pi * now / 10_000)
        history.add(load, now, 10_000)
    assert history.has_forecast
    assert history.peak(9_000, 0) < 0.45
