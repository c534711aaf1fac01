"""Test the sink of log lines."""

import os

from oriolestand_fleet import _logs


class _Clock:
    def __init__(self):
        self.now = 0
        self.due = []

    def call_later(self, delay, func):
        self.due.append(func)


def _sink(clock, descriptor, lines):
    return _logs.LineSink(
        descriptor, lines, lambda: clock.now, clock.call_later
    )


def test_lines_over_the_budget_are_counted():
    # Guards against logs whose volume grows with the load.
    clock = _Clock()
    reader, writer = os.pipe()
    sink = _sink(clock, writer, 2)
    for number in range(5):
        sink.write(f'line {number}\n')
    clock.now = 1_000
    sink.write('next\n')
    sink.close()
    text = os.read(reader, 10_000).decode()
    assert text.count('line') == 3
    assert 'lines left out: 3' in text
    assert text.endswith('next\n')


def test_slow_reader_does_not_block():
    # Guards against a daemon that waits for who reads its logs.
    clock = _Clock()
    _, writer = os.pipe()
    sink = _sink(clock, writer, 1_000_000)
    for _ in range(400):
        sink.write('x' * 1_000 + '\n')
        clock.due and clock.due.pop()()
    assert sink.left_out > 0
