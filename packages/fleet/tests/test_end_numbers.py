"""Tests of ends whose sequence numbers are wrong or leave numbers out."""

import dataclasses
import itertools

import pytest

from oriolestand_policy import scheduling

JOBS = ('a' * 16, 'b' * 16, 'c' * 16)
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
HIGH = 10**9


@pytest.fixture
def worker(site, daemons):
    """Return the only worker that is left."""
    for name in ('w1', 'w2'):
        site.store.unregister_worker(name)
    site.run(500)
    return site.workers['w0']


def change_numbers(worker, change, step=1):
    """Let a worker leave numbers out and list its ends with changed numbers.

    ``change`` takes and returns the list of ends of a report. Return the
    numbers of the acknowledged ends.
    """
    poll = worker.poll
    acknowledged = []

    async def poll_changed(msg):
        acknowledged.append(msg.acknowledged)
        report = await poll(
            dataclasses.replace(msg, acknowledged=msg.acknowledged // step)
        )
        ends = [
            dataclasses.replace(end, sequence=end.sequence * step)
            for end in report.ended
        ]
        return dataclasses.replace(report, ended=tuple(change(ends)))

    worker.poll = poll_changed
    return acknowledged


def raise_last(ends):
    """Return ends of which the last one has a far too high number."""
    if ends:
        ends[-1] = dataclasses.replace(ends[-1], sequence=HIGH)
    return ends


class RaiseOnce:
    """Raise the number of the last end once, at a given listing."""

    def __init__(self, listing):
        self._listing = listing

    def __call__(self, ends):
        """Return the ends, with a too high number at the listing."""
        self._listing -= bool(ends)
        return raise_last(ends) if self._listing == 0 and ends else ends


def submit_all(site, daemons):
    """Submit jobs whose tasks end 400 ms after each other."""
    for number, job in enumerate(JOBS):
        site.submit(daemons[0], job, ONE_TASK, duration_ms=500 + 400 * number)


@pytest.mark.parametrize('step', [1, 1_000])
@pytest.mark.parametrize('listing', [1, 2, 3])
def test_too_high_number_acknowledges_no_other_end(
    site, daemons, worker, listing, step
):
    # Guards against ends that the worker forgets unread, and against ends
    # that are ignored as if they had been read: their tasks run again.
    acknowledged = change_numbers(worker, RaiseOnce(listing), step)
    submit_all(site, daemons)
    site.run(6_000)
    assert max(acknowledged) == len(JOBS) * step
    assert len(site.history) == len(JOBS)
    assert [site.state(daemons[0], job) for job in JOBS] == ['completed'] * 3


def test_numbers_that_are_always_too_high(site, daemons, worker):
    # Guards against belief in a number because it is listed again before the
    # worker could forget its end.
    acknowledged = change_numbers(worker, raise_last)
    for daemon in daemons:
        daemon.store.faults.unanswered_commits = 3
    submit_all(site, daemons)
    site.run(8_000)
    assert max(acknowledged) == len(JOBS)
    assert len(site.history) == len(JOBS)


def test_number_that_is_never_listed_again(site, daemons, worker):
    # Guards against polls that follow each other at once while the numbers of
    # a worker that leaves some out cannot be read.
    numbers = itertools.count(1)
    acknowledged = change_numbers(
        worker,
        lambda ends: [
            dataclasses.replace(end, sequence=HIGH + next(numbers))
            for end in ends
        ],
        1_000,
    )
    submit_all(site, daemons)
    site.run(6_000)
    assert len(acknowledged) <= 6_000 // 250 + 5
    assert len(site.history) == len(JOBS)


def test_ends_of_a_worker_that_leaves_numbers_out(site, daemons, worker):
    # Guards against ends that stay listed, so that each poll returns at once,
    # and against failures that count again with each listing.
    site.outcome_of = lambda key, number: 'failed'
    acknowledged = change_numbers(worker, lambda ends: ends, 1_000)
    submit_all(site, daemons)
    site.run(6_000)
    ends = len(site.history)
    assert ends == 2 * len(JOBS)
    assert acknowledged[-1] == ends * 1_000
    assert len(acknowledged) <= 4 * ends + 6_000 // 500
    counted = sum(
        daemon.kernel.find('telemetry').counters[('ends', 'failed')]
        for daemon in daemons
    )
    assert counted == ends


@pytest.mark.parametrize('listing', [1, 2])
def test_new_owner_reads_a_too_high_number(site, daemons, worker, listing):
    # A new owner does not know which ends its worker has numbered before.
    submit_all(site, daemons)
    site.run(3_000)
    (owner,) = [daemon for daemon in daemons if daemon.is_owner]
    site.submit(daemons[0], 'd' * 16, ONE_TASK, duration_ms=12_000)
    site.submit(daemons[0], 'e' * 16, ONE_TASK, duration_ms=12_500)
    site.run(1_000)
    site.shut_down(owner)
    daemons.remove(owner)
    acknowledged = change_numbers(worker, RaiseOnce(listing))
    site.run(16_000)
    assert max(acknowledged) == 5
    assert len(site.history) == 5
