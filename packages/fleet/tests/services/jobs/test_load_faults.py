"""Tests of failed reads and unreadable rows while a new owner loads."""

import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)

PAGE_ROWS = 2


def wrap_reads(daemons, table, read):
    """Call ``read`` instead of the reads of a table by all daemons."""
    for daemon in daemons:
        task = daemon.kernel.find('store')
        real = task._read

        async def wrapped(msg, daemon=daemon, real=real):
            if msg.table != table:
                return await real(msg)
            return await read(daemon, msg, real)

        task._read = wrapped


def first_page(page):
    return store.RowPage(
        rows=page.rows[:PAGE_ROWS],
        version=page.version,
        has_more=len(page.rows) > PAGE_ROWS,
    )


def put_rows(site, table, part, values):
    for key, value in values.items():
        site.store.commit(
            store.CommitRows(
                table=table,
                part=part,
                checks=(),
                puts=(store.Put(key=key, value=value),),
            )
        )


def rest_of(daemons, lost):
    return [daemon for daemon in daemons if daemon is not lost]


def test_failed_page_does_not_repeat_the_pages_before_it(site, daemons):
    # On a slow link, a part of several pages was never read to its end.
    lost = owner_of(daemons)
    put_rows(
        site,
        layout.OWNER_TABLE,
        layout.CELL_PART,
        {f'worker/x{number}': b'["x:1","pool","d1"]' for number in range(6)},
    )
    starts = []

    async def read(daemon, msg, real):
        starts.append((daemon, msg.start))
        if starts.count((daemon, msg.start)) == 1 and msg.start:
            raise store.StoreError('refused')
        return first_page(await real(msg))

    wrap_reads(rest_of(daemons, lost), layout.OWNER_TABLE, read)
    lost.disconnect()
    site.run_until(
        lambda: any(d.is_owner for d in rest_of(daemons, lost)), 8_000
    )
    assert len({start for _, start in starts}) > 3
    assert all(starts.count(start) == 1 for start in starts if not start[1])
    assert all(starts.count(start) <= 2 for start in starts)
    owner = next(d for d in rest_of(daemons, lost) if d.is_owner)
    term = owner.kernel.find('cell')._owner_term
    assert term._fleet.former_worker_ids >= {f'x{n}' for n in range(6)}


def test_retry_waits_for_the_reads_in_progress(site, daemons):
    # A retry that started at the first failure sent reads of parts whose
    # transfer was unfinished a second time.
    lost = owner_of(daemons)
    failing = layout.part_for_job('a' * 16)
    sent = []
    open_reads = []
    repeated = []

    async def read(daemon, msg, real):
        sent.append(msg.part)
        if (daemon, msg.part) in open_reads:
            repeated.append(msg.part)
        open_reads.append((daemon, msg.part))
        await daemon.kernel.sleep(4 if msg.part == failing else 1_000)
        open_reads.remove((daemon, msg.part))
        if msg.part == failing:
            raise store.StoreError('refused')
        return await real(msg)

    wrap_reads(rest_of(daemons, lost), layout.SPEC_TABLE, read)
    lost.disconnect()
    site.run(7_000)
    assert sent.count(failing) > 2
    assert repeated == []


def loading_daemon(site, daemons, lost):
    def find():
        return [
            daemon
            for daemon in rest_of(daemons, lost)
            if daemon.kernel.find('cell')._loading_term is not None
        ]

    site.run_until(find, 8_000)
    return find()[0]


def test_lost_claim_ends_the_load_at_once(site, daemons):
    # A daemon that was replaced while it loaded the cell read on until all
    # was read.
    lost = owner_of(daemons)
    reads = []

    async def read(daemon, msg, real):
        reads.append(daemon)
        raise store.StoreError('refused')

    wrap_reads(daemons, layout.OWNER_TABLE, read)
    lost.disconnect()
    loading = loading_daemon(site, daemons, lost)
    site.run(300)
    assert loading in reads
    put_rows(
        site,
        layout.TABLE,
        layout.CELL_PART,
        {
            layout.OWNER_KEY: b'{"instance":"other","incarnation":"1",'
            b'"epoch":9}'
        },
    )
    site.run(300)
    assert loading.kernel.find('jobs')._owner_view is None
    reads.clear()
    site.run(1_000)
    assert loading not in reads
    assert not loading.kernel.find('cell')._is_claiming


