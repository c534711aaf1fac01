"""Tests of tasks whose percentage changes seldom, and of those that hang."""

import json

import pytest

from oriolestand_policy import scheduling

POLL_MS = 500
PLAIN = {'count': 1, 'cpu': 1_000}


class Cell:
    """A cell of two workers with jobs of one task of a given length.

    Percentages rise at an even pace. The runs of tasks in ``hung`` and those
    on workers in ``hung`` show no progress from ``hang_at_ms`` of their age
    on. ``runs`` has the worker and the begin of each run of a task, ``stops``
    when the runs of a task were stopped.
    """

    def __init__(self, harness, make):
        self.harness = harness
        self.make = make
        self.lengths = {}
        self.hung = set()
        self.hang_at_ms = 0
        self.runs = {}
        self.stops = {}
        self.running = {}
        self.done = set()
        self.sequence = 0

    def add(self, job, length_ms, **step):
        """Add a job with a task of some length."""
        self.lengths[job] = length_ms
        self.runs[job], self.stops[job] = [], []
        self.harness.add(job, scheduling.StepSpec(**PLAIN, **step))

    def run(self, duration_ms):
        """Let time pass until all tasks are done or it is over."""
        end_ms = self.harness.now + duration_ms
        while self.harness.now < end_ms and len(self.done) < len(self.lengths):
            self.apply(*self.harness.decide(wall=self.harness.now))
            self.harness.now += POLL_MS
            for worker in self.harness.infos:
                self.poll(worker)

    def apply(self, starts, stops):
        """Carry out orders."""
        for start in starts:
            job = start.key.job
            self.harness.answer(start)
            self.runs[job].append((start.worker, self.harness.now))
            self.running[job] = start
        for stop in stops:
            job = stop.key.job
            start = self.running.pop(job, None)
            if start is not None:
                self.stops[job].append(self.harness.now)
                self.end(start, 'stopped')

    def end(self, start, how):
        """Report the end of a run."""
        self.sequence += 1
        end = self.make.end(start, how, self.sequence)
        self.harness.poll(start.worker, self.reports(start.worker), [end])

    def poll(self, worker):
        """Report the runs of a worker, and those that are done."""
        for job, start in list(self.running.items()):
            if start.worker == worker and self.percent(job) >= 100:
                del self.running[job]
                self.done.add(job)
                self.end(start, 'done')
        self.harness.poll(worker, self.reports(worker))

    def reports(self, worker):
        """Return the rows of the runs of a worker."""
        return [
            self.make.report(start, self.percent(job))
            for job, start in self.running.items()
            if start.worker == worker
        ]

    def percent(self, job):
        """Return the progress of the present run of a job."""
        worker, began_ms = self.runs[job][-1]
        age_ms = self.harness.now - began_ms
        if job in self.hung or worker in self.hung:
            age_ms = min(age_ms, self.hang_at_ms)
        return 100 * age_ms // self.lengths[job]


@pytest.fixture
def cell(harness, make):
    """Return a cell of two idle workers."""
    return Cell(harness, make)


@pytest.mark.parametrize('length_ms', [1_000, 60_000, 400_000, 2_000_000])
def test_task_without_an_estimate_ends_after_one_run(cell, length_ms):
    # Guards against a task that is stopped each 2 s as stalled and never ends,
    # as a percent of it takes longer.
    cell.add('a', length_ms)
    cell.run(length_ms + 2_000)
    assert cell.done == {'a'}
    assert len(cell.runs['a']) == 1


