"""Tests that a job counts as started once a worker has confirmed a run."""

import pytest

from oriolestand_policy import scheduling

STEP = scheduling.StepSpec(count=1, cpu=1_000)
SERVICE = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
STEPS = (STEP, SERVICE)
KINDS = ('plain', 'service')
Outcome = scheduling.StartOutcome
UNCONFIRMED = [o for o in Outcome if o is not Outcome.STARTED]


def is_shown_as_started(harness, job='a'):
    """Return whether the record says so; the count must agree with it."""
    record = scheduling.progress_of(harness.scheduler.jobs[job])
    started = record['started']
    assert harness.scheduler.figures.waiting_jobs() == (0 if started else 1)
    return started


def saved_jobs(harness):
    """Take the effects; return the ids of the jobs to save."""
    return [
        effect.job
        for effect in harness.scheduler.take_effects()
        if isinstance(effect, scheduling.SaveJob)
    ]


@pytest.mark.parametrize('step', STEPS, ids=KINDS)
def test_decided_start_is_not_shown(harness, step):
    # A job whose start waited to be sent was shown as started (MIXED).
    harness.add('a', step)
    starts, _ = harness.decide()
    assert len(starts) == 1
    assert not is_shown_as_started(harness)


@pytest.mark.parametrize('step', STEPS, ids=KINDS)
@pytest.mark.parametrize('outcome', UNCONFIRMED, ids=lambda o: o.value)
def test_start_without_a_run_is_not_shown(harness, step, outcome):
    # A job whose only start was refused, withdrawn or not answered was shown
    # as started while its task waited (MIXED).
    harness.add('a', step)
    ((start,), _) = harness.decide()
    harness.answer(start, outcome)
    assert not is_shown_as_started(harness)


def test_lost_start_is_not_shown(harness):
    # The lease of a worker that was cut off ended, and its task waited.
    harness.add('a', STEP)
    ((start,), _) = harness.decide()
    harness.answer(start, Outcome.IN_DOUBT)
    harness.now += 20_000
    harness.decide()
    assert not is_shown_as_started(harness)


def _answer(harness, make, start):
    harness.answer(start)


def _answer_after_release(harness, make, start):
    harness.now += 20_000
    harness.decide()
    harness.answer(start)


def _list_run(harness, make, start):
    harness.poll(start.worker, running=[make.report(start)])


def _list_end(kind):
    def apply(harness, make, start):
        harness.poll(start.worker, ended=[make.end(start, kind.value)])

    return apply


def _list_late_end(harness, make, start):
    end = make.end(start, 'done')
    harness.scheduler.on_late_report(
        scheduling.WorkerReport(
            clock_ms=harness.now,
            process_start_ms=1,
            running=(),
            ended=(end,),
        ),
        harness.now,
    )


@pytest.mark.parametrize('step', STEPS, ids=KINDS)
@pytest.mark.parametrize(
    'confirm',
    [
        _answer,
        _answer_after_release,
        _list_run,
        *(_list_end(kind) for kind in scheduling.EndKind),
    ],
)
def test_confirmed_start_is_shown_and_saved(harness, make, step, confirm):
    # Guards against a state that callers never see change, and against one
    # that only this owner knows.
    harness.add('a', step)
    ((start,), _) = harness.decide()
    confirm(harness, make, start)
    assert 'a' in saved_jobs(harness)
    assert is_shown_as_started(harness)


def test_end_in_a_late_report_is_shown(harness, make):
    # Guards against a job that counts as waiting although a task is done.
    harness.add('a', STEP, STEP)
    starts, _ = harness.decide()
    _list_late_end(harness, make, starts[0])
    assert 'a' in saved_jobs(harness)
    assert is_shown_as_started(harness)


def test_adopted_run_is_shown_and_saved(harness, make):
    # Guards against a job that the successor shows as waiting for as long as
    # the run that it has adopted lasts.
    spec = scheduling.JobSpec(id='a', route='r', payload='x', steps=(STEP,))
    harness.scheduler.add_job(spec, harness.now, needs_probe=True)
    run = scheduling.StartTask(
        worker='w0',
        key=scheduling.TaskKey('a', 0, 0, 0),
        run=7,
        payload='',
        checkpoint='',
    )
    assert not is_shown_as_started(harness)
    harness.poll('w0', running=[make.report(run)])
    assert saved_jobs(harness) == ['a']
    assert is_shown_as_started(harness)


@pytest.mark.parametrize(
    ('step', 'limit'), [(STEP, 1), (SERVICE, 2)], ids=KINDS
)
def test_start_needs_few_writes(harness, make, step, limit):
    # Guards against a write for each confirmation; a service task is also
    # placed in the record before its start.
    harness.add('a', step)
    harness.scheduler.decide(harness.now, 0, scheduling.FormerRuns())
    effects = harness.scheduler.take_effects()
    saved = [e for e in effects if isinstance(e, scheduling.SaveJob)]
    (start,) = (e for e in effects if isinstance(e, scheduling.StartTask))
    harness.answer(start)
    for _ in range(3):
        harness.poll(start.worker, running=[make.report(start)])
    assert len(saved) + len(saved_jobs(harness)) <= limit


def successor_of(harness):
    """Return the next owner's scheduler, with the job and its record."""
    job = harness.scheduler.jobs['a']
    successor = scheduling.Scheduler(2, 6_000)
    successor.add_job(
        job.spec,
        harness.now,
        progress=scheduling.progress_of(job),
        needs_probe=True,
    )
    return successor


@pytest.mark.parametrize('outcome', UNCONFIRMED, ids=lambda o: o.value)
def test_next_owner_knows_that_a_start_was_decided(harness, outcome):
    # Guards against an ended service task that the next owner starts like a
    # new one, after others: its run may not have been confirmed in time.
    harness.add('a', SERVICE)
    ((start,), _) = harness.decide()
    harness.answer(start, outcome)
    harness.scheduler = successor_of(harness)
    assert harness.scheduler.jobs['a'].is_start_decided
    assert not is_shown_as_started(harness)


@pytest.mark.parametrize('step', STEPS, ids=KINDS)
def test_started_job_stays_so_under_the_next_owner(harness, step):
    # Guards against a state that goes back to waiting.
    harness.add('a', step)
    ((start,), _) = harness.decide()
    harness.answer(start)
    harness.scheduler = successor_of(harness)
    assert is_shown_as_started(harness)
