"""Tests of the cursor that acknowledges the ends of runs."""

from oriolestand_fleet.services.cell import _worker_poller


def test_ends_are_acknowledged_in_order_of_polls():
    # An end without a record must not acknowledge earlier ends whose records
    # still wait for the store.
    cursor = _worker_poller._Cursor()
    first = [3, False]
    second = [5, False]
    cursor.pending.extend([first, second])
    cursor.mark_written(second)
    assert cursor.recorded == 0
    cursor.mark_written(first)
    assert cursor.recorded == 5
