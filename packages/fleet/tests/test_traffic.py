"""Tests of the traffic between the store and daemons."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import owner_of

CONTROL_BYTES_PER_S = 8_000
"""Target of docs/design.md, section 2, for the control traffic of a daemon."""

CHECKPOINTED = (
    scheduling.StepSpec(count=20, cpu=1_000),
    scheduling.StepSpec(count=20, cpu=1_000, after=(0,)),
)


def test_progress_of_tasks_does_not_load_followers(site, daemons):
    # Each daemon received every record of a job after each end of a task.
    # With twenty daemons behind one link, that filled the link.
    for number in range(60):
        site.add_worker(f'extra{number}')
    site.run(2_000)
    follower = follower_of(daemons)
    before = follower.store.received_bytes
    for second in range(10):
        for number in range(12):
            site.submit(
                daemons[number % 3],
                f'{second:08x}{number:08x}',
                CHECKPOINTED,
                duration_ms=500 + 40 * number,
            )
        site.run(1_000)
    received = follower.store.received_bytes - before
    assert len(site.history) > 4_000
    assert received <= 10 * CONTROL_BYTES_PER_S


def test_registration_of_workers_does_not_load_followers(site, daemons):
    # The list of all workers was rewritten and sent to every daemon whenever
    # a worker registered, so the traffic grew with the square of the fleet.
    follower = follower_of(daemons)
    before = follower.store.received_bytes
    for number in range(240):
        site.add_worker(f'extra{number}')
        site.run(15)
    site.run(400)
    received = follower.store.received_bytes - before
    assert received <= 4 * CONTROL_BYTES_PER_S


@pytest.mark.parametrize('payload_bytes', [500, 4_000])
def test_payloads_of_jobs_do_not_load_followers(site, daemons, payload_bytes):
    # Only the owner of the cell needs the specification of a job.
    site.payload = 'p' * payload_bytes
    follower = follower_of(daemons)
    before = follower.store.received_bytes
    for second in range(5):
        for number in range(10):
            site.submit(
                owner_of(daemons), f'{second:08x}{number:08x}', CHECKPOINTED
            )
        site.run(1_000)
    received = follower.store.received_bytes - before
    assert received <= 5 * CONTROL_BYTES_PER_S
