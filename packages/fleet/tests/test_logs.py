"""Tests of the non-blocking writer of log lines."""

import os

from oriolestand_fleet import _logs


class _Clock:
    def __init__(self):
        self.now = 0
        self.due = []

    def call_later(self, delay, func):
        self.due.append(func)


def _writer(clock, descriptor, lines):
    return _logs.NonBlockingLineWriter(
        descriptor, lines, lambda: clock.now, clock.call_later
    )


def test_lines_over_the_limit_are_counted():
    # Without a limit, the log volume would grow with the load.
    clock = _Clock()
    reader, writer = os.pipe()
    log_writer = _writer(clock, writer, 2)
    for number in range(5):
        log_writer.write(f'line {number}\n')
    clock.now = 1_000
    log_writer.write('next\n')
    log_writer.close()
    text = os.read(reader, 10_000).decode()
    assert text.count('line') == 3
    assert 'log lines dropped: 3' in text
    assert text.endswith('next\n')


def test_slow_reader_does_not_block():
    # A blocking write would stop the daemon until its logs are read.
    clock = _Clock()
    _, writer = os.pipe()
    log_writer = _writer(clock, writer, 1_000_000)
    for _ in range(400):
        log_writer.write('x' * 1_000 + '\n')
        clock.due and clock.due.pop()()
    assert log_writer.dropped_lines > 0
