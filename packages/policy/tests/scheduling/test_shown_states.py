"""Compare the stored states of jobs with the true history of their runs.

Starts are sent, lost, late, refused or withdrawn, runs end, records are
written late, and owners change, in random order.
"""

import dataclasses
import json

import hypothesis
from hypothesis import strategies as st

from oriolestand_policy import scheduling

LEASE_MS = 6_000
ROUND_MS = 100
SILENCE_MS = 20_000
Outcome = scheduling.StartOutcome
PLAIN = scheduling.StepSpec(count=2, cpu=1_000)
SERVICE = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
GANG = scheduling.StepSpec(count=2, cpu=1_000, is_gang=True)
KINDS = ((PLAIN,), (SERVICE,), (GANG,), (PLAIN, SERVICE))
ENDS = [kind.value for kind in scheduling.EndKind]
ORDER = {'queued': 0, 'running': 1, 'completed': 2, 'failed': 2}


@dataclasses.dataclass(kw_only=True)
class Worker:
    """Runs and unacknowledged ends of one worker; it fences old epochs."""

    epoch: int = 1
    running: dict[object, object] = dataclasses.field(default_factory=dict)
    highest: dict[object, int] = dataclasses.field(default_factory=dict)
    ended: list[object] = dataclasses.field(default_factory=list)
    sequence: int = 0


