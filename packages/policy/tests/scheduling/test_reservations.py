"""Test waits that capacity reservations and exclusions should bound."""

import dataclasses

from oriolestand_policy import scheduling

POLL_MS = 100
MAX_SERVICE_WAIT_MS = 9_000
"""A service task must run again within 6 s, and capacity must have been free
for 3 s."""

MAX_OTHER_WAIT_MS = 60_000
ROUTE = scheduling.RoutePolicy(
    name='r', pool='p', max_attempts=2, target_ms=600_000
)
SMALL = scheduling.StepSpec(count=1, cpu=2_500, estimate_ms=1_000)


class Cell:
    """A harness whose runs end after a time given by the job's prefix."""

    def __init__(self, make, workers, lengths):
        self.make = make
        self.harness = make.Harness(workers)
        self.harness.scheduler.set_routes([ROUTE])
        self.lengths = lengths
        self.runs = []
        self.sequence = 0
        self.count = 0
        self.failing = set()
        self.how = 'failed'

    def add(self, job, spec):
        """Add a job of one step."""
        self.harness.add(job, spec, accepted_ms=self.harness.now)

    def start(self, outcome=scheduling.StartOutcome.STARTED):
        """Start the tasks that fit; return the starts."""
        starts, _ = self.harness.decide(wall=self.harness.now)
        for start in starts:
            self.harness.answer(start, outcome)
            if outcome is scheduling.StartOutcome.STARTED:
                self.runs.append((start, self.harness.now))
        return starts

    def length(self, start):
        """Return how long a run takes."""
        for prefix, length_ms in self.lengths.items():
            if start.key.job.startswith(prefix):
                return length_ms
        return 10**9

    def poll(self):
        """Report runs and ends of all workers."""
        now = self.harness.now = self.harness.now + POLL_MS
        for worker in self.harness.infos:
            running, ended = [], []
            for run in [r for r in self.runs if r[0].worker == worker]:
                start, began_ms = run
                is_failed = start.key.job in self.failing
                length = self.length(start)
                if not is_failed and now - began_ms < length:
                    percent = (now - began_ms) // POLL_MS % 100
                    if length < 10**9:
                        percent = 100 * (now - began_ms) // length
                    running.append(self.make.report(start, percent))
                    continue
                self.runs.remove(run)
                self.sequence += 1
                how = self.how if is_failed else 'done'
                ended.append(self.make.end(start, how, self.sequence))
            self.harness.poll(worker, running, ended)
        self.failing = set()

    def step(self, spec=SMALL, waiting=8):
        """Keep small tasks waiting, poll and start; return started jobs."""
        while self.harness.scheduler.figures.waiting_jobs() < waiting:
            self.count += 1
            self.add(f'small{self.count:05}', spec)
        self.poll()
        return {start.key.job for start in self.start()}

    def wait_of(self, job, limit_ms, **fields):
        """Return after how long a job starts, or None after the limit."""
        for waited_ms in range(POLL_MS, limit_ms + 1, POLL_MS):
            if job in self.step(**fields):
                return waited_ms
        return None


def label(harness, names):
    """Give a label to some workers, and none to the others."""
    for name, info in harness.infos.items():
        labels = frozenset({'x'} if name in names else ())
        harness.infos[name] = dataclasses.replace(info, labels=labels)
    harness.scheduler.set_workers(harness.infos)


def test_reservation_is_not_kept_on_workers_with_long_runs(make):
    # Guards against a choice among the eight workers with the smallest
    # shortage of processors only. Here these lack memory, which is held by
    # runs of an hour, while another worker could make room within a second.
    # Small tasks end one by one.
    lengths = {f'small0000{n}': 800 + 200 * n for n in range(1, 5)}
    lengths |= {'small': 1_000, 'long': 3_600_000}
    cell = Cell(make, 9, lengths)
    cell.how = 'lapsed'
    cell.add(
        'long',
        scheduling.StepSpec(
            count=8,
            cpu=1_000,
            memory_mb=10_000,
            estimate_ms=3_600_000,
            max_per_worker=1,
        ),
    )
    cell.start()
    small = dataclasses.replace(SMALL, memory_mb=100)
    service = scheduling.StepSpec(
        count=1, cpu=5_000, memory_mb=100, is_service=True
    )
    cell.add('service', service)
    assert len(cell.start()) == 1
    cell.failing = {'service'}
    assert 'service' not in cell.step(small)
    waited = cell.wait_of('service', 10 * MAX_SERVICE_WAIT_MS, spec=small)
    assert waited is not None
    assert waited <= MAX_SERVICE_WAIT_MS


