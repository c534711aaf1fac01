"""Tests of which ends in the reports of a worker may be acknowledged."""

from oriolestand_fleet.services.cell import _end_reader
from oriolestand_policy import scheduling


def report(*ends):
    """Return a report with ends, given as index of the task and number."""
    return scheduling.WorkerReport(
        clock_ms=1,
        process_start_ms=1,
        running=(),
        ended=tuple(
            scheduling.EndReport(
                sequence=sequence,
                key=scheduling.TaskKey('a', 0, 0, index),
                number=7,
                kind=scheduling.EndKind.DONE,
                checkpoint='',
            )
            for index, sequence in ends
        ),
    )


def test_poll_that_acknowledges_nothing_makes_no_number_believed():
    # An entry of another writer made a poll name no number. A wrong number
    # listed then and after it was believed, the end after it was acknowledged
    # unread, and its task ran twice.
    reader = _end_reader.EndReader()
    assert reader.read(report((3, 4)), 3).last_sequence == 4
    # The worker lists its fourth and fifth end, the latter with number 6.
    assert reader.read(report((3, 4), (4, 6)), 0).last_sequence == 5
    assert reader.read(report((4, 6)), 4).last_sequence == 5
