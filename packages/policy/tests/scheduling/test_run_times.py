"""Tests of run times that are learned from estimates that are far off."""

import math
import random

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _run_times

ESTIMATE_DEVIATION = 1.0
"""Standard deviation of the logarithm of estimates, and below of run times; as
those of the filling jobs of the users."""

TIME_DEVIATION = 0.43
MEAN_MS = 1_000
STEPS = 200

SLOTS = 24
WIDTH = 6
STEPS_OF_JOB = 2
STRETCH = 2
TARGET_MS = 1_000
LOAD = 0.7
BURST_LOAD = 2.3
BURST_MS = (5_000, 11_000)
START_MS = 10_000
REPLAY_MS = 30_000
STEP_MS = 20
SEEDS = range(20)
MIN_SHARE = 0.97
"""Jobs in time with estimates that tell nothing, as a share of those with
estimates that are all equal to the mean. They tell nothing either."""


def spec_of(estimate_ms, **fields):
    """Return a step of one filling task."""
    fields = {'count': 1, 'is_filling': True} | fields
    return scheduling.StepSpec(estimate_ms=estimate_ms, **fields)


def draw(rng):
    """Return a run time and an independent estimate of it."""
    mean = math.log(MEAN_MS)
    time_ms = math.exp(rng.gauss(mean, TIME_DEVIATION))
    return round(time_ms), round(math.exp(rng.gauss(mean, ESTIMATE_DEVIATION)))


def test_estimates_hold_until_run_times_are_known():
    # Guards against an order that ignores estimates at the start of a term.
    model = _run_times.RunTimeModel()
    assert model.expected_ms('r', spec_of(700)) == 700
    model.observe('r', spec_of(1_000), 2_000)
    assert 700 < model.expected_ms('r', spec_of(700)) < 900
    assert model.expected_ms('other', spec_of(700)) == 700
    assert model.expected_ms('r', spec_of(700, is_filling=False)) == 700


@pytest.mark.parametrize('seed', range(5))
def test_estimates_that_tell_nothing_are_replaced_by_the_mean(seed):
    # Guards against objectives that are off by the error of the estimates.
    rng = random.Random(seed)
    model = _run_times.RunTimeModel()
    for _ in range(STEPS):
        time_ms, estimate_ms = draw(rng)
        model.observe('r', spec_of(estimate_ms), time_ms)
    for estimate_ms in (300, 1_000, 3_000):
        expected_ms = model.expected_ms('r', spec_of(estimate_ms))
        assert expected_ms == pytest.approx(MEAN_MS, rel=0.35)


@pytest.mark.parametrize('seed', range(5))
def test_good_estimates_are_kept(seed):
    # Guards against a mean in place of estimates that tell jobs apart.
    rng = random.Random(seed)
    model = _run_times.RunTimeModel()
    for _ in range(STEPS):
        time_ms, _ = draw(rng)
        model.observe('r', spec_of(round(time_ms / 2)), time_ms)
    for estimate_ms in (300, 1_000):
        expected_ms = model.expected_ms('r', spec_of(estimate_ms))
        assert expected_ms == pytest.approx(2 * estimate_ms, rel=0.1)


def test_expected_times_change_only_with_the_revision():
    # Guards against an order that differs from one with times kept between
    # rounds.
    rng = random.Random(1)
    model = _run_times.RunTimeModel()
    known = {}
    for _ in range(STEPS):
        time_ms, estimate_ms = draw(rng)
        model.observe('r', spec_of(estimate_ms, count=3), time_ms)
        expected_ms = model.expected_ms('r', spec_of(500))
        assert known.setdefault(model.revision, expected_ms) == expected_ms
    assert len(known) < STEPS / 5


def test_many_observations_stay_finite():
    # Guards against sums that overflow, or a model that no longer adapts.
    model = _run_times.RunTimeModel()
    for time_ms in [1_000] * 3_000 + [4_000] * 3_000:
        model.observe('r', spec_of(1_000), time_ms)
    assert model.expected_ms('r', spec_of(1_000)) == pytest.approx(
        4_000, rel=0.05
    )


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [({}, 1), ({'is_whole': False}, 0), ({'paced_ms': 1}, 0)],
)
def test_only_whole_runs_at_full_pace_are_observed(
    harness, make, fields, expected
):
    # Guards against times of runs that were paused or began at a checkpoint.
    harness.add('j', spec_of(1_000))
    (start,), _ = harness.decide()
    harness.answer(start)
    run = harness.scheduler.workers[start.worker].runs[start.key, start.run]
    for name, value in fields.items():
        setattr(run, name, value)
    harness.now += 900
    harness.poll(start.worker, ended=[make.end(start, 'done')])
    assert harness.scheduler._cell.run_times.revision == expected


