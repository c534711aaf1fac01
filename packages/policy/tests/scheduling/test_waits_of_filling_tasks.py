"""Simulate cells and check how long filling tasks wait for a start."""

import collections
import dataclasses

import pytest

from oriolestand_policy import scheduling

POLL_INTERVAL_MS = 100
LEASE_MS = 6_000
WORKER_CPU = 10_000
BASE_TAIL_MS = 20
TARGET_MS = 100
CHECKPOINT_MS = 500

MAX_WAIT_MS = 10_000
"""Longest wait of a filling task while a worker has room for it."""

MAX_STOPS = 3
"""Stops for interference after which a task runs where it disturbs nobody."""

MAX_OVER_TARGET_MS = 4_000
"""Time over their target after which users are affected."""

YOUNG_RUN_MS = 1_000
YOUNG_WAITING = 10
"""More than can start when all runs of a worker end at once."""

AGE_MS = 30_000
"""Age at which a job can earn nothing any more."""

ROUTES = (
    scheduling.RoutePolicy(
        name='old', pool='p', priority=1, max_attempts=4, target_ms=1_000
    ),
    scheduling.RoutePolicy(
        name='same', pool='p', priority=1, max_attempts=4, target_ms=60_000
    ),
    scheduling.RoutePolicy(
        name='urgent', pool='p', priority=0, max_attempts=4, target_ms=60_000
    ),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulatedRun:
    """A run on a worker; it ends after ``length_ms`` at full pace."""

    start: scheduling.StartTask
    spec: scheduling.StepSpec
    length_ms: int
    done_ms: float = 0.0
    pace: int = 100
    is_stopped: bool = False


class Cell:
    """Workers, services and filling tasks; the clock is simulated.

    Filling tasks slow the service beside them: ``weights`` are the load that
    an image adds if it uses a whole worker. ``services`` are the numbers of
    tasks of the services; each worker gets one at most, and ``load`` is their
    load by their own requests.
    """

    def __init__(self, workers, services=(), load=0.0, weights=None):
        self.now = 100_000
        self.load = load
        self.weights = weights or {}
        self.infos = {
            f'w{n}': scheduling.WorkerInfo(
                id=f'w{n}',
                pool='p',
                address=f'w{n}:1',
                failure_domain='d',
                cpu=WORKER_CPU,
                memory_mb=64_000,
                process_start_ms=1,
            )
            for n in range(workers)
        }
        self.runs = {name: [] for name in self.infos}
        self.unanswered = []
        self.saved_ms = collections.Counter()
        self.stops = collections.Counter()
        self.stop_reasons = collections.Counter()
        self.over_ms = collections.Counter()
        self.longest_over_ms = 0
        self.added = 0
        self.sequence = 0
        self.first_start_ms = {}
        self.done = {}
        self.epoch = 0
        self.scheduler = None
        self.take_over()
        for number, count in enumerate(services):
            self.add(
                f'service{number}',
                'urgent',
                60_000_000,
                cpu=2_000,
                is_service=True,
                image=f's{number}',
                target_ms=TARGET_MS,
                max_per_worker=1,
                count=count,
            )
        self.decide()

    def take_over(self):
        """Replace the scheduler by that of a new owner of the cell."""
        former = self.scheduler
        self.epoch += 1
        self.scheduler = scheduling.Scheduler(self.epoch, LEASE_MS)
        self.scheduler.set_routes(ROUTES)
        self.scheduler.set_workers(self.infos)
        self.scheduler.mark_workers_recorded(self.infos)
        if former is None:
            self.lengths = {}
        else:
            for job in former.jobs.values():
                if job.outcome is None:
                    self.scheduler.add_job(
                        job.spec,
                        self.now,
                        progress=scheduling.progress_of(job),
                        needs_probe=True,
                    )
            self.unanswered = []
        for name in self.infos:
            self._poll(name)

    def add(self, job, route, length_ms, age_ms=0, **fields):
        """Add a job of one step that was accepted some time ago."""
        self.lengths[job] = length_ms
        fields = {'count': 1} | fields
        spec = scheduling.StepSpec(
            memory_mb=1_000, estimate_ms=1_000, **fields
        )
        self.scheduler.add_job(
            scheduling.JobSpec(
                id=job,
                route=route,
                payload='',
                steps=(spec,),
                accepted_ms=self.now - age_ms,
            ),
            self.now,
        )

    def add_filling(self, job, route, length_ms, cpu, image, age_ms=0):
        """Add a job of one filling task with checkpoints."""
        self.add(
            job,
            route,
            length_ms,
            age_ms,
            cpu=cpu,
            image=image,
            is_filling=True,
            has_checkpoints=True,
        )

    def run(self, seconds, young_route='', young_cpu=2_000):
        """Simulate some time, with younger tasks waiting at each moment."""
        end_ms = self.now + round(seconds * 1_000)
        while self.now < end_ms:
            for name in self.infos:
                self.now += POLL_INTERVAL_MS // len(self.infos)
                self._answer()
                self._poll(name)
                if young_route:
                    self._add_young(young_route, young_cpu)
                self.decide()

    def _add_young(self, route, cpu):
        """Add younger tasks until enough of them wait."""
        waiting = sum(
            job.outcome is None
            and name.startswith('young')
            and not job.is_start_decided
            for name, job in self.scheduler.jobs.items()
        )
        for _ in range(YOUNG_WAITING - waiting):
            self.added += 1
            self.add_filling(
                f'young{self.added:05}', route, YOUNG_RUN_MS, cpu, 'calm'
            )

    def _answer(self):
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

    def _tail_of(self, name):
        """Return the tail latency of the service on a worker."""
        load = self.load + sum(
            self.weights.get(run.spec.image, 0.0)
            * run.spec.cpu
            * run.pace
            / 100
            / WORKER_CPU
            for run in self.runs[name]
            if run.spec.is_filling
        )
        return round(BASE_TAIL_MS / (1 - min(load, 0.95)))

    def _poll(self, name):
        """Let runs work until now; report them and their ends."""
        running, ended = [], []
        for run in list(self.runs[name]):
            if run.spec.is_service:
                measured, percent = self._tail_of(name), 100
                self._judge(name, measured)
            else:
                run.done_ms += POLL_INTERVAL_MS * run.pace / 100
                measured = run.spec.cpu * run.pace // 100
                percent = min(99, int(100 * run.done_ms / run.length_ms))
            if run.is_stopped or run.done_ms >= run.length_ms:
                self.runs[name].remove(run)
                ended.append(self._end(run))
                continue
            running.append(
                scheduling.RunReport(
                    key=run.start.key,
                    number=run.start.run,
                    checkpoint='',
                    percent=percent,
                    measured=measured,
                )
            )
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

    def _judge(self, name, tail_ms):
        """Record how long a service has exceeded its target."""
        self.over_ms[name] += POLL_INTERVAL_MS
        if tail_ms <= TARGET_MS:
            self.over_ms[name] = 0
        self.longest_over_ms = max(self.longest_over_ms, self.over_ms[name])

    def _end(self, run):
        """Return the report of an end."""
        key = run.start.key
        self.sequence += 1
        kind = scheduling.EndKind.STOPPED
        if run.done_ms >= run.length_ms:
            kind = scheduling.EndKind.DONE
            self.done[key.job] = self.now
        saved_ms = int(run.done_ms) // CHECKPOINT_MS * CHECKPOINT_MS
        self.saved_ms[key] = saved_ms
        return scheduling.EndReport(
            sequence=self.sequence,
            key=key,
            number=run.start.run,
            kind=kind,
            checkpoint=str(saved_ms) if saved_ms else '',
        )

    def decide(self):
        """Run a scheduling round and carry out its orders."""
        self.scheduler.decide(self.now, self.now, scheduling.FormerRuns())
        for effect in self.scheduler.take_effects():
            if isinstance(effect, scheduling.StartTask):
                self._begin(effect)
            elif isinstance(effect, scheduling.StopTask):
                self._find(effect).is_stopped = True
                self.stops[effect.key.job] += 1
                self.stop_reasons[effect.reason] += 1
            elif isinstance(effect, scheduling.PaceTask):
                self._find(effect).pace = effect.percent

    def _find(self, effect):
        """Return the run that an order is for."""
        return next(
            run
            for run in self.runs[effect.worker]
            if run.start.key == effect.key and run.start.run == effect.run
        )

    def _begin(self, start):
        """Begin a run at its checkpoint."""
        job = start.key.job
        self.first_start_ms.setdefault(job, self.now)
        self.runs[start.worker].append(
            SimulatedRun(
                start=start,
                spec=self.scheduler.jobs[job].spec.steps[0],
                length_ms=self.lengths[job],
                done_ms=self.saved_ms[start.key],
            )
        )
        self.unanswered.append(start)


def wait_of_late_task(cell, route, cpu, terms=1):
    """Return how long a task that can earn nothing any more waits.

    ``terms`` is the number of owners in a row.
    """
    cell.run(1, route)
    cell.add_filling('old', 'old', 500, cpu, 'calm', AGE_MS)
    added_ms = cell.now
    for term in range(terms):
        if term:
            cell.take_over()
        cell.run(30 / terms, route)
    return cell.first_start_ms.get('old', cell.now) - added_ms


@pytest.mark.parametrize('route', ['same', 'urgent'])
def test_late_task_starts_beside_a_stream_of_younger_ones(route):
    # Guards against an order in which younger tasks of the same size always
    # come first.
    waited_ms = wait_of_late_task(Cell(2), route, 2_000)
    assert waited_ms <= MAX_WAIT_MS + YOUNG_RUN_MS


@pytest.mark.parametrize('route', ['same', 'urgent'])
def test_large_task_starts_beside_a_stream_of_younger_ones(route):
    # Guards against younger tasks that take the processors in pieces.
    waited_ms = wait_of_late_task(Cell(2), route, 8_000)
    assert waited_ms <= MAX_WAIT_MS + YOUNG_RUN_MS


def test_late_task_starts_under_short_terms():
    # Guards against a wait that begins anew with each owner.
    waited_ms = wait_of_late_task(Cell(2), 'same', 2_000, terms=6)
    assert waited_ms <= MAX_WAIT_MS + YOUNG_RUN_MS


def test_late_task_starts_beside_services_and_a_stream():
    # Guards against younger tasks that use up the headroom of services.
    cell = Cell(3, [3], 0.5, {'calm': 0.3})
    waited_ms = wait_of_late_task(cell, 'same', 6_000)
    assert waited_ms <= MAX_WAIT_MS + YOUNG_RUN_MS
    assert cell.longest_over_ms < MAX_OVER_TARGET_MS


def loud_task_beside(cell, young_route=''):
    """Run a task that slows services for 40 s; return when it is done."""
    cell.run(6, young_route)
    cell.add_filling('loud', 'old', 2_000, 4_000, 'loud', AGE_MS)
    cell.run(40, young_route)
    return cell.done.get('loud')


def check_loud_task(cell, young_route=''):
    """Run a task that slows services; it must end without many stops."""
    assert loud_task_beside(cell, young_route) is not None
    assert cell.stops['loud'] <= MAX_STOPS
    assert cell.longest_over_ms < MAX_OVER_TARGET_MS


@pytest.mark.parametrize('services', [[3], [1, 1, 1]])
def test_stopped_task_gets_a_worker_without_services(services):
    # Guards against a task that is never started again after its stops for
    # interference, as younger ones use the worker where it disturbs nobody.
    check_loud_task(Cell(4, services, 0.6, {'loud': 2.0}), 'same')


@pytest.mark.parametrize('services', [[3], [1, 1, 1]])
def test_stopped_task_runs_beside_services_at_a_lower_pace(services):
    # Guards against a task that is never started again after its stops for
    # interference, although there is headroom for it at a lower pace.
    check_loud_task(Cell(3, services, 0.6, {'loud': 2.0}))


@pytest.mark.parametrize('services', [[2] * 4, [1] * 8])
def test_task_is_not_stopped_beside_one_service_after_another(services):
    # Guards against tries that differ in nothing but the service that they
    # disturb, each ended by a stop shortly after its start.
    cell = Cell(8, services, 0.6, {'loud': 2.0})
    loud_task_beside(cell)
    assert cell.stops['loud'] <= MAX_STOPS


@pytest.mark.parametrize('services', [[2] * 4, [1] * 8])
def test_task_is_not_stopped_in_each_of_its_turns(services):
    # Guards against an overdue task that goes before others each second, and
    # is stopped for interference each time. A turn comes every 10 s after a
    # stop, beside the tries of other tasks, one at each service.
    cell = Cell(8, services, 0.6, {'loud': 2.0})
    loud_task_beside(cell)
    assert cell.stops['loud'] <= 40 // 10 + 8


def test_calm_tasks_run_beside_services():
    # Guards against keeping workers idle, and against a simulation in which
    # no task could start.
    cell = Cell(2, [2], 0.5)
    cell.run(6)
    for number in range(4):
        cell.add_filling(f'calm{number}', 'same', 1_000, 2_000, 'calm')
    cell.run(3)
    assert len(cell.done) == 4
    assert not cell.stops
