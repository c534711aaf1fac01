"""Tests of jobs that are stored while a former owner still acts."""

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
NINE_TASKS = (scheduling.StepSpec(count=9, cpu=1_000),)
NEVER_MS = 1_000_000


def test_job_stored_after_a_claim_runs_once(site, daemons):
    # A former owner followed new jobs although it had not received the row of
    # its successor, which was to it in another table, and both started the
    # tasks of a new job: two runs at once (TWICE).
    former = owner_of(daemons)
    site.run(1_000)
    former.store.faults.unanswered_commits = NEVER_MS
    former.store.faults.effect_delay_ms = NEVER_MS
    former.store.faults.paused_tables = {layout.TABLE}
    others = [daemon for daemon in daemons if daemon is not former]
    for daemon in others:
        daemon.orders.faults.unreachable = {'w0'}
    site.run_until(lambda: any(d.is_owner for d in others), 5_000)
    site.submit(owner_of(others), JOB, NINE_TASKS, duration_ms=4_000)
    site.run(3_000)
    assert site.overlapping_runs() == []


def lose_history(daemon, is_lost):
    """Let a daemon lose the history of new jobs once ``is_lost`` is true."""
    follow = daemon.store._follow

    async def follow_others(msg):
        if msg.table != layout.SPEC_TABLE:
            return await follow(msg)
        while not is_lost():
            await daemon.kernel.sleep(5)
        raise store.HistoryLostError('changes were dropped')

    daemon.store._follow = follow_others


def test_jobs_read_again_after_a_claim_run_once(site, daemons):
    # As above, when the former owner has lost the history of the table of
    # jobs and reads all of them again.
    former = owner_of(daemons)
    submitted = []
    lose_history(former, lambda: submitted)
    site.run(2_000)
    former.store.faults.unanswered_commits = NEVER_MS
    former.store.faults.effect_delay_ms = NEVER_MS
    former.store.faults.paused_tables = {layout.TABLE}
    others = [daemon for daemon in daemons if daemon is not former]
    for daemon in others:
        daemon.orders.faults.unreachable = {'w0'}
    site.run_until(lambda: any(d.is_owner for d in others), 5_000)
    site.submit(owner_of(others), JOB, NINE_TASKS, duration_ms=4_000)
    submitted.append(JOB)
    site.run(3_000)
    assert site.overlapping_runs() == []
