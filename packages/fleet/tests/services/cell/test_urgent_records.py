"""Tests of records that the start of a service task waits for."""

from oriolestand_fleet import layout
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

SERVICE = 'a' * 16
ONE_SERVICE = (scheduling.StepSpec(count=1, cpu=2_000, is_service=True),)
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
JOBS = 200
COMMIT_MS = 300
"""Shorter than the time after which a commit is sent again."""


def add_slow_records(site, daemons):
    """Let the owner have many records to write, slowly.

    Return it and the list that gets the jobs of each of its commits.
    """
    owner = owner_of(daemons)
    term = owner.kernel.find('cell')._owner_term
    commits = []
    task = owner.kernel.find('store')
    real = task._commit

    async def commit(msg):
        jobs = [
            put.key.removeprefix(layout.PROGRESS_PREFIX)
            for put in msg.puts
            if put.key.startswith(layout.PROGRESS_PREFIX)
        ]
        if jobs:
            commits.append(jobs)
            await owner.kernel.sleep(COMMIT_MS)
        return await real(msg)

    task._commit = commit
    # Their route does not exist, so that no task of them starts.
    for number in range(JOBS):
        spec = scheduling.JobSpec(
            id=f'{number:016x}', route='none', payload='p', steps=ONE_TASK
        )
        term._scheduler.add_job(spec, site.clock.now())
    term._saver.queue_records(f'{number:016x}' for number in range(JOBS))
    return owner, commits


def test_record_of_a_service_is_written_before_others(site, daemons):
    # Service tasks stayed away while all other records were written.
    owner, commits = add_slow_records(site, daemons)
    site.submit(owner, SERVICE, ONE_SERVICE, duration_ms=60_000)
    site.run(2 * COMMIT_MS)
    assert SERVICE in commits[1]


def test_record_is_urgent_for_one_start_only(site, daemons):
    # Later changes of the record would stay ahead of all others.
    owner, commits = add_slow_records(site, daemons)
    site.submit(owner, SERVICE, ONE_SERVICE, duration_ms=60_000)
    site.run_until(lambda: site.history, 4 * COMMIT_MS)
    count = len(commits)
    owner.kernel.find('cell')._owner_term._saver.queue_record(SERVICE)
    site.run(2 * COMMIT_MS)
    assert len(commits) > count
    assert SERVICE not in commits[count]


def test_late_starts_of_services_are_reported(site, daemons):
    # Jobs were accepted while starts waited for seconds.
    owner, _ = add_slow_records(site, daemons)
    term = owner.kernel.find('cell')._owner_term
    site.submit(owner, SERVICE, ONE_SERVICE, duration_ms=60_000)
    site.run(COMMIT_MS // 2)
    assert term._orders.unsent_start_count == 1
    assert term.delay_ms > 0
    site.run(2 * COMMIT_MS)
    assert term._orders.unsent_start_count == 0
    assert term.delay_ms < COMMIT_MS
