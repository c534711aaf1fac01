"""Test which tasks an overdue filling task goes before."""

import pytest

from oriolestand_policy import scheduling

POLL_MS = 100
RUN_MS = 1_000
OVERDUE_SHARE = 0.1
MIN_WAITING = 6
MAX_WAIT_MS = 10_000 + 2 * RUN_MS
"""The bound of a filling task and the time in which a worker becomes idle."""


ROUTES = (
    scheduling.RoutePolicy(name='r', pool='p', priority=1, max_attempts=2),
    scheduling.RoutePolicy(name='urgent', pool='p', max_attempts=2),
)


class BusyCell:
    """A harness whose workers are kept busy by a stream of tasks."""

    def __init__(self, make, min_waiting=MIN_WAITING, **step):
        self.make = make
        self.min_waiting = min_waiting
        self.harness = make.Harness(2)
        self.step_fields = step
        self.harness.scheduler.set_routes(ROUTES)
        self.ends_ms = {}
        self.run_ms = {}
        self.sequence = 0
        self.added = 0
        self.run(RUN_MS)

    def add(self, job, route='r', **step):
        """Add a job of one step."""
        fields = {'count': 1, 'estimate_ms': RUN_MS} | step
        self.harness.scheduler.add_job(
            scheduling.JobSpec(
                id=job,
                route=route,
                payload='',
                steps=(scheduling.StepSpec(**fields),),
                accepted_ms=self.harness.now,
            ),
            self.harness.now,
        )

    def run(self, milliseconds, until=''):
        """Run rounds until a job has started; return when, or None."""
        end_ms = self.harness.now + milliseconds
        while self.harness.now < end_ms:
            self.harness.now += POLL_MS
            while self._waiting() < self.min_waiting:
                self.added += 1
                name = f'young{self.added:04}'
                self.add(name, 'urgent', **self.step_fields)
            for worker in self.harness.infos:
                self._poll(worker)
            starts, _ = self.harness.decide(wall=self.harness.now)
            for start in starts:
                self.harness.answer(start)
                self.ends_ms[start] = self.harness.now + self._run_ms(start)
            if any(start.key.job == until for start in starts):
                return self.harness.now
        return None

    def _waiting(self):
        """Return the number of younger tasks that wait."""
        return sum(
            name.startswith('young') and not job.is_start_decided
            for name, job in self.harness.scheduler.jobs.items()
        )

    def _poll(self, worker):
        """Report the runs of a worker and their ends."""
        here = [s for s in self.ends_ms if s.worker == worker]
        over = [s for s in here if self.ends_ms[s] <= self.harness.now]
        ends = []
        for start in over:
            del self.ends_ms[start]
            self.sequence += 1
            ends.append(self.make.end(start, 'done', self.sequence))
        running = [
            self.make.report(s, percent=self._percent(s), measured=1_000)
            for s in here
            if s not in over
        ]
        self.harness.poll(worker, running, ends)

    def _run_ms(self, start):
        """Return how long a run takes."""
        return self.run_ms.get(start.key.job, RUN_MS)

    def _percent(self, start):
        """Return the progress of a run."""
        left_ms = self.ends_ms[start] - self.harness.now
        return 100 - 100 * left_ms // self._run_ms(start)


@pytest.mark.parametrize('cpu', [2_000, 9_000])
def test_filling_task_starts_beside_a_stream_of_plain_tasks(make, cpu):
    # Guards against plain tasks, which reserve what they use, and so leave
    # nothing idle for a filling task that is older than they are.
    cell = BusyCell(make, cpu=5_000)
    cell.add('old', cpu=cpu, is_filling=True)
    began_ms = cell.harness.now
    started_ms = cell.run(30_000, until='old')
    assert started_ms is not None
    assert started_ms - began_ms <= MAX_WAIT_MS


@pytest.mark.parametrize(
    'obstacle', [{'label': 'gone'}, {'cpu': 50_000}, {'memory_mb': 50_000}]
)
def test_task_that_fits_nowhere_does_not_take_the_turn(make, obstacle):
    # Guards against room that is kept for older tasks that can never start.
    cell = BusyCell(make, cpu=2_000, is_filling=True)
    for number in range(8):
        fields = {'cpu': 8_000, 'is_filling': True} | obstacle
        cell.add(f'stuck{number}', **fields)
    cell.run(RUN_MS)
    cell.add('old', cpu=8_000, is_filling=True)
    began_ms = cell.harness.now
    started_ms = cell.run(30_000, until='old')
    assert started_ms is not None
    assert started_ms - began_ms <= MAX_WAIT_MS


def test_flood_of_overdue_tasks_gets_its_share_of_the_starts(make):
    # Guards against an overloaded cell in which no job is in time, because
    # hundreds of late ones go first, and against late ones that never run.
    cell = BusyCell(make, min_waiting=50, cpu=500, is_filling=True)
    old = [f'old{number:03}' for number in range(200)]
    for name in old:
        cell.add(name, 'urgent', cpu=500, is_filling=True)
    cell.run(MAX_WAIT_MS)
    jobs = cell.harness.scheduler.jobs
    before = sum(jobs[name].is_start_decided for name in old)
    young_before = cell.added
    cell.run(15_000)
    started = sum(jobs[name].is_start_decided for name in old) - before
    expected = OVERDUE_SHARE * (started + cell.added - young_before)
    assert expected - 2 <= started <= expected + 2


