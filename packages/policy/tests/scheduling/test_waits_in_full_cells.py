"""Simulate cells and check how long tasks wait for a start."""

import dataclasses
import random

import pytest

from oriolestand_policy import scheduling

POLL_INTERVAL_MS = 100
LEASE_MS = 6_000
ROUTES = (
    scheduling.RoutePolicy(
        name='r', pool='p', max_attempts=4, target_ms=10_000
    ),
    scheduling.RoutePolicy(
        name='fill', pool='p', priority=2, max_attempts=4, target_ms=60_000
    ),
)
WORKER_MEMORY_MB = 256_000
MEAN_SERVICE_RUN_MS = 20_000
FAILED_SHARE = 0.03
"""Share of the runs of plain and filling tasks that fail."""

MAX_SERVICE_WAIT_MS = 9_000
FREE_CAPACITY_MS = 3_000
"""A service task must run again within 6 s, and capacity for two such tasks
must have been free for 3 s."""

CALM_MS = 7_000
"""Time after injected trouble in which waits are not judged."""

MAX_OTHER_WAIT_MS = 30_000
FULL_CELL = (64, 96) * 4
SMALL_POOL = (64, 96, 64)
SEEDS = (1, 2, 3)


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulatedRun:
    """A run on a worker, which ends at ``end_ms``."""

    start: scheduling.StartTask
    spec: scheduling.StepSpec
    began_ms: int
    end_ms: int
    is_failing: bool


@dataclasses.dataclass(slots=True)
class Wait:
    """Wait of an ended service task.

    ``room_since_ms`` are the times since which capacity for two such tasks
    has been free: in total, and on single workers.
    """

    spec: scheduling.StepSpec
    began_ms: int
    room_since_ms: list[int | None]


