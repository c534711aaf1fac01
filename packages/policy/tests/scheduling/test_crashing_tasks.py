"""Simulate cells in which some tasks crash every worker that starts them."""

import collections
import dataclasses
import json
import random

import pytest

from oriolestand_policy import scheduling

LEASE_MS = 6_000
STEP_MS = 10
CRASH_MS = 10
"""How long a harmful task runs before its worker crashes."""

NOTICE_MS = 150
"""How long a poll takes to fail after a crash."""

DOWN_MS = 3_300
POLL_MS = 400
STORE_MS = 30
"""How long a write of a record takes."""

MAX_CRASHES = 3
MAX_LATE_STARTS = 2
MAX_STARTS = MAX_CRASHES + MAX_LATE_STARTS
"""A task must not be started three times more after three workers have
crashed under it."""

NEW_MS = 300
"""Age up to which a run counts as new beside a suspect."""

SEEDS = range(30)
ROUTES = (scheduling.RoutePolicy(name='r', pool='p', max_attempts=3),)


@dataclasses.dataclass(slots=True, kw_only=True)
class SimulatedWorker:
    """One life of a machine; ``runs`` maps each run to its begin and end."""

    info: scheduling.WorkerInfo
    runs: dict = dataclasses.field(default_factory=dict)
    ended: list = dataclasses.field(default_factory=list)
    polled_ms: int = -POLL_MS
    sequence: int = 0
    crashed_ms: int = 0
    back_ms: int = 0
    is_noticed: bool = False


