"""Tests of workers that answer but cannot list all of their ends."""

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

LONG_JOB = 'a' * 16
SHORT_JOB = 'b' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
TAKEOVER_MS = 9_000
"""The wait for former runs ends 6.8 s after the claim of a released cell."""


def refuse_records(site):
    """Let the store refuse all records of jobs, but not those of owners."""
    commit = site.store.commit

    def commit_others(msg):
        if any(put.key.startswith(layout.PROGRESS_PREFIX) for put in msg.puts):
            raise store.StoreError('refused')
        return commit(msg)

    site.store.commit = commit_others


def test_worker_that_has_more_ends_keeps_its_runs(site, daemons):
    # Guards against a second run of a task beside the first (TWICE). A worker
    # that is not registered any more, but answers, could not list all of its
    # ends until the deadline of the takeover, and was removed with its runs.
    refuse_records(site)
    site.submit(daemons[0], LONG_JOB, ONE_TASK, duration_ms=60_000)
    site.run_until(lambda: site.history, 2_000)
    (first,) = site.history
    for name in site.workers:
        if name != first.worker:
            site.store.unregister_worker(name)
    site.submit(daemons[0], SHORT_JOB, ONE_TASK)
    site.run(2_000)
    assert [run.worker for run in site.history] == [first.worker] * 2
    worker = site.workers[first.worker]
    worker.max_listed_ends = 1
    for name, other in site.workers.items():
        if name != first.worker:
            site.store.register_worker(other.info)
    site.store.unregister_worker(first.worker)
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
    site.run(TAKEOVER_MS)
    assert site.overlapping_runs() == []


def test_ends_that_a_worker_could_not_list_until_the_deadline(site, daemons):
    # Guards against a second run of a task that is done (TWICE). The lease of
    # a worker that answers goes on, so the deadline of the takeover does not
    # show that its former runs have lapsed.
    commit = site.store.commit
    refuse_records(site)
    for worker in site.workers.values():
        worker.max_listed_ends = 1
    steps = (scheduling.StepSpec(count=6, cpu=1_000),)
    site.submit(daemons[0], LONG_JOB, steps, duration_ms=1_000)
    site.run(2_000)
    assert [run.outcome for run in site.history] == ['done'] * 6
    owner = owner_of(daemons)
    site.shut_down(owner)
    daemons.remove(owner)
    site.run_until(lambda: any(d.is_owner for d in daemons), 2_000)
    site.run(TAKEOVER_MS)
    site.store.commit = commit
    site.run(5_000)
    assert site.repeated_runs() == []
    assert len(site.history) == 6
