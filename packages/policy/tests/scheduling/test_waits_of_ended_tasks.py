"""Test how long tasks wait in a cell in which smaller tasks always wait."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

POLL_MS = 50
LEASE_MS = 6_000
ROUTE = scheduling.RoutePolicy(
    name='r', pool='p', max_attempts=2, target_ms=60_000
)
SMALL = scheduling.StepSpec(count=1, cpu=2_500, estimate_ms=1_000)
LARGE = scheduling.StepSpec(count=1, cpu=5_000, estimate_ms=4_000)
"""Its objective is 3 s later than that of a small task accepted with it."""

GANG = scheduling.StepSpec(
    count=2, cpu=5_000, estimate_ms=1_000, is_gang=True, max_per_worker=1
)
SERVICE = scheduling.StepSpec(count=1, cpu=5_000, is_service=True)
SMALL_RUN_MS = 1_000
MIN_END_DISTANCE_MS = 2 * POLL_MS
"""Small tasks end one by one, so that no poll reports room for a large one."""

MIN_WAITING = 8
"""Number of small tasks that wait at any time."""

MAX_SERVICE_WAIT_MS = 9_000
"""A service task must run again within 6 s, and capacity must have been free
for 3 s."""

MAX_OTHER_WAIT_MS = 30_000

TERM_MS = 1_500
"""Daemons may be restarted two seconds apart, the owner first each time, and
the next owner claims the cell half a second later."""


class FullCell:
    """A harness whose workers are full of small tasks, more of which wait."""

    def __init__(self, harness, make):
        self.harness = harness
        self.make = make
        self.runs = {}
        self.small_count = 0
        self.last_end_ms = 0
        self.sequence = 0
        harness.scheduler.set_routes([ROUTE])

    def add(self, job, spec):
        """Add a job of one step."""
        self.harness.add(job, spec, accepted_ms=self.harness.now)

    def start(self):
        """Start the tasks that fit; return the ids of their jobs."""
        starts, _ = self.harness.decide(wall=self.harness.now)
        for start in starts:
            self.harness.answer(start)
            end_ms = None
            if start.key.job.startswith('small'):
                end_ms = max(
                    self.harness.now + SMALL_RUN_MS,
                    self.last_end_ms + MIN_END_DISTANCE_MS,
                )
                self.last_end_ms = end_ms
            self.runs[start.key, start.run] = (start, self.harness.now, end_ms)
        return {start.key.job for start in starts}

    def step(self, failing=''):
        """Run until the next polls, at which a job fails; return the starts.

        Return the ids of the jobs that are started then.
        """
        self.harness.now += POLL_MS
        while self.harness.scheduler.figures.waiting_jobs() < MIN_WAITING:
            self.small_count += 1
            self.add(f'small{self.small_count:04}', SMALL)
        for worker in self.harness.infos:
            self._poll(worker, failing)
        return self.start()

    def _poll(self, worker, failing):
        """Report the runs of a worker and their ends."""
        now = self.harness.now
        running, ended = [], []
        for key, (start, began_ms, end_ms) in list(self.runs.items()):
            if start.worker != worker:
                continue
            is_failed = start.key.job == failing
            if not is_failed and (end_ms is None or end_ms > now):
                percent = (now - began_ms) // POLL_MS % 100
                running.append(self.make.report(start, percent))
                continue
            del self.runs[key]
            self.sequence += 1
            how = 'failed' if is_failed else 'done'
            ended.append(self.make.end(start, how, self.sequence))
        self.harness.poll(worker, running, ended)

    def take_over(self):
        """Replace the scheduler by that of a new owner of the cell."""
        former = self.harness.scheduler
        self.harness.scheduler = scheduling.Scheduler(2, LEASE_MS)
        scheduler = self.harness.scheduler
        scheduler.set_routes([ROUTE])
        scheduler.set_workers(self.harness.infos)
        scheduler.mark_workers_recorded(self.harness.infos)
        for job in former.jobs.values():
            scheduler.add_job(
                job.spec,
                self.harness.now,
                progress=scheduling.progress_of(job),
                needs_probe=True,
            )

    def fill(self, failing=''):
        """Run for two seconds, then let a job fail."""
        for _ in range(2_000 // POLL_MS):
            self.step()
        assert failing not in self.step(failing)

    def wait_of(self, job, limit_ms):
        """Return after how long a job starts, or None after the limit."""
        for waited_ms in range(POLL_MS, limit_ms + 1, POLL_MS):
            if job in self.step():
                return waited_ms
        return None


@pytest.fixture
def cell_of(make):
    """Return a function that makes a full cell with some workers."""
    return lambda workers: FullCell(make.Harness(workers), make)


def test_ended_service_task_starts_again_beside_smaller_tasks(cell_of):
    # Guards against smaller tasks that take each piece of capacity as it
    # becomes free, so that an ended service task never starts.
    cell = cell_of(1)
    cell.add('service', SERVICE)
    assert 'service' in cell.start()
    cell.fill(failing='service')
    assert cell.wait_of('service', MAX_SERVICE_WAIT_MS) is not None


def test_failed_large_task_starts_again_beside_smaller_tasks(cell_of):
    # Guards against a failed plain task that never gets a second attempt
    # because smaller tasks take each piece of capacity.
    cell = cell_of(1)
    cell.add('large', LARGE)
    assert 'large' in cell.start()
    cell.fill(failing='large')
    assert cell.wait_of('large', MAX_OTHER_WAIT_MS) is not None


def test_new_large_task_starts_beside_smaller_tasks(cell_of):
    # Guards against a plain task that never starts because later, smaller
    # tasks take each piece of capacity.
    cell = cell_of(1)
    cell.fill()
    cell.add('large', LARGE)
    assert cell.wait_of('large', MAX_OTHER_WAIT_MS) is not None


def test_gang_of_large_tasks_starts_beside_smaller_tasks(cell_of):
    # Guards against a gang that never starts because smaller tasks take the
    # capacity of each worker before that of the other is free.
    cell = cell_of(2)
    cell.fill()
    cell.add('gang', GANG)
    assert cell.wait_of('gang', MAX_OTHER_WAIT_MS) is not None


def test_ended_service_task_starts_again_after_a_takeover(cell_of):
    # Guards against an order that depends on the memory of the former owner:
    # a service task that ended before a takeover then waits without a limit
    # behind plain tasks, although it fits where one of these ends.
    cell = cell_of(1)
    cell.add('service', dataclasses.replace(SERVICE, cpu=SMALL.cpu))
    assert 'service' in cell.start()
    cell.fill(failing='service')
    cell.take_over()
    assert cell.wait_of('service', MAX_SERVICE_WAIT_MS) is not None


@pytest.mark.parametrize('cpu', [SMALL.cpu, SERVICE.cpu])
def test_ended_service_task_starts_again_under_short_terms(cell_of, cpu):
    # Guards against a wait that counts from the last takeover: with owners
    # that change before it is over, the task stays behind plain tasks.
    cell = cell_of(1)
    cell.add('service', dataclasses.replace(SERVICE, cpu=cpu))
    assert 'service' in cell.start()
    cell.fill(failing='service')
    waited_ms = 0
    while waited_ms < MAX_SERVICE_WAIT_MS:
        cell.take_over()
        found_ms = cell.wait_of('service', TERM_MS)
        if found_ms is not None:
            break
        waited_ms += TERM_MS
    assert waited_ms < MAX_SERVICE_WAIT_MS


def test_ended_service_tasks_start_again_beside_free_capacity(harness, make):
    # Guards against failures of service tasks, which are normal, that exclude
    # a sound worker with free capacity again and again.
    harness.scheduler.workers['w1'].is_recorded = False
    spec = scheduling.StepSpec(count=4, cpu=2_000, is_service=True)
    harness.add('service', spec)
    starts, _ = harness.decide()
    assert len(starts) == 4
    for start in starts:
        harness.answer(start)
    began_ms = harness.now + POLL_MS
    restarted = set()
    while harness.now < began_ms + MAX_SERVICE_WAIT_MS:
        harness.now += POLL_MS
        waited_ms = harness.now - began_ms
        failed = {0: starts[:3], 7_500: starts[3:]}.get(waited_ms, [])
        running = starts[3:] if waited_ms < 7_500 else []
        harness.poll(
            'w0',
            [make.report(start) for start in running],
            [make.end(start, 'failed', waited_ms) for start in failed],
        )
        restarted |= {start.key.index for start in harness.decide()[0]}
    assert restarted >= {0, 1, 2}


def test_large_task_starts_beside_smaller_tasks_under_short_terms(cell_of):
    # Guards against a wait that counts from the last takeover: capacity is
    # never reserved for a large plain task, and smaller ones take it all.
    cell = cell_of(1)
    cell.fill()
    cell.add('large', LARGE)
    waited_ms = 0
    while waited_ms < MAX_OTHER_WAIT_MS:
        cell.take_over()
        if cell.wait_of('large', TERM_MS) is not None:
            break
        waited_ms += TERM_MS
    assert waited_ms < MAX_OTHER_WAIT_MS


def test_gang_starts_beside_smaller_tasks_under_short_terms(cell_of):
    # As above, for a gang, which needs capacity on two workers at once.
    cell = cell_of(2)
    cell.fill()
    cell.add('gang', GANG)
    waited_ms = 0
    while waited_ms < MAX_OTHER_WAIT_MS:
        cell.take_over()
        if cell.wait_of('gang', TERM_MS) is not None:
            break
        waited_ms += TERM_MS
    assert waited_ms < MAX_OTHER_WAIT_MS
