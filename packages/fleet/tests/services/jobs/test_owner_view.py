"""Tests of what a new owner loads from the store."""

import json

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import owner_of

STEPS = (scheduling.StepSpec(count=2, cpu=1_000),)


def rows_with(site, prefix):
    return [key for *_, key in site.store.rows if key.startswith(prefix)]


def test_job_of_an_earlier_version_is_not_lost(site):
    # Earlier versions stored the specification in the row of the job and the
    # progress in its state row. An upgrade must not lose a job or run a
    # finished task again.
    job = 'a' * 16
    spec = scheduling.JobSpec(
        id=job, route='route', payload='p', steps=STEPS, accepted_ms=0
    )
    record = {
        'outcome': None,
        'started': True,
        'ended': 0,
        'done': [[0, 0, [1]]],
        'open': [],
    }
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE,
            part=layout.part_for_job(job),
            checks=(),
            puts=(
                store.Put(
                    key=layout.JOB_PREFIX + job,
                    value=json.dumps(scheduling.job_to_dict(spec)).encode(),
                ),
            ),
        )
    )
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=(),
            puts=(
                store.Put(
                    key=layout.RECORD_PREFIX + job,
                    value=json.dumps(record).encode(),
                ),
                store.Put(
                    key=layout.FLEET_KEY,
                    value=json.dumps([['w0', 'w0:1', 'pool', 'd1']]).encode(),
                ),
            ),
        )
    )
    daemon = site.add_daemon('front-0')
    site.run(4_000)
    assert site.state(daemon, job) == 'completed'
    assert [record.key.index for record in site.history] == [0]
    owner_term = daemon.kernel.find('cell')._owner_term
    assert 'w0' in owner_term._fleet.former_worker_ids


def test_job_cancelled_before_the_owner_receives_it_does_not_run(
    site, daemons
):
    # Cancellations and specifications arrive on two change feeds.
    owner = owner_of(daemons)
    owner.store.faults.paused_tables = {layout.SPEC_TABLE}
    site.submit(follower_of(daemons), 'a' * 16, STEPS)
    site.run(300)
    site.cancel(follower_of(daemons), 'a' * 16)
    site.run(300)
    owner.store.faults.paused_tables = set()
    site.run(3_000)
    assert site.history == []
    assert site.state(owner, 'a' * 16) == 'cancelled'


def test_ended_jobs_have_no_specification(site, daemons):
    # A successor would load the specifications of all jobs of the retention
    # period before it could renew its claim.
    site.submit(daemons[0], 'a' * 16, STEPS)
    site.submit(daemons[0], 'b' * 16, STEPS, duration_ms=60_000)
    site.run(8_000)
    assert rows_with(site, layout.SPEC_PREFIX) == ['spec/' + 'b' * 16]
    lost = owner_of(daemons)
    lost.disconnect()
    rest = [daemon for daemon in daemons if daemon is not lost]
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    assert site.state(rest[0], 'a' * 16) == 'completed'
    for _ in range(170):
        site.run(1_000)
    assert rows_with(site, layout.PROGRESS_PREFIX + 'a') == []
    assert rows_with(site, layout.JOB_PREFIX) == ['job/' + 'b' * 16]
    assert site.overlapping_runs() == []


def test_followers_hold_no_specifications(site, daemons):
    # The memory of every daemon would grow with the payloads of all jobs.
    site.payload = 'p' * 4_000
    site.submit(daemons[0], 'a' * 16, STEPS, duration_ms=60_000)
    site.run(1_000)
    replica = follower_of(daemons).kernel.find('jobs')._replica
    assert replica.entries['a' * 16].is_stored
    assert replica.entries['a' * 16].spec is None


def test_malformed_specification_does_not_stop_other_jobs(site, daemons):
    # One bad row would keep every owner from loading the cell.
    def insert_bad_row(job):
        put = store.Put(key=layout.SPEC_PREFIX + job, value=b'{"steps":1}')
        site.store.commit(
            store.CommitRows(
                table=layout.SPEC_TABLE, part='jobs-0', checks=(), puts=(put,)
            )
        )

    insert_bad_row('0' * 16)
    site.submit(daemons[0], 'a' * 16, STEPS, duration_ms=20_000)
    site.run(1_000)
    lost = owner_of(daemons)
    lost.disconnect()
    rest = [daemon for daemon in daemons if daemon is not lost]
    site.run_until(lambda: any(d.is_owner for d in rest), 8_000)
    site.submit(rest[0], 'b' * 16, STEPS)
    site.run(25_000)
    assert {site.state(rest[0], job * 16) for job in 'ab'} == {'completed'}


def test_unexpected_error_does_not_end_the_replica(site, daemons):
    # A daemon whose replica stands still reports outdated states for ever.
    follower = follower_of(daemons)
    replica = follower.kernel.find('jobs')._replica
    apply_row = replica.apply

    def fail_once(row):
        replica.apply = apply_row
        raise RuntimeError('unexpected')

    replica.apply = fail_once
    site.submit(daemons[0], 'a' * 16, STEPS)
    site.run(4_000)
    assert replica.entries['a' * 16].outcome == 'completed'
