"""Tests of workers whose entry or start time is wrong."""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility

STEP = scheduling.StepSpec(count=1, cpu=1_000, memory_mb=100)
START_MS = 50
DESCRIPTION_WAIT_MS = 4_500


class Cell:
    """A cell of two workers; ``name`` is one that runs the only task."""

    def __init__(self, harness, make):
        self.harness = harness
        self.make = make
        self.scheduler = harness.scheduler
        self.starts = dict.fromkeys(harness.infos, START_MS)
        for name, info in harness.infos.items():
            harness.infos[name] = dataclasses.replace(
                info, process_start_ms=START_MS
            )
        self.read()
        for name in harness.infos:
            self.report(name)
        harness.add('a', STEP)
        ((self.start,), _) = harness.decide()
        harness.answer(self.start)
        self.name = self.start.worker
        self.row = make.report(self.start)
        self.report(self.name, [self.row])

    @property
    def worker(self):
        """Return the worker that runs the task."""
        return self.scheduler.workers[self.name]

    @property
    def has_run(self):
        """Return whether the task is on its worker."""
        task = self.scheduler.jobs['a'].find(self.start.key)
        return (task.worker, task.run) == (self.name, self.start.run)

    @property
    def is_usable(self):
        """Return whether the worker may get tasks."""
        return _eligibility.is_usable(self.worker, self.harness.now)

    def write(self, **fields):
        """Write an entry under the id of the worker."""
        self.harness.infos[self.name] = dataclasses.replace(
            self.harness.infos[self.name], **fields
        )
        self.read()

    def read(self):
        """Read all entries."""
        self.scheduler.set_workers(self.harness.infos)

    def poll(self):
        """Send a poll, 100 ms later; return when."""
        self.harness.now += 100
        self.scheduler.on_poll_sent(self.name, self.harness.now)
        return self.harness.now

    def report(self, name, running=(), sent=None):
        """Apply a report, 100 ms later."""
        sent = self.harness.now if sent is None else sent
        self.harness.now += 100
        self.scheduler.on_worker_report(
            name,
            scheduling.WorkerReport(
                clock_ms=self.harness.now,
                process_start_ms=self.starts[name],
                running=tuple(running),
                ended=(),
            ),
            sent,
            self.harness.now,
        )


@pytest.fixture
def cell(harness, make):
    """Return a cell in which a task runs and its worker has listed it."""
    return Cell(harness, make)


def test_wrong_entry_releases_no_run(cell):
    # The listed runs were released at once, and later reports were ignored
    # for good, so that the task ran twice.
    cell.write(process_start_ms=START_MS + 1)
    assert cell.harness.decide()[0] == []
    assert not cell.is_usable
    for _ in range(5):
        cell.report(cell.name, [cell.row], cell.poll())
        cell.read()
        assert cell.has_run
        assert cell.is_usable
    assert cell.worker.last_report_ms == cell.harness.now
    cell.report(cell.name, [], cell.poll())
    cell.report(cell.name, [], cell.poll())
    assert not cell.has_run


def test_stream_of_wrong_entries(cell):
    # Guards against a worker that gets no tasks while someone writes entries.
    usable = 0
    for number in range(6):
        cell.write(process_start_ms=START_MS + 1 + number)
        sent = cell.poll()
        cell.write(rack=f'rack{number}')
        cell.report(cell.name, [cell.row], sent)
        usable += cell.is_usable
    assert cell.has_run
    assert usable == 6


def test_answer_to_an_earlier_poll_does_not_refute_an_entry(cell):
    # Guards against starts at a worker that has restarted while a poll of its
    # former incarnation was on its way.
    sent = cell.poll()
    cell.write(process_start_ms=START_MS + 1)
    cell.report(cell.name, [cell.row], sent)
    assert not cell.is_usable
    cell.starts[cell.name] += 1
    cell.report(cell.name, [], cell.poll())
    assert not cell.has_run
    assert cell.worker.info.process_start_ms == START_MS + 1