class Simulation:
    """Workers and a load that a scheduler places; the clock is simulated."""

    def __init__(self, seed, cores, plain=0, filling=0):
        self.rng = random.Random(seed)
        self.now = 10_000
        self.backlogs = {'plain': plain, 'filling': filling}
        self.infos = {
            f'w{n:02}': scheduling.WorkerInfo(
                id=f'w{n:02}',
                pool='p',
                address=f'w{n}:1',
                failure_domain='d',
                cpu=count * 1_000,
                memory_mb=WORKER_MEMORY_MB,
                process_start_ms=1,
            )
            for n, count in enumerate(cores)
        }
        self.runs = {name: [] for name in self.infos}
        self.scheduler = self._new_scheduler(1)
        self.unanswered = []
        self.added = 0
        self.sequence = 0
        self.trouble_ms = 0
        self.waits = {}
        self.longest_wait_ms = 0
        self.late = set()
        self.started = set()
        for name in self.infos:
            self._poll(name)

    def _new_scheduler(self, epoch):
        """Return a scheduler that knows the routes and workers."""
        scheduler = scheduling.Scheduler(epoch, LEASE_MS)
        scheduler.set_routes(ROUTES)
        scheduler.set_workers(self.infos)
        scheduler.mark_workers_recorded(self.infos)
        return scheduler

    def add(self, job, route='r', **fields):
        """Add a job of one step."""
        spec = scheduling.StepSpec(**fields)
        self.scheduler.add_job(
            scheduling.JobSpec(
                id=job,
                route=route,
                payload='',
                steps=(spec,),
                accepted_ms=self.now,
            ),
            self.now,
        )

    def add_services(self, cores):
        """Add service jobs that need a number of cores together."""
        number = 0
        while cores > 0:
            number += 1
            each = 8 + round(12 * self.rng.betavariate(1, 1.4))
            count = self.rng.randint(1, min(4, len(self.infos) - 1))
            cores -= each * count
            self.add(
                f'service{number}',
                count=count,
                cpu=each * 1_000,
                memory_mb=26_000,
                is_service=True,
                image=f's{number % 4}',
                max_per_worker=number % 2,
            )

    def run(self, seconds):
        """Poll the workers in turn for some time."""
        end_ms = self.now + seconds * 1_000
        names = list(self.infos)
        while self.now < end_ms:
            for name in names:
                self.now += POLL_INTERVAL_MS // len(names)
                self._answer_starts()
                self._poll(name)
                self._top_up()
                self.decide()
            self._judge()

    def _answer_starts(self):
        """Answer the start orders of the previous round."""
        for start in self.unanswered:
            self.scheduler.on_start_reply(
                start.worker,
                start.key,
                start.run,
                scheduling.StartOutcome.STARTED,
                '',
                self.now,
            )
        self.unanswered = []

    def _poll(self, name):
        """Report the runs of a worker and their ends."""
        running, ended = [], []
        for run in self.runs[name]:
            if run.end_ms <= self.now:
                ended.append(self._end(run))
                continue
            passed = (self.now - run.began_ms) / (run.end_ms - run.began_ms)
            percent = 100 if run.spec.is_service else int(100 * passed)
            running.append(
                scheduling.RunReport(
                    key=run.start.key,
                    number=run.start.run,
                    checkpoint='',
                    percent=percent,
                )
            )
        self.runs[name] = [
            run for run in self.runs[name] if run.end_ms > self.now
        ]
        self.scheduler.on_worker_report(
            name,
            scheduling.WorkerReport(
                clock_ms=self.now,
                process_start_ms=1,
                running=tuple(running),
                ended=tuple(ended),
            ),
            self.now,
            self.now,
        )
        self.scheduler.new_lease_end(name, self.now)

    def _end(self, run):
        """Return the report of an end; begin the wait of a service task."""
        if run.spec.is_service:
            self.waits[run.start.key] = Wait(
                run.spec, run.end_ms, [None, None]
            )
        self.sequence += 1
        how = 'failed' if run.is_failing else 'done'
        return scheduling.EndReport(
            sequence=self.sequence,
            key=run.start.key,
            number=run.start.run,
            kind=scheduling.EndKind(how),
            checkpoint='',
        )

    def _top_up(self):
        """Add plain and filling tasks until the wanted numbers wait."""
        ready = self.scheduler.figures.ready_by_kind()
        missing = self.backlogs['plain'] - ready[scheduling.TaskKind.PLAIN]
        for _ in range(missing):
            cores = 1 + round(13 * self.rng.betavariate(1, 2.6))
            self._add_next('r', cores, memory_mb=1_000)
        missing = self.backlogs['filling'] - ready[scheduling.TaskKind.FILLING]
        for _ in range(missing):
            cores = self.rng.randint(1, 4)
            self._add_next('fill', cores, memory_mb=13_000, is_filling=True)

    def _add_next(self, route, cores, **fields):
        """Add a job of one plain or filling task."""
        self.added += 1
        self.add(
            f'job{self.added:06}',
            route=route,
            count=1,
            cpu=cores * 1_000,
            estimate_ms=1_000,
            **fields,
        )

    def decide(self):
        """Run a scheduling round and begin the runs that it starts."""
        self.scheduler.decide(self.now, self.now, scheduling.FormerRuns())
        for effect in self.scheduler.take_effects():
            if isinstance(effect, scheduling.StopTask):
                raise AssertionError(effect)
            if isinstance(effect, scheduling.StartTask):
                self._begin(effect)

    def _begin(self, start):
        """Begin a run; its length and result are random."""
        spec = self.scheduler.jobs[start.key.job].spec.steps[0]
        length_ms = self.rng.randint(300, 2_000)
        is_failing = self.rng.random() < FAILED_SHARE and not spec.is_gang
        if spec.is_service:
            length_ms = 1 + int(self.rng.expovariate(1 / MEAN_SERVICE_RUN_MS))
            is_failing = True
            wait = self.waits.pop(start.key, None)
            if wait is not None:
                waited_ms = self.now - wait.began_ms
                self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)
        self.runs[start.worker].append(
            SimulatedRun(
                start=start,
                spec=spec,
                began_ms=self.now,
                end_ms=self.now + length_ms,
                is_failing=is_failing,
            )
        )
        self.started.add(start.key.job)
        self.unanswered.append(start)

    def _judge(self):
        """Record the service tasks that wait too long beside free capacity."""
        for key, wait in self.waits.items():
            self.longest_wait_ms = max(
                self.longest_wait_ms, self.now - wait.began_ms
            )
            for reading, places in enumerate(self._room_for(key, wait.spec)):
                if places < 2:
                    wait.room_since_ms[reading] = None
                    continue
                since_ms = wait.room_since_ms[reading]
                if since_ms is None:
                    wait.room_since_ms[reading] = since_ms = self.now
                if (
                    self.now - wait.began_ms >= MAX_SERVICE_WAIT_MS
                    and self.now - since_ms >= FREE_CAPACITY_MS
                    and self.now - self.trouble_ms >= CALM_MS
                ):
                    name = ('in total', 'on single workers')[reading]
                    self.late.add((str(key), name))

    def _room_for(self, key, spec):
        """Return for how many tasks of a size there is free capacity.

        Both in total and on single workers. What the runs on the workers
        leave counts, also while the scheduler does not know of their end.
        """
        total_cpu = total_memory = places = 0
        for name, info in self.infos.items():
            active = [r for r in self.runs[name] if r.end_ms > self.now]
            used = sum(r.spec.cpu for r in active if not r.spec.is_filling)
            same = sum(r.start.key[:3] == key[:3] for r in active)
            if spec.max_per_worker and same >= spec.max_per_worker:
                continue
            cpu = info.cpu - used
            memory = info.memory_mb - sum(r.spec.memory_mb for r in active)
            total_cpu += cpu
            total_memory += memory
            fitting = min(cpu // spec.cpu, memory // spec.memory_mb)
            limit = spec.max_per_worker - same
            places += min(fitting, limit) if spec.max_per_worker else fitting
        total = min(total_cpu // spec.cpu, total_memory // spec.memory_mb)
        return total, places

    def end_services(self, count):
        """End some service tasks on each worker now."""
        self.trouble_ms = self.now
        for runs in self.runs.values():
            for run in [r for r in runs if r.spec.is_service][:count]:
                run.end_ms = self.now

    def take_over(self):
        """Replace the scheduler by that of a new owner of the cell."""
        self._answer_starts()
        self.trouble_ms = self.now
        former = self.scheduler
        self.scheduler = self._new_scheduler(2)
        for job in former.jobs.values():
            self.scheduler.add_job(
                job.spec,
                self.now,
                progress=scheduling.progress_of(job),
                needs_probe=True,
            )
        for name in self.infos:
            self._poll(name)


def full_cell(seed):
    """Return a cell in which plain and filling tasks always wait."""
    cell = Simulation(seed, FULL_CELL, plain=40, filling=10)
    cell.add_services(sum(FULL_CELL) // 4)
    cell.decide()
    return cell


@pytest.mark.parametrize('seed', SEEDS)
def test_service_tasks_start_again_in_a_full_cell(seed):
    # Guards against plain tasks that take the capacity in pieces.
    cell = full_cell(seed)
    cell.run(30)
    assert not cell.late, cell.longest_wait_ms


@pytest.mark.parametrize('seed', SEEDS)
def test_large_tasks_start_in_a_full_cell(seed):
    # Guards against smaller tasks that take the capacity in pieces, so that
    # a large task or gang never starts.
    cell = full_cell(seed)
    cell.run(3)
    cell.add('large', count=1, cpu=40_000, memory_mb=1_000, estimate_ms=1_000)
    cell.add(
        'gang',
        count=4,
        cpu=30_000,
        memory_mb=1_000,
        estimate_ms=1_000,
        is_gang=True,
    )
    cell.run(MAX_OTHER_WAIT_MS // 1_000)
    assert {'large', 'gang'} <= cell.started


@pytest.mark.parametrize('seed', SEEDS)
def test_service_tasks_start_again_on_sound_workers(seed):
    # Guards against failures of service tasks that exclude all workers of a
    # small pool.
    cell = Simulation(seed, SMALL_POOL)
    cell.add_services(sum(SMALL_POOL) // 2)
    cell.decide()
    cell.run(2)
    cell.end_services(3)
    cell.run(60)
    assert not cell.late, cell.longest_wait_ms


@pytest.mark.parametrize('seed', SEEDS)
def test_service_tasks_start_again_after_a_takeover(seed):
    # Guards against an order that depends on the memory of the former owner.
    cell = full_cell(seed)
    cell.run(5)
    cell.end_services(1)
    cell.run(1)
    cell.take_over()
    cell.run(25)
    assert not cell.late, cell.longest_wait_ms