class Simulation:
    """Machines in racks, and an owner that can be replaced at any time."""

    def __init__(self, seed=0, machines=12, racks=3):
        self.rng = random.Random(seed)
        self.now = 10_000
        self.epoch = 0
        self.lives = 0
        self.specs = {}
        self.harmful = set()
        self.starts = {}
        self.crashes = collections.Counter()
        self.late_starts = collections.Counter()
        self.records = {}
        self.writes = []
        self.events = []
        self.violations = []
        self.broken_gangs = set()
        self.workers = {}
        for machine in range(machines):
            self.add_life(f'm{machine:02}', f'rack{machine % racks}')
        self.scheduler = None
        self.take_over()

    def add_life(self, address, rack):
        """Add the next worker on a machine."""
        self.lives += 1
        info = scheduling.WorkerInfo(
            id=f'{address}-{self.lives}',
            pool='p',
            address=address,
            failure_domain='d',
            cpu=16_000,
            memory_mb=64_000,
            rack=rack,
            process_start_ms=self.now,
        )
        self.workers[info.id] = SimulatedWorker(info=info)

    def add(self, job, harmful=(), **fields):
        """Add a job of one step; the tasks at ``harmful`` crash workers."""
        fields = {'cpu': 2_000, 'estimate_ms': 800, **fields}
        self.specs[job] = scheduling.JobSpec(
            id=job,
            route='r',
            payload='',
            steps=(scheduling.StepSpec(**fields),),
            accepted_ms=self.now,
        )
        self.harmful.update(
            scheduling.TaskKey(job, 0, 0, index) for index in harmful
        )
        self.scheduler.add_job(self.specs[job], self.now)

    def listed(self):
        """Return the registered workers: those that are up."""
        return {
            name: worker.info
            for name, worker in self.workers.items()
            if not worker.back_ms
        }

    def take_over(self):
        """Replace the owner by one that knows only what is stored."""
        former = self.scheduler
        self.epoch += 1
        self.scheduler = scheduling.Scheduler(self.epoch, LEASE_MS)
        self.scheduler.set_routes(ROUTES)
        self.former = set()
        if former is not None:
            self.former = set(former.workers)
            for worker in former.workers.values():
                self.scheduler.add_former_worker(worker.info)
        # Writes that were on their way are lost with the former owner.
        self.writes = []
        for job, spec in self.specs.items():
            record = self.records.get(job)
            self.scheduler.add_job(
                spec,
                self.now,
                progress=json.loads(record) if record else None,
                needs_probe=former is not None,
            )
        for worker in self.workers.values():
            worker.polled_ms = -POLL_MS
            worker.is_noticed = False
        self.update_workers()

    def update_workers(self):
        """Pass the registered workers to the owner."""
        listed = self.listed()
        self.scheduler.set_workers(listed)
        self.scheduler.mark_workers_recorded(listed)

    def run(self, milliseconds, each=lambda: None):
        """Let the cell run for some time."""
        end_ms = self.now + milliseconds
        while self.now < end_ms:
            self.now += STEP_MS
            each()
            self.store_records()
            for worker in list(self.workers.values()):
                self.step_worker(worker)
            self.decide()

    def store_records(self):
        """Apply the writes that have arrived."""
        while self.writes and self.writes[0][0] <= self.now:
            _, job, record = self.writes.pop(0)
            self.records[job] = record

    def step_worker(self, worker):
        """Let runs end or crash the worker, and poll it if that is due."""
        if worker.back_ms:
            self.step_crashed(worker)
            return
        for key, (began_ms, end_ms) in list(worker.runs.items()):
            if key[0] in self.harmful and self.now >= began_ms + CRASH_MS:
                self.crashes[key[0]] += 1
                self.crash(worker)
                return
            if self.now >= end_ms:
                self.end(worker, key, 'done')
        if worker.ended or self.now - worker.polled_ms >= POLL_MS:
            self.poll(worker)

    def end(self, worker, key, how):
        """List the end of a run."""
        del worker.runs[key]
        worker.sequence += 1
        worker.ended.append(
            scheduling.EndReport(
                sequence=worker.sequence,
                key=key[0],
                number=key[1],
                kind=scheduling.EndKind(how),
                checkpoint='',
            )
        )

    def poll(self, worker):
        """Apply a report of a worker."""
        worker.polled_ms = self.now
        name = worker.info.id
        self.scheduler.new_lease_end(name, self.now)
        ended, worker.ended = worker.ended, []
        running = [
            scheduling.RunReport(
                key=key,
                number=number,
                checkpoint='',
                percent=100 * (self.now - began_ms) // (end_ms - began_ms),
            )
            for (key, number), (began_ms, end_ms) in worker.runs.items()
        ]
        self.scheduler.on_worker_report(
            name,
            scheduling.WorkerReport(
                clock_ms=self.now,
                process_start_ms=worker.info.process_start_ms,
                running=tuple(running),
                ended=tuple(ended),
            ),
            self.now,
            self.now,
        )
        self.former.discard(name)
        self.apply_effects()

    def crash(self, worker, down_ms=DOWN_MS):
        """Let a worker crash; its runs are lost, and their gangs end."""
        gangs = {
            (key[:3], number)
            for key, number in worker.runs
            if self.specs[key.job].steps[0].is_gang
        }
        worker.runs.clear()
        self.break_gangs(gangs, 'broken')
        worker.ended.clear()
        worker.crashed_ms = self.now
        worker.back_ms = self.now + down_ms

    def break_gangs(self, gangs, how):
        """End the runs of gangs of which a member is missing."""
        self.broken_gangs |= gangs
        for worker in self.workers.values():
            for key, number in list(worker.runs):
                if (key[:3], number) in gangs:
                    self.end(worker, (key, number), how)

    def crash_rack(self, rack):
        """Let all workers of a rack crash at the same moment."""
        for worker in self.workers.values():
            if worker.info.rack == rack and not worker.back_ms:
                self.crash(worker)

    def step_crashed(self, worker):
        """Let polls of a crashed worker fail until the next life answers."""
        name = worker.info.id
        if not worker.is_noticed and self.now >= (
            worker.crashed_ms + NOTICE_MS
        ):
            worker.is_noticed = True
            self.scheduler.on_poll_failed(name, self.now)
            self.apply_effects()
        if self.now < worker.back_ms:
            return
        del self.workers[name]
        self.add_life(worker.info.address, worker.info.rack)
        self.scheduler.remove_worker(name, 'replaced')
        self.former.discard(name)
        self.update_workers()
        self.apply_effects()

    def decide(self):
        """Run a scheduling round."""
        self.former &= set(self.scheduler.workers)
        former_runs = scheduling.FormerRuns(worker_ids=frozenset(self.former))
        self.scheduler.decide(self.now, self.now, former_runs)
        self.apply_effects()

    def apply_effects(self):
        """Carry out the orders and start the writes of records."""
        for effect in self.scheduler.take_effects():
            if isinstance(effect, scheduling.StartTask):
                self.start(effect)
            elif isinstance(effect, scheduling.StopTask):
                self.stop(effect)
            elif isinstance(effect, scheduling.SaveJob):
                job = self.scheduler.jobs[effect.job]
                record = json.dumps(scheduling.progress_of(job))
                self.writes.append((self.now + STORE_MS, effect.job, record))
            elif isinstance(effect, scheduling.LogEvent):
                self.events.append((effect.event, effect.values))

    def start(self, effect):
        """Start a run; the reply of a harmful one may be lost."""
        worker = self.workers.get(effect.worker)
        outcome = scheduling.StartOutcome.UNHEALTHY
        if worker is not None and not worker.back_ms:
            outcome = scheduling.StartOutcome.STARTED
            if effect.key in self.harmful and self.rng.random() < 0.1:
                outcome = scheduling.StartOutcome.IN_DOUBT
            self.check_isolation(worker, effect)
            spec = self.specs[effect.key.job].steps[0]
            # Estimates are right on average only.
            time_ms = spec.estimate_ms * self.rng.uniform(0.5, 1.5)
            end_ms = self.now + int(time_ms)
            if spec.is_service:
                end_ms += 10**9
            worker.runs[effect.key, effect.run] = (self.now, end_ms)
            self.starts[effect.key] = self.starts.get(effect.key, 0) + 1
            if self.crashes[effect.key] >= MAX_CRASHES:
                self.late_starts[effect.key] += 1
            if (effect.key[:3], effect.run) in self.broken_gangs:
                self.end(worker, (effect.key, effect.run), 'alone')
        elif self.specs[effect.key.job].steps[0].is_gang:
            self.break_gangs({(effect.key[:3], effect.run)}, 'alone')
        self.scheduler.on_start_reply(
            effect.worker, effect.key, effect.run, outcome, '', self.now
        )

    def stop(self, effect):
        """Stop a run."""
        worker = self.workers.get(effect.worker)
        is_answered = worker is not None and not worker.back_ms
        if is_answered and (effect.key, effect.run) in worker.runs:
            self.end(worker, (effect.key, effect.run), 'stopped')
            if self.specs[effect.key.job].steps[0].is_gang:
                self.break_gangs({(effect.key[:3], effect.run)}, 'broken')
        self.scheduler.on_stop_reply(
            effect.worker, effect.key, effect.run, is_answered, self.now
        )

    def check_isolation(self, worker, effect):
        """Note a start of a suspect beside a new run, or the reverse."""
        for key, (began_ms, _) in worker.runs.items():
            if self.now - began_ms > NEW_MS or key[0][:3] == effect.key[:3]:
                continue
            if self.is_suspect(key[0]) or self.is_suspect(effect.key):
                self.violations.append((key[0], effect.key))

    def is_suspect(self, key):
        """Return whether crashes count against a task."""
        rows = scheduling.progress_of(self.scheduler.jobs[key.job])
        return any(
            tuple(row[:3]) == key[1:]
            and (len(row[3]) > 1 or any(k != 'common' for _, k in row[3]))
            for row in rows.get('crashes', ())
        )

    def outcome(self, job):
        """Return how a job ended."""
        return self.scheduler.jobs[job].outcome

    def given_up(self):
        """Return the ids of the failed jobs."""
        return {
            job
            for job in self.specs
            if self.outcome(job) is scheduling.Outcome.FAILED
        }