@pytest.mark.parametrize(
    ('length_ms', 'step', 'max_runs'),
    [
        # Half an hour for a percent, without an estimate.
        (180_000_000, {}, 8),
        # Estimates that are much too short.
        (400_000, {'estimate_ms': 2_000}, 3),
        (4_000_000, {'estimate_ms': 20_000}, 6),
    ],
)
def test_task_of_any_length_ends_after_few_runs(
    cell, monkeypatch, length_ms, step, max_runs
):
    # Guards against a task that is stopped again and again, as its percentage
    # changes less often than the owner expects.
    monkeypatch.setitem(globals(), 'POLL_MS', max(500, length_ms // 100_000))
    cell.add('a', length_ms, **step)
    cell.run(2 * length_ms)
    assert cell.done == {'a'}
    assert 1 < len(cell.runs['a']) <= max_runs


@pytest.mark.parametrize(
    ('length_ms', 'step', 'hang_at_ms', 'bound_ms'),
    [
        # Nothing tells the length.
        (400_000, {}, 0, 30_000),
        # The speed that the run has shown.
        (400_000, {}, 100_000, 40_000),
        (20_000, {}, 5_000, 2_000),
        # The estimate, which a faster run does not shorten.
        (20_000, {'estimate_ms': 400_000}, 5_000, 40_000),
    ],
)
def test_task_of_a_worker_that_hangs_starts_elsewhere(
    cell, length_ms, step, hang_at_ms, bound_ms
):
    # Guards against a task that waits on a worker that hangs for longer than
    # its length explains.
    cell.add('a', length_ms, **step)
    cell.hang_at_ms = hang_at_ms
    cell.hung = {'w0', 'w1'}
    cell.run(hang_at_ms + 2 * bound_ms)
    idle_ms = cell.stops['a'][0] - cell.runs['a'][0][1] - hang_at_ms
    # A percent, and the time until the next poll, come on top of the bound.
    assert bound_ms <= idle_ms + length_ms // 100
    assert idle_ms <= bound_ms + 2 * POLL_MS
    assert len({worker for worker, _ in cell.runs['a']}) == 2


@pytest.mark.parametrize(
    ('step', 'bound_ms'),
    [({}, 300_000), ({'estimate_ms': 60_000}, 60_000)],
)
def test_task_that_hangs_beside_others_that_progress_is_stopped(
    make, step, bound_ms
):
    # Guards against a task that stands still without end, as its worker is
    # sound. The worker is not excluded for it.
    cell = Cell(make.Harness(workers=1), make)
    cell.hung = {'a'}
    cell.add('other', 20_000_000, estimate_ms=20_000_000)
    cell.add('fast', 900_000)
    cell.run(20_000)
    cell.add('a', 60_000, **step)
    cell.run(bound_ms - 2_000)
    assert cell.stops['a'] == []
    cell.run(4_000)
    assert len(cell.stops['a']) == 1
    assert cell.stops['other'] == cell.stops['fast'] == []
    worker = cell.harness.scheduler.workers['w0']
    assert worker.avoid_until_ms <= cell.harness.now


def test_filling_task_that_waits_beside_others_goes_on(make):
    # Guards against stopping filling tasks that wait for processors.
    cell = Cell(make.Harness(workers=1), make)
    cell.hung = {'a'}
    cell.add('a', 60_000, is_filling=True)
    cell.add('fast', 900_000)
    cell.run(600_000)
    assert len(cell.runs['a']) == 1
    assert cell.stops['a'] == []


def test_resumed_run_has_not_made_its_first_progress_itself(harness, make):
    # Guards against a run that is stopped as its checkpoint made it seem fast:
    # it has 50% when it starts.
    harness.scheduler.add_job(
        scheduling.JobSpec(
            id='a',
            route='r',
            payload='x',
            steps=(scheduling.StepSpec(**PLAIN),),
        ),
        harness.now,
        progress={'open': [[0, 0, 0, [], 'checkpoint']]},
    )
    ((start,), _) = harness.decide()
    harness.answer(start)
    began_ms = harness.now
    while harness.now < began_ms + 40_000:
        harness.now += POLL_MS
        percent = 50 + (harness.now - began_ms) // 4_000
        harness.poll(start.worker, [make.report(start, percent)])
        assert harness.decide() == ([], [])


@pytest.mark.parametrize('length_ms', [400_000, 2_000_000])
def test_slow_task_does_not_hide_for_long_that_its_worker_hangs(
    make, length_ms
):
    # Guards against tasks for a worker that hangs, as one of its runs has
    # shown progress not long ago for its length.
    cell = Cell(make.Harness(workers=1), make)
    cell.add('slow', length_ms)
    cell.run(length_ms // 100 + 1_000)
    cell.add('a', 10_000, estimate_ms=10_000)
    cell.percent = lambda job: {'a': 0, 'slow': 1}[job]
    cell.run(12_000)
    assert cell.stops['a']
    assert cell.stops['slow'] == []
    worker = cell.harness.scheduler.workers['w0']
    assert worker.avoid_until_ms > cell.harness.now - 8_000


def test_successor_knows_that_restarts_did_not_help(harness, make):
    # Guards against a long task that each owner stops anew.
    cell = Cell(harness, make)
    cell.add('a', 400_000, estimate_ms=2_000)
    cell.run(3_000)
    assert len(cell.stops['a']) == 1
    job = harness.scheduler.jobs['a']
    stored = json.loads(json.dumps(scheduling.progress_of(job)))
    harness = make.Harness()
    harness.scheduler.add_job(job.spec, harness.now, progress=stored)
    ((start,), _) = harness.decide()
    harness.answer(start)
    began_ms = harness.now
    stops = []
    while not stops:
        harness.now += 100
        harness.poll(start.worker, [make.report(start, 0)])
        stops = harness.effects()[1]
    assert harness.now - began_ms >= 3_000


def test_adopted_run_has_the_time_that_former_restarts_gave_it(harness, make):
    # Guards against a long task that each owner stops anew.
    spec = scheduling.JobSpec(
        id='a',
        route='r',
        payload='x',
        steps=(scheduling.StepSpec(**PLAIN, estimate_ms=2_000),),
    )
    harness.scheduler.add_job(
        spec, harness.now, progress={'stalls': [[0, 0, 0, 3]]}
    )
    start = scheduling.StartTask(
        worker='w0',
        key=scheduling.TaskKey('a', 0, 0, 0),
        run=7,
        payload='',
        checkpoint='',
    )
    for _ in range(20):
        harness.now += POLL_MS
        harness.poll('w0', [make.report(start, 0)])
        assert harness.decide() == ([], [])
