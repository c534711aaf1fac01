"""Tests of ends whose rows could not be read."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)


@pytest.fixture
def polls(site, daemons):
    """Run a job with unreadable ends; return the polls of its first worker.

    They are pairs of the time and the acknowledged end.
    """
    site.submit(daemons[0], JOB, ONE_TASK, duration_ms=500)
    site.run_until(lambda: site.history, 2_000)
    worker = site.workers[site.history[0].worker]
    poll = worker.poll
    found = []

    async def poll_without_ends(msg):
        found.append((site.clock.now(), msg.acknowledged))
        report = await poll(msg)
        last_sequence = max((e.sequence for e in report.ended), default=0)
        return dataclasses.replace(
            report,
            ended=(),
            last_sequence=last_sequence,
            unreadable_ends=len(report.ended),
        )

    worker.poll = poll_without_ends
    site.run(3_000)
    return found


def test_unreadable_end_is_acknowledged(polls):
    # It stayed listed, so that each poll returned at once: 626 polls in 3 s.
    assert [acknowledged for _, acknowledged in polls[:2]] == [0, 1]
    assert len(polls) < 20


def test_task_of_an_unreadable_end_starts_again(site, polls):
    # How the run has ended cannot be known; the task must not wait for ever.
    assert len(site.history) >= 2
