"""Test the cursor of the ends that a worker listed."""

from oriolestand_fleet.services.cell import _looks


def test_ends_are_acknowledged_in_order_of_looks():
    # Guards against an end without a record that acknowledges earlier ends
    # whose records wait for the store.
    cursor = _looks._Cursor()
    first = [3, False]
    second = [5, False]
    cursor.pending.extend([first, second])
    cursor.settle(second)
    assert cursor.written == 0
    cursor.settle(first)
    assert cursor.written == 5
