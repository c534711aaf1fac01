"""Test that the scheduler conforms to the model of incarnations."""

import random

import pytest

from oriolestand_bench.models import _incarnation_states as states
from oriolestand_bench.models import _incarnations as model
from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility
from oriolestand_policy.scheduling import _unconfirmed_runs

STEPS = 80
OTHER_WORKER_SHARE = 0.03
"""Share of the steps after which the other worker is added."""

LEASE_MS = 6_000
UNIT_MS = 6_800
"""A lease on a slow clock with the time to end its runs. Two units are longer
than the bound on the delay of an order, and three longer than both."""

REFUSAL_MS = 301
"""Longer than a worker is avoided after a refusal."""

EPOCHS = (1, 33)
FORMER_CLOCK_MS = 1_000_000
KEY = scheduling.TaskKey('j', 0, 0, 0)
JOB = scheduling.JobSpec(
    id='j',
    route='r',
    payload='x',
    steps=(scheduling.StepSpec(count=1, cpu=1_000),),
)
ROUTE = scheduling.RoutePolicy(name='r', pool='p', max_attempts=9)


def info_of(worker: str, incarnation: int) -> scheduling.WorkerInfo:
    """Return the entry of an incarnation of a worker."""
    return scheduling.WorkerInfo(
        id=worker,
        pool='p',
        address=f'{worker}:1',
        failure_domain='d',
        cpu=8_000,
        memory_mb=1_000,
        process_start_ms=incarnation + 1,
    )


