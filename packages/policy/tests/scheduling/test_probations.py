"""Tests of how long suspects of crashes wait for a worker."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

ROUND_MS = 50
REPORT_MS = 250
STOP_MS = 300


class FullCell:
    """A cell whose free capacity small tasks take at once."""

    def __init__(self, make, workers, run_ms):
        self.make = make
        self.harness = make.Harness(workers=workers)
        self.run_ms = run_ms
        self.ends_ms = {}
        self.stopped = set()
        self.sequence = 0
        self.jobs = 0
        self.started = {}
        for _ in range(workers * 10):
            self.add_small()
        self.run(run_ms)

    def add_small(self):
        """Add a job of one small task."""
        self.jobs += 1
        self.harness.add(
            f'small{self.jobs:04}',
            scheduling.StepSpec(count=1, cpu=1_000, estimate_ms=self.run_ms),
        )

    def run(self, milliseconds, until=None):
        """Run rounds; stop early once the job ``until`` has started."""
        harness = self.harness
        end_ms = harness.now + milliseconds
        while harness.now < end_ms and until not in self.started:
            harness.now += ROUND_MS
            if harness.now % REPORT_MS == 0:
                self.report()
            while len(harness.scheduler.figures.ready_by_kind()) and (
                sum(harness.scheduler.figures.ready_by_kind().values()) < 20
            ):
                self.add_small()
            starts, stops = harness.decide()
            for stop in stops:
                self.stop(stop)
            for start in starts:
                harness.answer(start)
                # The ends are spread over time.
                spread_ms = len(self.ends_ms) % 10 * self.run_ms // 10
                is_first = harness.now < 10_000 + self.run_ms
                end = harness.now + (spread_ms if is_first else self.run_ms)
                self.ends_ms[start] = end
                self.started.setdefault(start.key.job, harness.now)

    def stop(self, stop):
        """Answer a stop order; the run ends some time later."""
        harness = self.harness
        harness.scheduler.on_stop_reply(
            stop.worker, stop.key, stop.run, True, harness.now
        )
        for start, end_ms in self.ends_ms.items():
            if (start.key, start.run) == (stop.key, stop.run):
                self.ends_ms[start] = min(end_ms, harness.now + STOP_MS)
                self.stopped.add(start)

    def report(self):
        """Let each worker list its runs and those that have ended."""
        for name in self.harness.infos:
            here = [s for s in self.ends_ms if s.worker == name]
            over = [s for s in here if self.ends_ms[s] <= self.harness.now]
            ends = []
            for start in over:
                del self.ends_ms[start]
                self.sequence += 1
                how = 'stopped' if start in self.stopped else 'done'
                ends.append(self.make.end(start, how, self.sequence))
            running = [
                self.make.report(s, percent=self.percent(s))
                for s in here
                if s not in over
            ]
            self.harness.poll(name, running, ends)

    def percent(self, start):
        """Return the progress of a run."""
        left_ms = self.ends_ms[start] - self.harness.now
        return max(0, 100 - 100 * left_ms // self.run_ms)

    def add_job(self, crashes, **step):
        """Add a job; ``crashes`` are the rows of its record."""
        spec = scheduling.JobSpec(
            id='s',
            route='r',
            payload='x',
            steps=(scheduling.StepSpec(**step),),
        )
        progress = {'crashes': crashes}
        self.harness.scheduler.add_job(
            spec, self.harness.now, progress=progress
        )

    def wait_ms(self, limit_ms):
        """Return how long the job waits for its start, or None."""
        began_ms = self.harness.now
        self.run(limit_ms, until='s')
        started_ms = self.started.get('s')
        return None if started_ms is None else started_ms - began_ms


SUSPECT = [[0, 0, 0, [['z', 'shared']], None]]


@pytest.mark.parametrize('crashes', [[], SUSPECT])
@pytest.mark.parametrize('run_ms', [4_000, 20_000])
@pytest.mark.parametrize('is_service', [False, True])
def test_large_task_starts_in_a_full_cell(make, is_service, run_ms, crashes):
    # Guards against a suspect whose worker is given to others before its runs
    # have ended, so that it never starts.
    cell = FullCell(make, workers=4, run_ms=run_ms)
    cell.add_job(
        crashes,
        count=1,
        cpu=10_000,
        estimate_ms=1_000,
        is_service=is_service,
    )
    assert cell.wait_ms(90_000) is not None


def test_service_task_does_not_wait_for_large_suspects(make):
    # Guards against a service task that is kept waiting for the limit of
    # suspects, which tasks use up that wait for a worker to become empty.
    cell = FullCell(make, workers=4, run_ms=20_000)
    large = scheduling.StepSpec(count=3, cpu=10_000, estimate_ms=1_000)
    cell.harness.scheduler.add_job(
        scheduling.JobSpec(id='large', route='r', payload='x', steps=(large,)),
        cell.harness.now,
        progress={
            'crashes': [
                [0, 0, n, [['z', 'shared']], None] for n in range(large.count)
            ]
        },
    )
    cell.run(1_000)
    cell.add_job(
        SUSPECT, count=1, cpu=10_000, estimate_ms=1_000, is_service=True
    )
    waited_ms = cell.wait_ms(20_000)
    assert waited_ms is not None
    assert waited_ms <= 6_000


@pytest.mark.parametrize('crashes', [[], SUSPECT])
def test_gang_with_a_suspect_starts_in_a_full_cell(make, crashes):
    # Guards against a gang for whose other members no room is made, as only
    # the suspect has a worker that is kept for it.
    cell = FullCell(make, workers=4, run_ms=4_000)
    cell.add_job(crashes, count=4, cpu=10_000, estimate_ms=1_000, is_gang=True)
    assert cell.wait_ms(90_000) is not None


@pytest.mark.parametrize('others', [0, 8, 60])
def test_suspects_of_another_pool_do_not_hold_up_a_suspect(make, others):
    # Guards against waiting suspects that find no worker and use up all
    # selections of a round each time.
    harness = make.Harness(workers=4)
    harness.scheduler.set_routes(
        [scheduling.RoutePolicy(name='q', pool='empty', max_attempts=2)]
    )
    for job, route, count in (('a', 'q', others), ('b', 'r', 1)):
        if not count:
            continue
        harness.scheduler.add_job(
            scheduling.JobSpec(
                id=job,
                route=route,
                payload='x',
                steps=(scheduling.StepSpec(count=count, cpu=1_000),),
            ),
            harness.now,
            progress={
                'crashes': [
                    [0, 0, n, [['z', 'shared']], None] for n in range(count)
                ]
            },
        )
    for _ in range(200):
        harness.now += ROUND_MS
        for name in harness.infos:
            harness.poll(name)
        starts, _ = harness.decide()
        if starts:
            return
    pytest.fail('the suspect was not started within 10 s')


def unplaceable_step(kind, number):
    """Return the step of a task that no worker can run."""
    if kind == 'label':
        return {'cpu': 1_000, 'label': 'gone'}
    if kind == 'labels':
        return {'cpu': 1_000, 'label': f'gone{number}'}
    if kind == 'sizes':
        return {'cpu': 1_000 + number, 'label': 'gone'}
    if kind == 'large':
        return {'cpu': 20_000 + number}
    return {'cpu': 1_000, 'is_filling': True, 'image': 'f', 'memory_mb': 10**6}


@pytest.mark.parametrize('is_service', [False, True])
@pytest.mark.parametrize('others', [1, 60])
@pytest.mark.parametrize(
    'kind', ['label', 'labels', 'sizes', 'large', 'filling']
)
def test_suspects_that_no_worker_can_run_do_not_hold_up_a_suspect(
    make, kind, others, is_service
):
    # Guards against a service task that never starts again after a crash, as
    # suspects of its pool that find no worker are tried first in each round.
    harness = make.Harness(workers=4)
    for number in range(others):
        harness.scheduler.add_job(
            scheduling.JobSpec(
                id=f'a{number:02}',
                route='r',
                payload='x',
                steps=(
                    scheduling.StepSpec(
                        count=1, **unplaceable_step(kind, number)
                    ),
                ),
            ),
            harness.now,
            progress={'crashes': [[0, 0, 0, [['z', 'shared']], None]]},
        )
    harness.scheduler.add_job(
        scheduling.JobSpec(
            id='b',
            route='r',
            payload='x',
            steps=(
                scheduling.StepSpec(count=1, cpu=1_000, is_service=is_service),
            ),
        ),
        harness.now,
        progress={'crashes': [[0, 0, 0, [['z', 'alone']], None]]},
    )
    for _ in range(2_000 // ROUND_MS):
        harness.now += ROUND_MS
        for name in harness.infos:
            harness.poll(name)
        starts, _ = harness.decide()
        if starts:
            assert starts[0].key.job == 'b'
            return
    pytest.fail('the suspect was not started within 2 s')


def test_suspects_of_one_step_use_up_one_attempt(make):
    # Guards against a suspect that waits behind thousands of one step that no
    # worker can run, each of which examines the whole pool.
    harness = make.Harness(workers=40)
    for job, count, fields in (('a', 3_000, {'label': 'gone'}), ('b', 1, {})):
        step = scheduling.StepSpec(count=count, cpu=1_000, **fields)
        harness.scheduler.add_job(
            scheduling.JobSpec(id=job, route='r', payload='x', steps=(step,)),
            harness.now,
            progress={
                'crashes': [
                    [0, 0, n, [['z', 'shared']], None] for n in range(count)
                ]
            },
        )
        harness.now += 1
    starts = []
    for _ in range(2):
        harness.now += ROUND_MS
        starts += harness.decide()[0]
    assert [start.key.job for start in starts] == ['b']


def test_task_is_not_started_in_the_round_that_gives_it_up(make):
    # Guards against one more crashed worker after the task is given up, if
    # that follows from the end of a lease, which the round itself finds. The
    # next worker at the address shows that the silent one has crashed.
    harness = make.Harness(workers=3)
    spec = scheduling.JobSpec(
        id='s',
        route='r',
        payload='x',
        steps=(scheduling.StepSpec(count=1, cpu=1_000),),
    )
    progress = {'crashes': [[0, 0, 0, [['z', 'alone']], None]]}
    harness.scheduler.add_job(spec, harness.now, progress=progress)
    (start,), _ = harness.decide()
    harness.answer(start)
    harness.now += 50
    harness.scheduler.on_poll_failed(start.worker, harness.now)
    lost = harness.infos.pop(start.worker)
    harness.scheduler.set_workers(
        {
            **harness.infos,
            'next': dataclasses.replace(lost, id='next', process_start_ms=2),
        }
    )
    while start.worker in harness.scheduler.workers:
        harness.now += ROUND_MS
        for name in harness.infos:
            harness.poll(name)
        assert harness.decide()[0] == []
    harness.decide()
    assert harness.scheduler.jobs['s'].outcome is scheduling.Outcome.FAILED


@pytest.mark.parametrize('kind', ['shared', 'alone'])
def test_suspect_is_not_overtaken_by_later_ones_for_ever(make, kind):
    # Guards against a suspect that waits for as long as others come, after it
    # lost the worker that was kept for it, or as it was alone in a crash.
    harness = make.Harness(workers=8)
    began_ms = {}
    sequence = 0

    def add(job, kinds):
        crashes = [[f'z{n}', kind] for n, kind in enumerate(kinds)]
        harness.scheduler.add_job(
            scheduling.JobSpec(
                id=job,
                route='r',
                payload='x',
                steps=(scheduling.StepSpec(count=1, cpu=10_000),),
            ),
            harness.now,
            progress={'crashes': [[0, 0, 0, crashes, None]]},
        )

    # All workers are busy, so that one is kept for the suspect.
    busy = scheduling.StepSpec(count=8, cpu=10_000, estimate_ms=900)
    harness.add('busy', busy)
    for start in harness.decide()[0]:
        harness.answer(start)
        began_ms[start] = harness.now
    add('first', [kind])
    harness.decide()
    (held,) = (
        name
        for name, worker in harness.scheduler.workers.items()
        if worker.is_on_probation
    )
    info = harness.infos.pop(held)
    harness.infos['new'] = dataclasses.replace(info, id='new')
    began_ms = {s: ms for s, ms in began_ms.items() if s.worker != held}
    harness.scheduler.set_workers(harness.infos)
    harness.scheduler.mark_workers_recorded(harness.infos)
    harness.scheduler.remove_worker(held, 'replaced')
    for step in range(400):
        harness.now += ROUND_MS
        if step % 4 == 0:
            add(f'later{step:03}', ['shared'])
        for name in harness.infos:
            here = [s for s in began_ms if s.worker == name]
            over = [s for s in here if harness.now - began_ms[s] >= 1_000]
            ends = []
            for start in over:
                del began_ms[start]
                sequence += 1
                ends.append(make.end(start, 'done', sequence))
            running = [make.report(s) for s in here if s in began_ms]
            harness.poll(name, running, ends)
        for start in harness.decide()[0]:
            harness.answer(start)
            began_ms[start] = harness.now
            if start.key.job == 'first':
                return
    pytest.fail('the suspect was not started within 20 s')