def harmful_starts(cell):
    """Return the number of starts of each task that crashes workers."""
    return {str(key): cell.starts.get(key, 0) for key in cell.harmful}


def test_a_task_that_crashes_its_workers_is_given_up():
    # Guards against a task that is started again without end after crashes.
    cell = Simulation()
    cell.add('bad', harmful=[1], count=3)
    cell.run(20_000)
    assert cell.outcome('bad') is scheduling.Outcome.FAILED
    assert max(harmful_starts(cell).values()) <= 3


@pytest.mark.parametrize('delay_ms', [20, 60, 300, 3_200, 3_400, 4_500])
def test_crashes_count_across_owners(delay_ms):
    # Guards against counts of crashes that end with the term of the owner,
    # whether it ends right after a crash or once that is known.
    cell = Simulation()
    cell.add('bad', harmful=[0], count=1)
    for _ in range(2):
        seen = sum(cell.starts.values())
        while sum(cell.starts.values()) == seen and not cell.given_up():
            cell.run(STEP_MS)
        cell.run(delay_ms)
        cell.take_over()
    cell.run(30_000)
    assert cell.given_up() == {'bad'}
    assert max(harmful_starts(cell).values()) <= MAX_STARTS


@pytest.mark.parametrize('delay_ms', [60, 200, 3_200])
def test_crash_of_a_trial_counts_although_the_owner_ends(delay_ms):
    # Guards against a successor that does not know that a suspect had been
    # started on a worker that crashed.
    cell = Simulation()
    cell.add('bad', harmful=[0], count=1)
    while sum(cell.starts.values()) < 2:
        cell.run(STEP_MS)
    cell.run(delay_ms)
    cell.take_over()
    cell.run(30_000)
    assert cell.given_up() == {'bad'}
    assert sum(cell.starts.values()) == 2