def test_large_task_starts_beside_runs_of_twenty_seconds(make):
    # Guards against reservations that end before the runs on the worker do.
    # Until the next one, up to a second later, smaller tasks take all the
    # capacity that had been kept.
    cell = Cell(make, 1, {'small': 20_000})
    small = dataclasses.replace(SMALL, estimate_ms=20_000)
    for _ in range(4):
        cell.count += 1
        cell.add(f'small{cell.count:05}', small)
        cell.start()
        for _ in range(50):
            cell.poll()
    cell.add(
        'large', scheduling.StepSpec(count=1, cpu=10_000, estimate_ms=1_000)
    )
    waited = cell.wait_of('large', 5 * MAX_OTHER_WAIT_MS, spec=small)
    assert waited is not None


def test_one_overdue_task_does_not_block_the_others_of_its_pool(make):
    # Guards against the oldest overdue task, whose only worker makes no room
    # for an hour, holding the single reservation of its pool for good.
    cell = Cell(make, 2, {'small': 1_000, 'long': 3_600_000})
    label(cell.harness, {'w0'})
    cell.add(
        'long',
        scheduling.StepSpec(
            count=1, cpu=10_000, estimate_ms=3_600_000, label='x'
        ),
    )
    cell.start()
    for _ in range(4):
        # Small tasks end one by one.
        cell.count += 1
        cell.add(f'small{cell.count:05}', SMALL)
        cell.start()
        cell.poll()
        cell.poll()
    cell.add(
        'labelled',
        scheduling.StepSpec(count=1, cpu=10_000, estimate_ms=1, label='x'),
    )
    cell.step()
    cell.add('large', scheduling.StepSpec(count=1, cpu=10_000, estimate_ms=1))
    waited = cell.wait_of('large', 2 * MAX_OTHER_WAIT_MS)
    assert waited is not None


def test_refused_start_does_not_begin_the_wait_anew(make):
    # Guards against a wait that a refused start resets: the task then waits
    # for another 10 s until capacity is reserved for it again.
    harness = make.Harness(1)
    harness.add('a', SMALL)
    harness.now += 1_000
    harness.poll('w0')
    (start,) = harness.decide()[0]
    harness.answer(start, scheduling.StartOutcome.REFUSED)
    (task,) = harness.scheduler.jobs['a'].tasks[0][0]
    assert task.ready_ms == 10_000


def test_service_tasks_start_again_on_the_only_labelled_worker(make):
    # Guards against a limit that holds for the pool only: all workers that
    # may run the task can be excluded for 8 s after each single failure.
    harness = make.Harness(4)
    label(harness, {'w0'})
    harness.add(
        'service',
        scheduling.StepSpec(count=4, cpu=2_000, is_service=True, label='x'),
    )
    starts, _ = harness.decide()
    for start in starts:
        harness.answer(start)
    began_ms = harness.now + POLL_MS
    restarted = set()
    while harness.now < began_ms + MAX_SERVICE_WAIT_MS:
        harness.now += POLL_MS
        waited_ms = harness.now - began_ms
        failed = {0: starts[:3], 7_500: starts[3:]}.get(waited_ms, [])
        running = starts[3:] if waited_ms < 7_500 else []
        for worker in harness.infos:
            is_first = worker == 'w0'
            harness.poll(
                worker,
                [make.report(s) for s in running if is_first],
                [make.end(s, 'failed', waited_ms) for s in failed if is_first],
            )
        restarted |= {start.key.index for start in harness.decide()[0]}
    assert restarted >= {0, 1, 2}