def test_load_ends_although_the_replica_is_behind(site, daemons):
    # A daemon whose change feed stood still waited for it without a limit
    # and could not claim the cell again.
    lost = owner_of(daemons)
    for daemon in rest_of(daemons, lost):
        daemon.store.faults.paused_tables = {layout.TABLE}
    lost.disconnect()
    loading = loading_daemon(site, daemons, lost)
    site.run(8_500)
    assert not loading.kernel.find('cell')._is_claiming


def test_load_that_makes_progress_is_not_given_up(site, daemons):
    # Behind a slow link, the first pages were thrown away 8 s after the
    # claim, and no daemon ever owned the cell.
    lost = owner_of(daemons)
    put_rows(
        site,
        layout.OWNER_TABLE,
        layout.CELL_PART,
        {f'worker/x{number}': b'["x:1","pool","d1"]' for number in range(4)},
    )
    readers = []

    async def read(daemon, msg, real):
        readers.append(id(daemon))
        if len(readers) % 2:
            raise store.StoreError('refused')
        # The store client gives a response that keeps arriving 10 s.
        await daemon.kernel.sleep(9_900)
        return first_page(await real(msg))

    wrap_reads(rest_of(daemons, lost), layout.OWNER_TABLE, read)
    lost.disconnect()
    site.run(50_000)
    assert len(readers) == 2 * 4
    assert len(set(readers)) == 1
    assert any(d.is_owner for d in rest_of(daemons, lost))


MALFORMED_PROGRESS = [
    b'not json',
    b'[]',
    b'{"outcome":"lost"}',
    b'{"done":[[0,0]]}',
    b'{"done":[[0,0,["x"]]]}',
    b'{"open":[[0,0,0]]}',
]


@pytest.mark.parametrize('value', MALFORMED_PROGRESS)
@pytest.mark.parametrize('has_lost_history', [False, True])
def test_job_with_malformed_progress_does_not_run_again(
    site, daemons, value, has_lost_history
):
    # Without its progress, finished tasks of the job would run again; with
    # it, each owner failed to load the cell.
    lost = owner_of(daemons)
    two_steps = (
        scheduling.StepSpec(count=2, cpu=1_000),
        scheduling.StepSpec(count=1, cpu=1_000, after=(0,)),
    )
    site.submit(lost, 'a' * 16, two_steps, duration_ms=2_000)
    site.run(3_000)
    finished = [run.key for run in site.history if run.outcome == 'done']
    assert finished
    lost.disconnect()
    part = layout.CELL_PART
    progress = {layout.PROGRESS_PREFIX + 'a' * 16: value}
    put_rows(site, layout.OWNER_TABLE, part, progress)
    rest = rest_of(daemons, lost)
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    if has_lost_history:
        # All followers are behind the history for some commits.
        site.store.oldest_cursor = site.store.version + 5
    runs = len(site.history)
    site.submit(rest[0], 'b' * 16, ONE_TASK)
    site.run(30_000)
    assert site.state(rest[0], 'b' * 16) == 'completed'
    assert {run.key.job for run in site.history[runs:]} == {'b' * 16}


@pytest.mark.parametrize('value', MALFORMED_PROGRESS)
def test_job_of_an_earlier_version_with_malformed_state_does_not_run(
    site, value
):
    # Earlier versions stored the progress in the state row.
    job = 'a' * 16
    spec = scheduling.JobSpec(
        id=job, route='route', payload='p', steps=ONE_TASK, accepted_ms=0
    )
    row = json.dumps(scheduling.job_to_dict(spec)).encode()
    part = layout.part_for_job(job)
    put_rows(site, layout.TABLE, part, {layout.JOB_PREFIX + job: row})
    state = {layout.RECORD_PREFIX + job: value}
    put_rows(site, layout.TABLE, layout.CELL_PART, state)
    daemon = site.add_daemon('front-0')
    site.run(25_000)
    assert daemon.is_owner
    assert site.history == []
