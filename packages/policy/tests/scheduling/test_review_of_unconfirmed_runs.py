"""Runs in doubt that are held for longer than their starts can be late."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

IN_DOUBT = scheduling.StartOutcome.IN_DOUBT
LONGEST_MS = 12_000 + 6_700
TICK_MS = 100


@pytest.fixture
def cell(make):
    """Return a scheduler whose only worker has reported just now."""
    cell = make.Harness(workers=1)
    cell.add('j', scheduling.StepSpec(count=1, cpu=1_000))
    return cell


def doubt(cell):
    """Leave a start in doubt, 1.2 s after it was sent."""
    (start,), _ = cell.decide()
    cell.now += 1_200
    cell.scheduler.on_start_reply(
        start.worker, start.key, start.run, IN_DOUBT, '', cell.now
    )
    cell.decide()
    return start


def answer_stops(cell, stops):
    """Answer stops, without a report."""
    for stop in stops:
        cell.scheduler.on_stop_reply(
            stop.worker, stop.key, stop.run, True, cell.now
        )


@pytest.mark.parametrize('stopped_ms', [500, 3_000, 6_000])
def test_answer_to_a_stop_does_not_prolong_the_wait_for_a_late_start(
    cell, stopped_ms
):
    # Guards against a wait that begins anew with the answer to a stop: the
    # start was sent before, so it is not carried out later for that.
    start = doubt(cell)
    begin_ms = cell.now
    cell.now += stopped_ms
    cell.scheduler.on_stop_reply(
        start.worker, start.key, start.run, True, cell.now
    )
    while cell.scheduler.workers['w0'].runs:
        cell.now += TICK_MS
        assert cell.now - begin_ms <= LONGEST_MS + 2 * TICK_MS
        cell.decide()


def test_entries_of_others_do_not_hold_a_run_for_ever(cell):
    # Guards against a task that waits for ever: each entry sends the stop of
    # the run in doubt again, and each answer begins the wait anew. The polls
    # of the worker fail meanwhile.
    start = doubt(cell)
    answer_stops(cell, [start])
    begin_ms = cell.now
    cell.scheduler.on_poll_failed('w0', cell.now)
    number = 10
    while cell.scheduler.workers['w0'].runs:
        cell.now += TICK_MS
        assert cell.now - begin_ms <= 120_000
        if cell.now % 2_000 == 0:
            number += 1
            info = dataclasses.replace(
                cell.infos['w0'], process_start_ms=number
            )
            cell.scheduler.set_workers({'w0': info})
            cell.scheduler.on_poll_sent('w0', cell.now)
            cell.scheduler.on_poll_failed('w0', cell.now)
        _, stops = cell.decide()
        answer_stops(cell, stops)
    assert cell.now - begin_ms <= LONGEST_MS + 2 * TICK_MS