def test_jobs_without_a_run_have_turns_one_after_the_other(make):
    # Guards against a job that waits until older ones have ended.
    cell = BusyCell(make, cpu=4_000, is_filling=True)
    old = [f'old{number}' for number in range(4)]
    for name in old:
        cell.add(name, cpu=4_000, count=40, is_filling=True)
    cell.run(MAX_WAIT_MS)
    jobs = cell.harness.scheduler.jobs
    started = {name: [] for name in old}
    for _ in range(150):
        cell.run(POLL_MS)
        for name in old:
            if any(task.worker for task in jobs[name].all_tasks()):
                started[name].append(cell.harness.now)
    # Four jobs share one of the four places in turns of a second.
    limit_ms = len(old) * 2 * RUN_MS
    for times in started.values():
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(gaps) <= limit_ms


def test_jobs_with_short_runs_wait_no_longer_than_others(make):
    # Guards against a rotation by the last starts, in which a job waits for
    # as long as the runs of all other jobs take, although its own was short.
    cell = BusyCell(make, min_waiting=0)
    names = [f'old{number:02}' for number in range(12)]
    for number, name in enumerate(names):
        cell.run_ms[name] = 200 if number % 2 else 3_000
        cell.add(name, 'urgent', cpu=4_000, count=60, is_filling=True)
    cell.run(MAX_WAIT_MS)
    jobs = cell.harness.scheduler.jobs
    idle = dict.fromkeys(names, 0)
    longest = dict.fromkeys(names, 0)
    for _ in range(150):
        cell.run(POLL_MS)
        for name in names:
            has_run = any(task.worker for task in jobs[name].all_tasks())
            idle[name] = 0 if has_run else idle[name] + POLL_MS
            longest[name] = max(longest[name], idle[name])
    with_short_runs = max(longest[name] for name in names[1::2])
    assert (
        with_short_runs <= max(longest[name] for name in names[::2]) + RUN_MS
    )


def test_turn_of_a_later_step_outlasts_its_owner(make):
    # Guards against a wait that counts from the takeover for a step that
    # became ready long after its job was accepted.
    harness = make.Harness(2)
    first = scheduling.StepSpec(count=1, cpu=1_000)
    second = scheduling.StepSpec(
        count=1, cpu=1_000, is_filling=True, after=(0,), label='gone'
    )
    harness.add('a', first, second, accepted_ms=1_000)
    ((start,), _) = harness.decide(wall=5_000)
    harness.answer(start)
    harness.poll(start.worker, [], [make.end(start, 'done')])
    job = harness.scheduler.jobs['a']
    progress = scheduling.progress_of(job)
    assert progress['ready'] == [[0, 1, 5_000]]
    successor = make.Harness(2)
    successor.scheduler.add_job(
        job.spec, successor.now, progress=progress, needs_probe=True
    )
    successor.decide(wall=14_900)
    task = successor.scheduler.jobs['a'].tasks[0][1][0]
    assert not task.is_overdue
    successor.now += POLL_MS
    successor.decide(wall=15_000)
    assert task.is_overdue


@pytest.mark.parametrize(
    'rows',
    [
        {'ready': [[9, 1, 5]]},
        {'ready': [[0, -3, 5]]},
        {'moved': [[0, 0, 0, -1], [0, 7, 0, 1]]},
        {'idle': [[0, 0, 9, 1, 1, 1], [0, 0, 0, 1, 1, -9]]},
    ],
)
def test_rows_that_fit_no_task_do_not_end_the_owner(make, rows):
    # Guards against an error in each round of each owner, caused by a row of
    # another version.
    harness = make.Harness(2)
    spec = scheduling.JobSpec(
        id='a',
        route='r',
        payload='',
        steps=(scheduling.StepSpec(count=1, cpu=1_000, is_filling=True),),
    )
    harness.scheduler.add_job(spec, harness.now, progress=rows)
    starts, _ = harness.decide(wall=harness.now)
    assert len(starts) == 1
    scheduling.progress_of(harness.scheduler.jobs['a'])


def test_job_with_short_runs_goes_on_in_its_part_of_the_rotation(make):
    # Guards against a job whose short runs each wait for all other jobs, so
    # that it has a run for a small part of the time only.
    cell = BusyCell(make, min_waiting=0)
    names = [f'old{number:02}' for number in range(12)]
    for name in names:
        cell.run_ms[name] = 300
        cell.add(name, 'urgent', cpu=4_000, count=200, is_filling=True)
    cell.run(MAX_WAIT_MS)
    jobs = cell.harness.scheduler.jobs
    had_run = dict.fromkeys(names, False)
    parts = busy_rounds = 0
    for _ in range(200):
        cell.run(POLL_MS)
        for name in names:
            has_run = any(task.worker for task in jobs[name].all_tasks())
            parts += has_run and not had_run[name]
            busy_rounds += has_run
            had_run[name] = has_run
    assert busy_rounds * POLL_MS / parts >= 1_000


def test_one_task_a_second_may_be_slowed_in_its_turn(make):
    # Guards against turns that fill the workers with slowed tasks.
    cell = BusyCell(make, min_waiting=50, cpu=500, is_filling=True)
    old = [f'old{number:03}' for number in range(200)]
    for name in old:
        cell.add(name, 'urgent', cpu=500, is_filling=True)
    cell.run(MAX_WAIT_MS)
    jobs = cell.harness.scheduler.jobs
    tasks = [task for name in old for task in jobs[name].all_tasks()]
    slowed = set()
    for _ in range(10 * RUN_MS // POLL_MS):
        cell.run(POLL_MS)
        slowed.update(task.key for task in tasks if task.may_be_slowed)
    # One a second, the one of the second before, and one on the edge.
    assert 1 < len(slowed) <= 12