def test_gang_does_not_reserve_a_whole_pool(make):
    # Guards against a gang that exceeds the share of a pool's workers that
    # may hold reservations, so that nothing else starts meanwhile.
    cell = Cell(make, 8, {'small': 1_000, 'long': 60_000})
    long = scheduling.StepSpec(
        count=8, cpu=5_000, estimate_ms=60_000, max_per_worker=1
    )
    cell.add('long', long)
    cell.start()
    cell.step(waiting=40)
    cell.add(
        'gang',
        scheduling.StepSpec(
            count=8,
            cpu=9_000,
            estimate_ms=1_000,
            is_gang=True,
            max_per_worker=1,
        ),
    )
    idle = 0
    for _ in range(300):
        starts = cell.step(waiting=40)
        workers = cell.harness.scheduler.workers.values()
        idle += all(w.capacity.reserved_cpu for w in workers) and not starts
    assert not idle


def test_task_without_accelerators_starts_beside_one_that_waits(harness):
    # Guards against a class of demands that leaves out accelerators: all
    # later tasks of the same size are passed over.
    harness.add('gpu', dataclasses.replace(SMALL, accelerators=1))
    harness.add('plain', SMALL)
    assert [s.key.job for s in harness.decide()[0]] == ['plain']


def test_filling_task_starts_beside_one_of_another_image(harness):
    # Guards against a class of demands that leaves out the image of filling
    # tasks, which decides beside which service tasks they fit.
    label(harness, {'w0', 'w1'})
    harness.add(
        'service',
        scheduling.StepSpec(
            count=2,
            cpu=1_000,
            is_service=True,
            image='web',
            target_ms=18,
            max_per_worker=1,
        ),
    )
    harness.decide()
    loud = scheduling.StepSpec(
        count=1, cpu=4_000, is_filling=True, image='loud'
    )
    trial = dataclasses.replace(loud, count=3)
    harness.add('a', trial)
    first = len(harness.decide()[0])
    assert first == 1
    harness.add('b', dataclasses.replace(loud, image='other'))
    assert [s.key.job for s in harness.decide()[0]] == ['b']


def test_filling_task_starts_beside_many_that_fit_nowhere(make):
    # Guards against a limit on checks that examines the same tasks in each
    # round: once enough of the most urgent fit nowhere, no other starts.
    harness = make.Harness(350)
    for number in range(12):
        harness.add(
            f'a{number:02}',
            scheduling.StepSpec(
                count=1, cpu=11_000 + number, is_filling=True, image='a'
            ),
        )
    harness.add(
        'b',
        scheduling.StepSpec(count=1, cpu=1_000, is_filling=True, image='a'),
    )
    started = set()
    for _ in range(20):
        harness.now += POLL_MS
        for name in harness.infos:
            harness.poll(name)
        started |= {s.key.job for s in harness.decide()[0]}
    assert started == {'b'}


def test_report_names_reservations_as_the_obstacle(make):
    # Guards against reports that name a limit per worker where capacity is
    # reserved for another task.
    harness = make.Harness(1)
    harness.add('a', SMALL)
    harness.scheduler.workers['w0'].reserve(
        scheduling.StepSpec(count=1, cpu=9_000)
    )
    (task,) = harness.scheduler.jobs['a'].tasks[0][0]
    report = scheduling._waits.explain_wait(
        harness.scheduler.workers.values(), task, 'p', harness.now
    )
    assert dict(report.obstacles) == {'reserved': 1}


def test_reservation_is_kept_on_the_worker_of_a_failed_run(make):
    # Guards against a task that rather waits for runs of an hour than use
    # the worker on which it has failed, and which makes room at once.
    lengths = {f'small0000{n}': 800 + 200 * n for n in range(1, 5)}
    lengths |= {'small': 1_000, 'long': 3_600_000}
    cell = Cell(make, 2, lengths)
    cell.add(
        'long',
        scheduling.StepSpec(
            count=1, cpu=1_000, memory_mb=10_000, estimate_ms=3_600_000
        ),
    )
    cell.start()
    small = dataclasses.replace(SMALL, memory_mb=100)
    service = scheduling.StepSpec(
        count=1, cpu=5_000, memory_mb=100, is_service=True
    )
    cell.add('service', service)
    assert len(cell.start()) == 1
    cell.failing = {'service'}
    assert 'service' not in cell.step(small)
    waited = cell.wait_of('service', 10 * MAX_SERVICE_WAIT_MS, spec=small)
    assert waited is not None
    assert waited <= MAX_SERVICE_WAIT_MS