class Walk:
    """Random walk of the model with the scheduler of the present owner.

    The scheduler receives the same messages as the owner. The model starts
    and releases the task only when the scheduler does, so that both are
    checked against the model.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.spec = model.Transitions()
        self.state = states.State()
        self.now = 10_000
        self.restarted_ms = 0
        self.numbers: dict[int, int] = {}
        self.ended_run = 0
        self.report: scheduling.WorkerReport | None = None
        self.report_sent_ms = 0
        self.has_other_worker = False
        self.is_over = False
        self.seen: set[str] = set()
        self.scheduler = scheduling.Scheduler(EPOCHS[0], LEASE_MS)
        self.scheduler.set_routes([ROUTE])
        self.register(0)
        self.scheduler.mark_workers_recorded(['w1'])
        self.scheduler.on_worker_report(
            'w1', self.worker_report(), self.now, self.now
        )
        # The model begins without a lease.
        self.scheduler.workers['w1'].lease_end_ms = 0
        self.scheduler.add_job(JOB, self.now)

    @property
    def clock_ms(self) -> int:
        """Return the clock of the present incarnation."""
        if self.state.w1.incarnation == 0:
            return FORMER_CLOCK_MS + self.now
        return self.now - self.restarted_ms

    def register(self, entry: int) -> None:
        """Apply the entries of the workers."""
        infos = {'w1': info_of('w1', entry)}
        if self.has_other_worker:
            infos['w2'] = info_of('w2', 0)
        self.scheduler.set_workers(infos)

    def worker_report(self) -> scheduling.WorkerReport:
        """Return a report of the present incarnation."""
        w1 = self.state.w1
        running = []
        ended = []
        if w1.run:
            running.append(
                scheduling.RunReport(
                    key=KEY,
                    number=self.numbers[w1.run],
                    checkpoint='',
                    percent=50,
                )
            )
        if w1.has_end:
            ended.append(
                scheduling.EndReport(
                    sequence=w1.end_number,
                    key=KEY,
                    number=self.numbers[self.ended_run],
                    kind=scheduling.EndKind.DONE,
                    checkpoint='',
                )
            )
        return scheduling.WorkerReport(
            clock_ms=self.clock_ms,
            process_start_ms=w1.incarnation + 1,
            running=tuple(running),
            ended=tuple(ended),
        )

    def step(self) -> None:
        """Take a random transition, then let the scheduler decide."""
        if self.is_over:
            return
        self.now += 1
        choices = [
            item
            for item in self.spec.steps(self.state)
            if ' starts ' not in item[0] and ' releases ' not in item[0]
        ]
        if not choices:
            self.is_over = True
            return
        label, after = self.rng.choice(choices)
        before, self.state = self.state, after
        self.notify_scheduler(label, before)
        if not self.has_other_worker and (
            self.rng.random() < OTHER_WORKER_SHARE
        ):
            self.has_other_worker = True
            self.add_other_worker()
        self.decide()
        if not self.is_over:
            self.compare(label)

    def add_other_worker(self) -> None:
        """Register the worker that never fails."""
        self.scheduler.add_former_worker(info_of('w2', 0))
        self.scheduler.workers['w2'].is_listed = True
        self.scheduler.workers['w2'].described_ms = 1
        self.scheduler.mark_workers_recorded(['w2'])

    def report_other_worker(self) -> None:
        """Apply a report of the worker that never fails."""
        running = []
        if self.state.is_elsewhere:
            running.append(
                scheduling.RunReport(
                    key=KEY,
                    number=self.numbers[0],
                    checkpoint='',
                    percent=50,
                )
            )
        self.scheduler.on_worker_report(
            'w2',
            scheduling.WorkerReport(
                clock_ms=self.now,
                process_start_ms=1,
                running=tuple(running),
                ended=(),
            ),
            self.now,
            self.now,
        )
        self.scheduler.new_lease_end('w2', self.now)

    def notify_scheduler(self, label: str, before: states.State) -> None:
        """Apply a transition of the model to the scheduler."""
        what = label.partition(' ')[2]
        if label.startswith('time passes'):
            self.now += UNIT_MS
            is_silent = self.state.owner.is_unreachable
            if is_silent and not before.owner.is_unreachable:
                self.scheduler.on_poll_failed('w1', self.now)
        elif label == 'w1 restarts':
            self.restarted_ms = self.now - 10
        elif label == 'w1 ends':
            self.ended_run = before.w1.run
        elif label == 'b claims':
            self.claim(before)
        elif what.startswith('polls'):
            self.poll(what, before)
        elif what == 'gets the report':
            assert self.report is not None
            self.scheduler.on_worker_report(
                'w1', self.report, self.report_sent_ms, self.now
            )
        elif what == 'stops, answered':
            self.scheduler.on_stop_reply(
                'w1', KEY, self.numbers[before.owner.run], True, self.now
            )
        elif what.startswith('reads entry'):
            self.register(self.state.owner.entry)

    def poll(self, what: str, before: states.State) -> None:
        """Apply a poll of the model to the scheduler."""
        poll = self.spec.poll(before.owner)
        self.scheduler.on_poll_sent('w1', self.now)
        assert self.scheduler.generation_of('w1') == before.owner.generation
        if poll.left >= 0:
            assert self.scheduler.new_lease_end('w1', self.now) is not None
        elif not before.owner.is_unreachable:
            assert self.scheduler.new_lease_end('w1', self.now) is None
        if what == 'polls w1, answered':
            # A poll that is carried out changes nothing that a report shows,
            # except that it acknowledges ends.
            self.report = self.worker_report()
            self.report_sent_ms = self.now
        elif 'open' not in what:
            self.scheduler.on_poll_failed('w1', self.now)

    def claim(self, before: states.State) -> None:
        """Replace the scheduler by that of the successor."""
        job = self.scheduler.jobs.get('j')
        progress = scheduling.progress_of(job) if job is not None else None
        self.scheduler = scheduling.Scheduler(EPOCHS[1], LEASE_MS)
        self.scheduler.set_routes([ROUTE])
        self.scheduler.add_former_worker(info_of('w1', before.owner.known))
        # The entries are read later, but before a worker is removed.
        self.scheduler.workers['w1'].is_listed = True
        self.scheduler.mark_workers_recorded(['w1'])
        if self.has_other_worker:
            self.add_other_worker()
        if not before.owner.has_end:
            self.scheduler.add_job(
                JOB, self.now, progress=progress, needs_probe=True
            )

    def decide(self) -> None:
        """Let the scheduler decide; check what it starts and releases."""
        if self.has_other_worker:
            self.report_other_worker()
        self.release()
        owner = self.state.owner
        is_waiting = owner.known == -1 and owner.wait > 0
        self.scheduler.decide(
            self.now,
            self.now,
            scheduling.FormerRuns(
                worker_ids=frozenset(['w1'] if is_waiting else [])
            ),
        )
        for effect in self.scheduler.take_effects():
            if isinstance(effect, scheduling.StartTask):
                self.start(effect)

    def release(self) -> None:
        """Release the run of the model if its owner may.

        The scheduler does not judge the lease of a worker that has reported.
        """
        owner = self.state.owner
        if self.state.quiet and self.spec.may_release(owner):
            self.seen.add('release')
            owner = states.released(owner)
            self.state = self.state._replace(owner=owner)

    def start(self, effect: scheduling.StartTask) -> None:
        """Check a start of the scheduler and apply it to the model."""
        owner = self.state.owner
        if effect.worker == 'w2':
            task = self.scheduler.jobs['j'].find(KEY)
            is_suspect = task is not None and bool(task.all_crashes)
            is_open = self.state.quiet > 0 and not owner.is_unreachable
            is_described = owner.entry == owner.known
            if owner.late and (is_suspect or is_open or not is_described):
                # Suspects of a crash start anywhere, as if without room, and
                # so do others if the worker is not described. The walk has no
                # failed poll of a worker that is silent.
                self.seen.add('late start elsewhere')
                self.is_over = True
                return
            assert self.spec.may_start_elsewhere(owner), self.state
            self.state = self.spec.start_elsewhere(self.state)
            self.numbers[0] = effect.run
            self.seen.add('start elsewhere')
            self.reply(effect, scheduling.StartOutcome.STARTED, self.now)
            return
        is_lease_older = owner.leased == states.HOLD - 1
        if owner.runs >= model.MAX_RUNS[owner.epoch] or is_lease_older:
            # The model allows fewer starts, and older leases than the code.
            self.is_over = True
            return
        assert self.spec.may_start(owner), self.state
        before = self.state
        steps = [
            item
            for item in self.spec.steps(before)
            if ' starts at w1' in item[0]
        ]
        label, self.state = self.rng.choice(steps)
        number = self.state.owner.runs
        self.numbers[number] = effect.run
        self.seen.add(label.partition(' ')[2])
        if not label.endswith('answered'):
            self.reply(effect, scheduling.StartOutcome.IN_DOUBT, None)
            return
        outcome = scheduling.StartOutcome.STARTED
        if not self.state.owner.run:
            outcome = scheduling.StartOutcome.REFUSED
            self.seen.add('refused')
        if self.state.owner.is_doubted:
            self.seen.add('other clock')
        self.reply(effect, outcome, self.clock_ms)
        if outcome is scheduling.StartOutcome.REFUSED:
            self.now += REFUSAL_MS

    def reply(
        self,
        effect: scheduling.StartTask,
        outcome: scheduling.StartOutcome,
        clock_ms: int | None,
    ) -> None:
        """Apply the outcome of a start to the scheduler."""
        lease_end_ms = self.scheduler.lease_end_for_start(
            effect.worker, self.now
        )
        answer = scheduling.Answer(
            clock_ms=clock_ms,
            lease_end_ms=lease_end_ms,
            sent_ms=self.now,
            received_ms=self.now,
        )
        self.scheduler.on_start_reply(
            effect.worker,
            effect.key,
            effect.run,
            outcome,
            '',
            self.now,
            None if outcome is scheduling.StartOutcome.IN_DOUBT else answer,
        )

    def compare(self, label: str) -> None:
        """Compare what the scheduler assumes with the model."""
        owner = self.state.owner
        reached = {
            'late': owner.late,
            'late start of a former owner': owner.late and owner.epoch,
            'fencing': owner.is_fencing and owner.run,
            'successor': owner.epoch and owner.run,
            'end': owner.has_end,
        }
        self.seen.update(name for name, is_seen in reached.items() if is_seen)
        worker = self.scheduler.workers['w1']
        where = (label, self.state, worker)
        assert worker.is_probed == (owner.known >= 0), where
        assert (worker.unreachable_ms >= 0) == owner.is_unreachable, where
        assert self.scheduler.generation_of('w1') == owner.generation, where
        self.compare_task(where)
        if not worker.is_probed:
            return
        assert worker.info.process_start_ms == owner.known + 1, where
        assert (worker.fenced_after_ms >= 0) == owner.is_fencing, where
        assert worker.is_in_doubt == owner.may_have_restarted, where
        is_described = owner.entry == owner.known
        if not worker.is_in_doubt:
            assert worker.is_described == is_described, where
        if not self.state.quiet:
            assert _eligibility.is_sound(worker, self.now) == (
                is_described
                and not owner.may_have_restarted
                and not owner.is_unreachable
            ), where

    def compare_task(self, where: object) -> None:
        """Compare where the task runs, and until when."""
        owner = self.state.owner
        job = self.scheduler.jobs.get('j')
        task = job.find(KEY) if job is not None else None
        if job is None or task is None:
            assert owner.has_end, where
            return
        assert task.is_done == owner.has_end, where
        if owner.has_end:
            return
        expected = 'w1' if owner.run else ''
        if self.state.is_elsewhere:
            expected = 'w2'
        assert task.worker == expected, where
        assert bool(task.late_worker) == bool(owner.late), where
        if not owner.run:
            return
        worker = self.scheduler.workers['w1']
        run = worker.runs[KEY, self.numbers[owner.run]]
        is_in_doubt = run.phase is scheduling.RunPhase.IN_DOUBT
        assert is_in_doubt == owner.is_in_doubt, where
        assert run.is_reported == owner.is_listed, where
        assert run.is_stop_settled == (owner.stop == 2), where
        assert self.units_left(run) == owner.time_left(), where

    def units_left(self, run: scheduling.Run) -> int:
        """Return for how long the scheduler waits for a run."""
        worker = self.scheduler.workers['w1']
        if run.is_reported:
            over_ms = _unconfirmed_runs.listed_over_ms(worker, LEASE_MS)
        else:
            over_ms = _unconfirmed_runs.unlisted_over_ms(worker, LEASE_MS)
        over_ms = max(over_ms, worker.lease_over_ms(500))
        return max(0, -(-(over_ms - self.now) // UNIT_MS))


def walk_of(seed: int) -> Walk:
    """Return a walk that has taken its steps."""
    walk = Walk(seed)
    for _ in range(STEPS):
        walk.step()
        assert not states.violates_invariant(walk.state)
    return walk


@pytest.mark.parametrize('first_seed', range(0, 1_000, 100))
def test_scheduler_assumes_what_the_model_assumes(first_seed: int) -> None:
    """Guards against rules of the code that the model does not have."""
    for seed in range(first_seed, first_seed + 100):
        walk_of(seed)


def test_walks_reach_what_the_model_is_about() -> None:
    """Without restarts and starts in doubt, the walks would test little."""
    seen: set[str] = set()
    for seed in range(300):
        seen |= walk_of(seed).seen
    assert seen >= {
        'starts at w1, answered',
        'starts at w1, no answer',
        'starts at w1, lost',
        'other clock',
        'release',
        'late',
        'late start of a former owner',
        'fencing',
        'successor',
        'end',
        'start elsewhere',
    }