def test_worker_that_restarts_after_its_entry_was_refuted(cell):
    # Guards against a task that is lost with a process that was still there
    # when the entry of the next one was written.
    cell.write(process_start_ms=START_MS + 1, address='new:1')
    cell.report(cell.name, [cell.row], cell.poll())
    assert cell.is_usable
    cell.poll()
    cell.scheduler.on_poll_failed(cell.name, cell.harness.now)
    assert not cell.is_usable
    cell.starts[cell.name] += 1
    sent = cell.poll()
    assert cell.worker.polled_address == 'new:1'
    cell.report(cell.name, [], sent)
    assert not cell.has_run
    assert cell.worker.info.address == 'new:1'


@pytest.mark.parametrize('start_ms', [START_MS, START_MS + 1])
def test_address_in_a_wrong_entry(cell, start_ms):
    # Guards against a worker that is lost because another one has written its
    # own address under the id.
    address = cell.worker.info.address
    cell.write(process_start_ms=start_ms, address='other:1')
    for _ in range(3):
        sent = cell.poll()
        assert cell.worker.polled_address == address
        cell.report(cell.name, [cell.row], sent)
        cell.read()
    assert cell.has_run
    assert cell.worker.info.address == address
    # The address is tried only while the known one does not answer.
    addresses = []
    for _ in range(4):
        cell.poll()
        addresses.append(cell.worker.polled_address)
        cell.scheduler.on_poll_failed(cell.name, cell.harness.now)
    assert addresses == [address, 'other:1'] * 2


def test_address_in_a_wrong_entry_at_a_change_of_owner(make):
    # Guards against an owner that takes the runs on a former worker for ended,
    # as another one answers at the address in its entry.
    harness = make.Harness(workers=0)
    info = scheduling.WorkerInfo(
        id='w',
        pool='p',
        address='w:1',
        failure_domain='d',
        cpu=1,
        memory_mb=1,
    )
    harness.scheduler.add_former_worker(info)
    wrong = dataclasses.replace(info, address='other:1')
    harness.scheduler.set_workers({'w': wrong})
    worker = harness.scheduler.workers['w']
    assert worker.poll_address == 'w:1'
    harness.scheduler.on_poll_failed('w', harness.now)
    assert worker.poll_address == 'other:1'


def test_worker_at_another_address(cell):
    # Guards against a worker that is not read any more once it has moved.
    cell.write(address='new:1')
    cell.poll()
    cell.scheduler.on_poll_failed(cell.name, cell.harness.now)
    cell.report(cell.name, [cell.row], cell.poll())
    assert cell.has_run
    assert cell.worker.info.address == 'new:1'
    assert cell.is_usable


@pytest.mark.parametrize('start_ms', [0, START_MS - 1])
def test_start_time_in_an_old_entry(cell, start_ms):
    # Each report counted as a restart after the entry was read, and so as a
    # crash of the worker under its tasks.
    former = cell.worker
    cell.write(process_start_ms=start_ms)
    for _ in range(3):
        cell.report(cell.name, [cell.row], cell.poll())
        cell.read()
    assert cell.worker is former
    assert cell.has_run


@pytest.mark.parametrize('is_registered', [True, False])
def test_worker_whose_start_time_goes_back(cell, is_registered):
    # The worker was never read again, and its tasks waited for the lease.
    cell.starts[cell.name] -= 30
    if is_registered:
        cell.write(process_start_ms=START_MS - 30)
    cell.report(cell.name, [], cell.poll())
    assert not cell.has_run
    assert cell.worker.last_report_ms == cell.harness.now
    cell.scheduler.mark_workers_recorded([cell.name])
    assert cell.is_usable == is_registered
    # Without an entry of its own it is not closed for good.
    now = cell.harness.now
    cell.scheduler.on_entries_read(now, now + DESCRIPTION_WAIT_MS - 1)
    assert cell.is_usable == is_registered
    cell.scheduler.on_entries_read(now, now + DESCRIPTION_WAIT_MS)
    assert cell.is_usable


def test_start_time_that_is_wrong_in_one_report(cell):
    # Guards against a crash of a worker that still lists the runs from before.
    former = cell.worker
    for start_ms in (START_MS + 7, START_MS, START_MS - 7, START_MS):
        cell.starts[cell.name] = start_ms
        cell.report(cell.name, [cell.row], cell.poll())
        assert cell.worker is former
        assert cell.has_run
        assert cell.worker.last_report_ms == cell.harness.now