def test_a_task_that_was_not_given_up_yet_is_not_forgotten():
    # Guards against a harmful task that runs under the next owner.
    cell = Simulation()
    cell.add('bad', harmful=[0], count=1)
    cell.run(20_000)
    record = {
        **json.loads(cell.records['bad']),
        'outcome': None,
        'crashes': [[0, 0, 0, [['m01', 'alone'], ['m02', 'alone']], None]],
    }
    cell.records['bad'] = json.dumps(record)
    starts = sum(cell.starts.values())
    cell.take_over()
    cell.run(5_000)
    assert cell.given_up() == {'bad'}
    assert sum(cell.starts.values()) == starts


def test_suspects_are_started_apart():
    # Guards against harmless tasks that run beside the next crash again.
    cell = Simulation(machines=4)
    cell.add('bad', harmful=[0], count=1)
    cell.add('good', count=12)
    cell.run(3_000)
    cell.add('more', count=40)
    cell.run(30_000)
    assert any(event == 'task_suspected' for event, _ in cell.events)
    assert cell.given_up() == {'bad'}
    assert cell.violations == []
    for job in ('good', 'more'):
        assert cell.outcome(job) is scheduling.Outcome.COMPLETED


@pytest.mark.parametrize('crashes', [1, 2, 4])
def test_crash_of_a_rack_counts_against_no_task(crashes):
    # Guards against harmless tasks that wait for probation, or fail, as they
    # ran on machines that lost power.
    cell = Simulation()
    cell.add('good', count=60)
    for _ in range(crashes):
        cell.run(200)
        cell.crash_rack('rack1')
        cell.run(4_000)
    cell.run(15_000)
    assert cell.outcome('good') is scheduling.Outcome.COMPLETED
    events = {event for event, _ in cell.events}
    assert 'task_suspected' not in events
    assert 'worker_crashed' in events


def test_no_task_is_given_up_for_a_machine_that_crashes_by_itself():
    # Guards against giving up tasks for crashes of one bad machine.
    cell = Simulation(machines=4, racks=4)

    def crash_first_machine():
        for worker in cell.workers.values():
            if worker.info.address == 'm00' and not worker.back_ms:
                ages = [cell.now - began for began, _ in worker.runs.values()]
                if ages and min(ages) > 50:
                    cell.crash(worker)

    for job in range(6):
        cell.add(f'good{job}', count=4)
    cell.run(20_000, each=crash_first_machine)
    cell.run(20_000)
    assert not cell.given_up()
    for job in cell.specs:
        assert cell.outcome(job) is scheduling.Outcome.COMPLETED


def test_a_worker_that_left_as_announced_has_not_crashed():
    # Guards against suspects, and failed jobs, of replacements that were
    # planned.
    cell = Simulation()
    for number in range(4):
        cell.add(f'good{number}', count=1, estimate_ms=3_000)
        cell.run(20)
        worker = next(w for w in cell.workers.values() if w.runs)
        worker.info = dataclasses.replace(worker.info, is_leaving=True)
        cell.update_workers()
        cell.run(50)
        cell.crash(worker, down_ms=200)
        cell.run(1_000)
    cell.run(20_000)
    assert all(event != 'task_suspected' for event, _ in cell.events)
    for job in cell.specs:
        assert cell.outcome(job) is scheduling.Outcome.COMPLETED


