"""Tests of the non-blocking writer of log lines."""

import os

import pytest
import structlog

import oriolestand_core as core
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


LIMIT = 10


@pytest.fixture
def logged():
    """Return a clock, a logger with a limit of lines, and its reader."""
    former = structlog.get_config()
    clock = _Clock()
    reader, descriptor = os.pipe()
    log_writer = _writer(clock, descriptor, LIMIT)
    core.configure_logs(
        'json',
        'INFO',
        lambda: clock.now,
        stream=log_writer,
        repeat_limit=None,
    )

    def read():
        log_writer.close()
        return os.read(reader, 1_000_000).decode()

    yield clock, core.get_logger('cell'), read
    structlog.configure(**former)


class _Rendered:
    """Value that counts how often it is rendered."""

    def __init__(self):
        self.count = 0

    def __repr__(self):
        self.count += 1
        return 'value'


def test_lines_over_the_limit_are_not_rendered(logged):
    # Guards against processor time for hundreds of lines a second that are
    # dropped after they have been rendered.
    clock, log, read = logged
    value = _Rendered()
    for _ in range(100):
        log.info('Start ordered', value=value)
    assert value.count == LIMIT
    assert read().count('Start ordered') == LIMIT
    clock.now = 1_000
    log.info('Start ordered', value=value)
    assert f'log lines dropped: {100 - LIMIT}' in read()


def test_warnings_and_rare_events_are_written_in_a_flood(logged):
    # Guards against a change of owner or a fault that nobody can see because
    # lines about starts use up the limit.
    _, log, read = logged
    for _ in range(100):
        log.info('Start ordered')
        log.info('Stop ordered')
    log.info('Owner changed', epoch=2)
    log.info('Claim of the cell', outcome='won')
    for number in range(LIMIT):
        log.warning('Claim not renewed', number=number)
    log.error('Owner failed')
    text = read()
    assert text.count('Owner changed') == 1
    assert text.count('Claim of the cell') == 1
    assert text.count('Claim not renewed') == LIMIT
    assert text.count('Owner failed') == 1


def test_warnings_are_limited(logged):
    # Guards against a log volume that grows with the number of faults.
    _, log, read = logged
    for _ in range(100):
        log.warning('Worker cannot be reached')
    log.info('Start ordered')
    text = read()
    assert text.count('Worker cannot be reached') == LIMIT
    assert text.count('Start ordered') == 1
    assert 'dropped' not in text
