"""Tests of jobs that are stored while a former owner still acts."""

from oriolestand_fleet import layout
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