def test_a_service_task_that_crashes_workers_is_given_up():
    # Guards against service tasks, which have no limit of attempts.
    cell = Simulation()
    cell.add('bad', harmful=[1], count=3, is_service=True)
    cell.add('good', count=3, is_service=True)
    cell.run(25_000)
    assert cell.given_up() == {'bad'}
    assert max(harmful_starts(cell).values()) <= 3


def test_a_gang_with_a_member_that_crashes_workers_is_given_up():
    # Guards against gangs, whose members start again together.
    cell = Simulation()
    cell.add('bad', harmful=[2], count=5, is_gang=True)
    cell.add('good', count=5, is_gang=True)
    cell.run(40_000)
    assert cell.given_up() == {'bad'}
    assert cell.outcome('good') is scheduling.Outcome.COMPLETED
    assert max(harmful_starts(cell).values()) <= MAX_STARTS


def test_a_filling_task_that_crashes_workers_is_given_up():
    # Guards against filling tasks, for which no capacity can be kept.
    cell = Simulation()
    cell.add('bad', harmful=[0], count=2, is_filling=True, image='f')
    cell.add('good', count=8, is_filling=True, image='f')
    cell.run(30_000)
    assert cell.given_up() == {'bad'}
    assert cell.outcome('good') is scheduling.Outcome.COMPLETED
    assert max(harmful_starts(cell).values()) <= 3