class Site:
    """An owner, its workers, the store, and orders on their way."""

    def __init__(self, make):
        self.make = make
        self.harness = make.Harness()
        self.epoch = 1
        self.workers = {name: Worker() for name in self.harness.infos}
        self.unsent = []
        self.late = []
        self.replies = []
        self.unsaved = set()
        self.stored = {}
        self.shown = {}
        self.begun = set()
        self.done = set()
        self.told = set()
        self.polled = set(self.workers)

    def take_effects(self):
        """Carry out the stops; keep the starts and the jobs to save."""
        while effects := self.harness.scheduler.take_effects():
            for effect in effects:
                if isinstance(effect, scheduling.SaveJob):
                    self.unsaved.add(effect.job)
                elif isinstance(effect, scheduling.StartTask):
                    self.unsent.append((self.epoch, effect))
                elif isinstance(effect, scheduling.WithdrawStart):
                    self._withdraw(effect)
                elif isinstance(effect, scheduling.StopTask):
                    self._stop(effect)

    def _withdraw(self, effect):
        """Remove the order of a run from the unsent ones; return it."""
        run = (effect.worker, effect.key, effect.run)
        for entry in self.unsent:
            start = entry[1]
            if (start.worker, start.key, start.run) == run:
                self.unsent.remove(entry)
                return start
        return None

    def _stop(self, effect):
        """Stop a run, or withdraw its start if that is not sent yet."""
        start = self._withdraw(effect)
        if start is not None:
            self.harness.answer(start, Outcome.WITHDRAWN)
            return
        worker = self.workers[effect.worker]
        highest = worker.highest.get(effect.key, 0)
        worker.highest[effect.key] = max(highest, effect.run)
        run = worker.running.get(effect.key)
        if run is not None and run.run <= effect.run:
            self._end(worker, run, 'stopped')
        self.harness.scheduler.on_stop_reply(
            effect.worker, effect.key, effect.run, True, self.harness.now
        )

    def _end(self, worker, run, how):
        """End a run."""
        del worker.running[run.key]
        worker.highest[run.key] = max(worker.highest.get(run.key, 0), run.run)
        worker.sequence += 1
        worker.ended.append(self.make.end(run, how, worker.sequence))
        if how == 'done':
            self.done.add(run.key)

    def _arrive(self, epoch, start):
        """Start a run on its worker, unless it must refuse."""
        worker = self.workers[start.worker]
        is_old = start.run <= worker.highest.get(start.key, 0)
        if epoch < worker.epoch or is_old or start.key in worker.running:
            return Outcome.REFUSED
        worker.running[start.key] = start
        self.begun.add(start.key.job)
        return Outcome.STARTED

    def add(self, n):
        """Accept a job."""
        job = f'job{len(self.shown)}'
        self.shown[job] = 'queued'
        self.harness.add(job, *KINDS[n % len(KINDS)])

    def decide(self, n):
        """Run a scheduling round."""
        harness = self.harness
        harness.now += ROUND_MS
        for name in self.polled:
            harness.scheduler.new_lease_end(name, harness.now)
        is_probed = len(self.polled) == len(self.workers)
        harness.scheduler.decide(
            harness.now,
            0,
            scheduling.FormerRuns(has_unknown_workers=not is_probed),
        )

    def send(self, n):
        """Send a start; its reply is on its way."""
        epoch, start = self.unsent.pop(n % len(self.unsent))
        if start.needs_record:
            self.write(0)
            run = (start.worker, start.key, start.run)
            if not self.harness.scheduler.is_start_pending(*run):
                self.harness.answer(start, Outcome.WITHDRAWN)
                return
        self.replies.append((start, self._arrive(epoch, start)))

    def delay(self, n):
        """Send a start that gets no answer and may arrive later."""
        entry = self.unsent.pop(n % len(self.unsent))
        self.write(0)
        self.late.append(entry)
        self.harness.answer(entry[1], Outcome.IN_DOUBT)

    def lose(self, n):
        """Send a start that gets no answer and never arrives."""
        self.delay(n)
        self.late.pop()

    def refuse(self, n):
        """Let a worker refuse a start, or withdraw it."""
        outcomes = (Outcome.NO_ROOM, Outcome.UNHEALTHY, Outcome.WITHDRAWN)
        _, start = self.unsent.pop(n % len(self.unsent))
        self.harness.answer(start, outcomes[n % 3])

    def arrive(self, n):
        """Let a late start arrive."""
        self._arrive(*self.late.pop(n % len(self.late)))

    def reply(self, n):
        """Deliver a reply."""
        start, outcome = self.replies.pop(n % len(self.replies))
        self.harness.answer(start, outcome)
        if outcome is Outcome.STARTED:
            self.told.add(start.key.job)

    def end(self, n):
        """End a run."""
        runs = [(w, r) for w in self.workers.values() for r in w.running]
        if runs:
            worker, key = runs[n % len(runs)]
            self._end(worker, worker.running[key], ENDS[n % len(ENDS)])

    def poll(self, n):
        """Deliver a report; acknowledge its ends once they are written."""
        name = sorted(self.workers)[n % len(self.workers)]
        worker = self.workers[name]
        worker.epoch = self.epoch
        self.polled.add(name)
        running = [self.make.report(r) for r in worker.running.values()]
        self.harness.poll(name, running, worker.ended)
        self.told |= {run.key.job for run in worker.running.values()}
        self.told |= {end.key.job for end in worker.ended}
        self.take_effects()
        self.write(0)
        worker.ended.clear()

    def report_late(self, n):
        """Deliver a report after its poll has failed; only ends count."""
        worker = self.workers[sorted(self.workers)[n % len(self.workers)]]
        self.harness.scheduler.on_late_report(
            scheduling.WorkerReport(
                clock_ms=self.harness.now,
                process_start_ms=1,
                running=(),
                ended=tuple(worker.ended),
            ),
            self.harness.now,
        )
        done = scheduling.EndKind.DONE
        self.told |= {e.key.job for e in worker.ended if e.kind is done}

    def silence(self, n):
        """Let all leases run out, at the workers and at the owner."""
        self.harness.now += SILENCE_MS
        for worker in self.workers.values():
            for run in list(worker.running.values()):
                self._end(worker, run, 'lapsed')
        self.late.clear()
        self.decide(0)

    def write(self, n):
        """Write the records of the changed jobs."""
        self.take_effects()
        for job in self.unsaved:
            progress = scheduling.progress_of(self.harness.scheduler.jobs[job])
            self.stored[job] = json.loads(json.dumps(progress))
        self.unsaved.clear()

    def take_over(self, n):
        """Replace the owner; what it has not written or sent is lost."""
        specs = [job.spec for job in self.harness.scheduler.jobs.values()]
        self.epoch += 1
        for orders in (self.unsent, self.replies, self.unsaved):
            orders.clear()
        self.polled.clear()
        scheduler = scheduling.Scheduler(self.epoch, LEASE_MS)
        self.harness.scheduler = scheduler
        scheduler.set_routes(
            [scheduling.RoutePolicy(name='r', pool='p', max_attempts=2)]
        )
        scheduler.set_workers(self.harness.infos)
        scheduler.mark_workers_recorded(self.harness.infos)
        for spec in specs:
            progress = self.stored.get(spec.id)
            # What the former owner was told and has not written is lost.
            if progress is None or not progress['started']:
                self.told.discard(spec.id)
            scheduler.add_job(
                spec, self.harness.now, progress=progress, needs_probe=True
            )

    def apply(self, action, n):
        """Carry out an action that is possible, then check all states."""
        needed = {
            'send': self.unsent,
            'delay': self.unsent,
            'lose': self.unsent,
            'refuse': self.unsent,
            'arrive': self.late,
            'reply': self.replies,
        }
        if needed.get(action, True):
            getattr(self, action)(n)
            self.take_effects()
        self.check()

    def check(self):
        """Check the owner's and the stored states against the history."""
        for job_id, job in self.harness.scheduler.jobs.items():
            if job.outcome is None:
                assert job.has_started == (job_id in self.told), job_id
                continue
            assert job_id in self.begun
        for job_id, record in self.stored.items():
            state = record['outcome'] or (
                'running' if record['started'] else 'queued'
            )
            former, self.shown[job_id] = self.shown[job_id], state
            assert ORDER[former] <= ORDER[state], (former, state)
            assert former == state or ORDER[former] < 2
            assert state == 'queued' or job_id in self.begun
            if state == 'completed':
                self._check_completed(self.harness.scheduler.jobs[job_id])

    def _check_completed(self, job):
        """Check that all tasks, or one of each gang, have ended as done."""
        for step, spec in enumerate(job.spec.steps):
            keys = {
                scheduling.TaskKey(job.spec.id, 0, step, index)
                for index in range(spec.count)
            }
            assert keys & self.done if spec.is_gang else keys <= self.done


ACTIONS = (
    *('add', 'decide', 'send', 'delay', 'lose', 'refuse', 'arrive', 'reply'),
    *('end', 'poll', 'report_late', 'silence', 'write', 'take_over'),
)
WEIGHTED = ACTIONS + ('decide', 'send', 'reply', 'poll', 'write') * 2


@hypothesis.settings(
    max_examples=400,
    deadline=None,
    # The fixture returns helpers without state.
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    actions=st.lists(
        st.tuples(st.sampled_from(WEIGHTED), st.integers(0, 100)),
        min_size=30,
        max_size=120,
    )
)
def test_shown_states_follow_from_true_runs(make, actions):
    # Guards against a job that is shown as started or ended without a run
    # (MIXED), against one that waits although its run is known, and against
    # states that go back.
    site = Site(make)
    site.add(len(actions))
    site.decide(0)
    site.take_effects()
    for action, n in actions:
        site.apply(action, n)
    # Without faults, callers learn of each run.
    for name in range(len(site.workers)):
        site.apply('poll', name)
    running = {
        key.job for worker in site.workers.values() for key in worker.running
    }
    for job in running:
        assert site.shown[job] != 'queued'