class Replay:
    """A worker of equal slots, with a burst of jobs of two wide steps.

    ``estimate`` returns the estimate of a step from its run time.
    """

    def __init__(self, seed, estimate):
        self.rng = random.Random(seed)
        # The load is the same for all estimates.
        self.estimate_rng = random.Random(seed)
        self.estimate = estimate
        self.now = START_MS
        self.scheduler = scheduling.Scheduler(1, 6_000)
        route = scheduling.RoutePolicy(
            name='r', pool='p', stretch=STRETCH, target_ms=TARGET_MS
        )
        self.scheduler.set_routes([route])
        info = scheduling.WorkerInfo(
            id='w',
            pool='p',
            address='w:1',
            failure_domain='d',
            cpu=SLOTS * 1_000,
            memory_mb=1_000,
        )
        self.scheduler.set_workers({'w': info})
        self.scheduler.mark_workers_recorded(['w'])
        self.times = {}
        self.accepted = {}
        self.left = {}
        self.ends = {}
        self.sequence = 0
        self.in_time = 0

    def play(self):
        """Replay the load; return the number of jobs in time."""
        next_ms = float(START_MS)
        while self.now < START_MS + REPLAY_MS:
            self.now += STEP_MS
            while next_ms <= self.now:
                load = LOAD
                if BURST_MS[0] <= next_ms - START_MS < BURST_MS[1]:
                    load = BURST_LOAD
                job_ms = MEAN_MS * WIDTH * STEPS_OF_JOB
                next_ms += self.rng.expovariate(load * SLOTS / job_ms)
                self.add_job()
            self.report()
            self.scheduler.decide(self.now, self.now, scheduling.FormerRuns())
            for effect in self.scheduler.take_effects():
                if isinstance(effect, scheduling.StartTask):
                    self.start(effect)
        return self.in_time

    def add_job(self):
        """Add a job of two steps."""
        job = f'j{len(self.times):05}'
        self.times[job] = [draw(self.rng)[0] for _ in range(STEPS_OF_JOB)]
        self.accepted[job] = self.now
        self.left[job] = STEPS_OF_JOB * WIDTH
        steps = tuple(
            scheduling.StepSpec(
                count=WIDTH,
                cpu=1_000,
                estimate_ms=self.estimate(self.estimate_rng),
                after=(number - 1,) if number else (),
            )
            for number in range(STEPS_OF_JOB)
        )
        spec = scheduling.JobSpec(
            id=job, route='r', payload='', steps=steps, accepted_ms=self.now
        )
        self.scheduler.add_job(spec, self.now)

    def start(self, effect):
        """Start a run."""
        time_ms = self.times[effect.key.job][effect.key.step]
        self.ends[effect] = self.now + time_ms
        self.scheduler.on_start_reply(
            'w',
            effect.key,
            effect.run,
            scheduling.StartOutcome.STARTED,
            '',
            self.now,
        )

    def end(self, start):
        """Return the report of an end; count the job if it is in time."""
        del self.ends[start]
        self.sequence += 1
        job = start.key.job
        self.left[job] -= 1
        objective_ms = STRETCH * sum(self.times[job]) + TARGET_MS
        if not self.left[job]:
            self.in_time += self.now - self.accepted[job] <= objective_ms
        return scheduling.EndReport(
            sequence=self.sequence,
            key=start.key,
            number=start.run,
            kind=scheduling.EndKind.DONE,
            checkpoint='',
        )

    def report(self):
        """Report the runs and ends of the worker."""
        due = [s for s, end_ms in self.ends.items() if end_ms <= self.now]
        ended = tuple(self.end(start) for start in due)
        running = tuple(
            scheduling.RunReport(
                key=start.key, number=start.run, checkpoint='', percent=50
            )
            for start in self.ends
        )
        report = scheduling.WorkerReport(
            clock_ms=self.now,
            process_start_ms=1,
            running=running,
            ended=ended,
        )
        self.scheduler.on_worker_report('w', report, self.now, self.now)
        self.scheduler.new_lease_end('w', self.now)


def test_burst_with_estimates_that_are_far_off():
    # Guards against an order by the noise of the estimates, with which jobs
    # start that cannot be in time, and others count as late too early.
    equal = sum(Replay(seed, lambda rng: MEAN_MS).play() for seed in SEEDS)
    noisy = sum(
        Replay(seed, lambda rng: draw(rng)[1]).play() for seed in SEEDS
    )
    assert noisy >= MIN_SHARE * equal