@pytest.mark.parametrize('seed', SEEDS)
def test_only_harmful_tasks_are_given_up(seed):
    # Guards against too many starts of harmful tasks and failed jobs of
    # harmless ones, with crashes of workers and racks for other reasons and
    # two changes of the owner.
    cell = Simulation(seed, machines=14, racks=4)
    rng = cell.rng
    changes_ms = {rng.randrange(1_000, 20_000) // STEP_MS for _ in range(2)}
    racks_ms = {rng.randrange(1_000, 20_000) // STEP_MS for _ in range(2)}
    began_ms = cell.now

    def trouble():
        moment = (cell.now - began_ms) // STEP_MS
        if rng.random() < STEP_MS / 1_500 and moment < 1_500:
            count = rng.choice([1, 2, 4, 6])
            job = f'j{len(cell.specs)}'
            is_bad = len(cell.harmful) < 4 and rng.random() < 0.3
            cell.add(
                job,
                harmful=[rng.randrange(count)] if is_bad else (),
                count=count,
                cpu=rng.choice([1_000, 2_000, 4_000, 8_000]),
                estimate_ms=rng.choice([300, 1_000, 3_000]),
                is_service=rng.random() < 0.1,
                is_gang=rng.random() < 0.1,
            )
        if rng.random() < STEP_MS / 5_000 and moment < 2_000:
            up = [w for w in cell.workers.values() if not w.back_ms]
            cell.crash(rng.choice(up))
        if moment in racks_ms:
            cell.crash_rack(f'rack{rng.randrange(4)}')
        if moment in changes_ms:
            cell.take_over()

    cell.run(20_000, each=trouble)
    cell.run(70_000)
    harmful_jobs = {key.job for key in cell.harmful}
    # A run that is stopped before it crashes its worker uses up no start.
    assert max(cell.late_starts.values(), default=0) <= MAX_LATE_STARTS
    assert max(cell.crashes.values(), default=0) <= MAX_STARTS
    assert cell.given_up() == harmful_jobs
    assert cell.violations == []
    for job, spec in cell.specs.items():
        if job not in harmful_jobs and not spec.steps[0].is_service:
            assert cell.outcome(job) is scheduling.Outcome.COMPLETED


def stripped(info):
    """Return what the row of a worker tells a successor."""
    return dataclasses.replace(
        info, rack='', is_leaving=False, process_start_ms=0
    )


class StoredSimulation(Simulation):
    """A simulation whose successors know of workers only what rows hold."""

    def take_over(self):
        """Replace the owner; former workers lose what no row holds."""
        if self.scheduler is not None:
            for worker in self.scheduler.workers.values():
                worker.info = stripped(worker.info)
        super().take_over()


class SameIdSimulation(StoredSimulation):
    """A simulation of workers that start again under the id that they had."""

    def step_crashed(self, worker):
        """Let polls fail until the worker is back under its id."""
        if self.now < worker.back_ms:
            super().step_crashed(worker)
            return
        name = worker.info.id
        self.workers[name] = SimulatedWorker(
            info=dataclasses.replace(worker.info, process_start_ms=self.now)
        )
        self.update_workers()
        self.apply_effects()


def test_task_is_given_up_for_crashes_under_the_same_id():
    # Guards against crashes that are not noticed as the id stays the same.
    cell = SameIdSimulation()
    cell.add('bad', harmful=[0], count=1)
    cell.run(20_000)
    assert cell.given_up() == {'bad'}
    assert max(harmful_starts(cell).values()) <= 3


@pytest.mark.parametrize('changes', [1, 2, 3, 4])
def test_crashes_under_the_same_id_count_across_owners(changes):
    # Guards against a successor that takes a restarted worker for the one on
    # which its predecessor had started a suspect.
    cell = SameIdSimulation()
    cell.add('bad', harmful=[0], count=1)
    for _ in range(changes):
        seen = sum(cell.starts.values())
        while sum(cell.starts.values()) == seen and not cell.given_up():
            cell.run(STEP_MS)
        # The record of the watched run is stored; then nobody owns the cell
        # until the worker is back.
        cell.run(400)
        cell.now += DOWN_MS + 200
        cell.store_records()
        for name, worker in list(cell.workers.items()):
            if worker.back_ms:
                cell.workers[name] = SimulatedWorker(
                    info=dataclasses.replace(
                        worker.info, process_start_ms=cell.now
                    )
                )
        cell.take_over()
    cell.run(30_000)
    assert cell.given_up() == {'bad'}
    assert max(harmful_starts(cell).values()) <= 3


def test_crash_of_a_rack_between_two_owners_counts_against_no_task():
    # Guards against giving up tasks of a rack that lost power as the owner
    # ended; the successor learns of the workers from their rows only.
    cell = StoredSimulation()
    cell.add('good', count=60)
    for _ in range(2):
        cell.run(200)
        cell.crash_rack('rack1')
        cell.run(NOTICE_MS + 100)
        cell.take_over()
        cell.run(4_000)
    cell.run(15_000)
    events = [event for event, _ in cell.events]
    assert 'worker_crashed' in events
    assert 'task_suspected' not in events
    assert not cell.given_up()


def test_crash_counts_although_the_entry_outlasts_the_lease():
    # Guards against a crash that is forgotten as the worker is still listed
    # when its lease is over, and its runs are released before it is back.
    cell = Simulation()
    cell.listed = lambda: {n: w.info for n, w in cell.workers.items()}
    crash = cell.crash
    cell.crash = lambda worker: crash(worker, down_ms=9_000)
    cell.add('bad', harmful=[0], count=1)
    cell.run(90_000)
    assert cell.given_up() == {'bad'}
    assert max(harmful_starts(cell).values()) <= MAX_STARTS


@pytest.mark.parametrize('machines', [1, 2, 3])
@pytest.mark.parametrize('notice_ms', [150, 600])
def test_harmful_task_of_a_small_pool_is_given_up(
    monkeypatch, machines, notice_ms
):
    # Guards against a task that is started without end as the pool has too
    # few addresses to judge crashes that are noticed late.
    monkeypatch.setitem(globals(), 'NOTICE_MS', notice_ms)
    cell = Simulation(machines=machines, racks=machines)
    cell.add('bad', harmful=[0], count=1)
    cell.run(90_000)
    assert cell.given_up() == {'bad'}
    assert max(harmful_starts(cell).values()) <= MAX_STARTS


@pytest.mark.parametrize('simulation', [StoredSimulation, SameIdSimulation])
@pytest.mark.parametrize('seed', [5002, 5010, 5015])
def test_only_harmful_tasks_are_given_up_by_successors(
    monkeypatch, seed, simulation
):
    # Guards against faults that only what successors do not know shows.
    monkeypatch.setitem(globals(), 'Simulation', simulation)
    test_only_harmful_tasks_are_given_up(seed)
