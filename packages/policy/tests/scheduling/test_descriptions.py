"""Tests of workers that start again under their id as another kind.

Labels, capacity and pool belong to an incarnation, and only its own entry
tells them.
"""

import dataclasses

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _eligibility

LABEL = 'b'
STEP = scheduling.StepSpec(count=2, cpu=1_000, memory_mb=100, label=LABEL)
FORMER_MS = 50
START_MS = 60
DESCRIPTION_WAIT_MS = 4_500
USABLE = _eligibility.WorkerState.USABLE
NOT_DESCRIBED = _eligibility.WorkerState.NOT_DESCRIBED


class Cell:
    """A cell with one worker of kind ``LABEL``, which tells start times."""

    def __init__(self, harness):
        self.harness = harness
        self.scheduler = harness.scheduler
        self.start_ms = 0
        self.logs = []

    @property
    def worker(self):
        """Return the worker."""
        return self.scheduler.workers['w0']

    @property
    def state(self):
        """Return whether the worker may get tasks, or why not."""
        return _eligibility.worker_state(self.worker, self.harness.now)

    def write(self, start_ms, labels=(LABEL,), **fields):
        """Write the entry of an incarnation and read all entries."""
        infos = self.harness.infos
        infos['w0'] = dataclasses.replace(
            infos['w0'],
            labels=frozenset(labels),
            process_start_ms=start_ms,
            **fields,
        )
        self.scheduler.set_workers(infos)
        self.scheduler.mark_workers_recorded(infos)

    def report(self, running=(), start_ms=None):
        """Poll the worker and apply its report, 100 ms later."""
        sent = self.harness.now
        self.scheduler.on_poll_sent('w0', sent)
        self.harness.now += 100
        self.scheduler.on_worker_report(
            'w0',
            scheduling.WorkerReport(
                clock_ms=self.harness.now,
                process_start_ms=(
                    self.start_ms if start_ms is None else start_ms
                ),
                running=tuple(running),
                ended=(),
            ),
            sent,
            self.harness.now,
        )

    def restart(self, start_ms=START_MS):
        """Let the worker report as another incarnation."""
        self.start_ms = start_ms
        self.report()

    def read(self, passed_ms, since_ms=0):
        """Note that entries were read some time after the last report."""
        now = self.harness.now
        return self.scheduler.on_entries_read(
            now - 100 + since_ms, now - 100 + passed_ms
        )

    def decide(self):
        """Run a round; return the starts."""
        starts = []
        for effect in self.scheduler.take_effects():
            self.note(effect)
        self.harness.scheduler.new_lease_end('w0', self.harness.now)
        self.scheduler.decide(self.harness.now, 0, scheduling.FormerRuns())
        for effect in self.scheduler.take_effects():
            if isinstance(effect, scheduling.StartTask):
                starts.append(effect)
            self.note(effect)
        return starts

    def note(self, effect):
        """Keep the names of log events."""
        if isinstance(effect, scheduling.LogEvent):
            self.logs.append(effect.event)


def make_cell(make):
    """Return a cell whose worker has reported as its first incarnation."""
    found = Cell(make.Harness(workers=1))
    found.write(FORMER_MS)
    found.restart(FORMER_MS)
    assert found.state is USABLE
    found.decide()
    found.logs.clear()
    return found


@pytest.fixture
def cell(make):
    """Return a cell whose worker has reported as its first incarnation."""
    return make_cell(make)


@pytest.mark.parametrize('is_later', [True, False])
def test_restarted_worker_gets_no_task_by_its_former_description(
    cell, is_later
):
    # Guards against a start on a worker without the label: the store is away
    # when the worker is back as another kind.
    start_ms = START_MS if is_later else FORMER_MS - 1
    cell.restart(start_ms)
    cell.harness.add('a', STEP)
    assert cell.state is NOT_DESCRIBED
    assert cell.decide() == []
    assert cell.logs.count('worker_not_described') == 1
    cell.report()
    assert cell.state is NOT_DESCRIBED
    cell.write(start_ms, labels=['a'])
    assert cell.state is USABLE
    assert cell.decide() == []
    assert cell.logs.count('worker_described') == 1
    cell.write(start_ms)
    assert len(cell.decide()) == 2


@pytest.mark.parametrize('start_ms', [START_MS, FORMER_MS - 1])
@pytest.mark.parametrize('is_refuted', [True, False])
def test_entry_that_is_read_before_the_report_describes(
    cell, start_ms, is_refuted
):
    # Guards against a worker that gets no tasks although its entry was read,
    # as the former incarnation still answered a poll after that.
    cell.write(start_ms, labels=['a'], cpu=500)
    if is_refuted:
        cell.report()
        assert cell.state is USABLE
        assert cell.worker.info.labels == {LABEL}
    cell.restart(start_ms)
    assert cell.state is USABLE
    assert cell.worker.info.labels == {'a'}
    assert cell.worker.info.cpu == 500


@pytest.mark.parametrize('is_first_read', [True, False])
@pytest.mark.parametrize('is_listed', [True, False])
def test_entry_of_an_older_incarnation_describes_nothing(
    cell, is_first_read, is_listed
):
    # Guards against an entry that the former incarnation has written and that
    # is read once the store is back, before that of the present one.
    if is_first_read:
        cell.restart()
    if not is_listed:
        cell.scheduler.set_workers({})
    cell.write(FORMER_MS, rack='r2')
    if not is_first_read:
        cell.restart()
    assert cell.state is NOT_DESCRIBED
    cell.write(FORMER_MS + 1)
    assert cell.state is NOT_DESCRIBED
    assert cell.worker.info.process_start_ms == START_MS


def test_second_restart_needs_another_entry(cell):
    # Guards against the entry of the incarnation between two restarts.
    cell.write(START_MS, labels=['a'])
    cell.restart(START_MS + 1)
    assert cell.state is NOT_DESCRIBED
    cell.write(START_MS + 1)
    assert cell.state is USABLE


def test_entry_of_an_older_incarnation_changes_no_described_worker(cell):
    # Guards against labels, size and state of a process that has ended.
    cell.write(FORMER_MS - 1, labels=['a'], cpu=500, is_leaving=True)
    cell.report()
    assert cell.state is USABLE
    assert cell.worker.info.labels == {LABEL}
    assert cell.worker.capacity.size.cpu == 10_000
    cell.decide()
    assert cell.logs.count('entry_ignored') == 1
    cell.write(FORMER_MS - 1, labels=['a'], cpu=500, is_leaving=True)
    cell.decide()
    assert cell.logs.count('entry_ignored') == 1


@pytest.mark.parametrize('is_read_first', [True, False])
@pytest.mark.parametrize('entry_ms', [FORMER_MS, START_MS + 9])
def test_next_owner_does_not_place_by_the_entry_of_another_incarnation(
    make, is_read_first, entry_ms
):
    # Guards against a successor that learns of the worker from its row and
    # reads the entry of the former incarnation.
    harness = make.Harness(workers=1)
    cell = Cell(harness)
    info = harness.infos.pop('w0')
    harness.scheduler.remove_worker('w0', 'never answered')
    harness.scheduler.add_former_worker(
        dataclasses.replace(info, process_start_ms=0)
    )
    harness.infos['w0'] = info
    if is_read_first:
        cell.write(entry_ms)
    cell.restart()
    if not is_read_first:
        assert cell.state is _eligibility.WorkerState.NOT_LISTED
        cell.write(entry_ms)
    cell.report()
    assert cell.state is NOT_DESCRIBED
    cell.harness.add('a', STEP)
    assert cell.decide() == []
    cell.write(START_MS)
    assert len(cell.decide()) == 2


def test_row_of_the_former_owner_describes_nothing(make):
    # Guards against a listed worker that is placed by the stored row.
    harness = make.Harness(workers=1)
    info = harness.infos['w0']
    harness.scheduler.remove_worker('w0', 'never answered')
    harness.scheduler.add_former_worker(
        dataclasses.replace(info, process_start_ms=START_MS)
    )
    cell = Cell(harness)
    cell.restart()
    cell.worker.is_listed = True
    cell.scheduler.mark_workers_recorded(['w0'])
    assert cell.state is NOT_DESCRIBED


def test_runs_of_an_incarnation_that_is_not_described_go_on(cell, make):
    # Guards against accepted work that is lost with the wait: listed runs are
    # kept or adopted, leases are extended and stops are sent.
    cell.harness.add('a', STEP)
    starts = cell.decide()
    for start in starts:
        cell.harness.answer(start)
    cell.restart()
    rows = [make.report(start) for start in starts]
    for _ in range(100):
        cell.report(rows)
        lease_end = cell.scheduler.new_lease_end('w0', cell.harness.now)
        assert lease_end is not None
        assert cell.decide() == []
        assert cell.state is NOT_DESCRIBED
    assert len(cell.worker.runs) == 2
    assert cell.worker.lease_end_ms > cell.harness.now
    cell.scheduler.cancel_job('a', cell.harness.now)
    stops = [
        effect
        for effect in cell.scheduler.take_effects()
        if isinstance(effect, scheduling.StopTask)
    ]
    assert len(stops) == 2


def test_run_of_a_former_owner_is_adopted_without_a_description(make):
    # Guards against a run that is started again elsewhere.
    cell = make_cell(make)
    cell.harness.add('a', dataclasses.replace(STEP, count=1))
    (start,) = cell.decide()
    other = Cell(make.Harness(workers=1))
    other.write(FORMER_MS)
    other.harness.add('a', dataclasses.replace(STEP, count=1))
    other.start_ms = START_MS
    other.report([make.report(start)])
    assert other.state is NOT_DESCRIBED
    assert (start.key, start.run) in other.worker.runs
    task = other.scheduler.jobs['a'].find(start.key)
    assert task.worker == 'w0'


def test_unsent_starts_for_the_former_incarnation_are_withdrawn(cell):
    # Guards against a start that was decided for another kind and waits for a
    # record or for a connection when the restart is seen.
    cell.harness.add('a', STEP)
    starts = cell.decide()
    assert all(
        cell.scheduler.is_start_pending('w0', s.key, s.run) for s in starts
    )
    cell.restart()
    assert not any(
        cell.scheduler.is_start_pending('w0', s.key, s.run) for s in starts
    )
    withdrawn = [
        (effect.key, effect.run)
        for effect in cell.scheduler.take_effects()
        if isinstance(effect, scheduling.WithdrawStart)
    ]
    assert withdrawn == [(s.key, s.run) for s in starts]


@pytest.mark.parametrize('entry_ms', [0, FORMER_MS, START_MS + 9, 2**52])
def test_wrong_entry_does_not_close_a_worker_for_good(cell, entry_ms):
    # Guards against a worker that never gets tasks again: another writer, or
    # the worker itself, writes another start time than its reports have.
    cell.restart()
    cell.write(entry_ms, cpu=9_000)
    cell.report()
    assert cell.state is NOT_DESCRIBED
    assert not cell.read(DESCRIPTION_WAIT_MS - 200)
    assert cell.state is NOT_DESCRIBED
    assert cell.read(DESCRIPTION_WAIT_MS)
    assert cell.state is USABLE
    assert cell.worker.info.cpu == 9_000
    assert cell.worker.info.process_start_ms == START_MS
    cell.decide()
    assert cell.logs.count('entry_trusted') == 1
    # The next incarnation is not described by it either.
    cell.restart(START_MS + 1)
    assert cell.state is NOT_DESCRIBED


def test_time_without_the_store_does_not_describe(cell):
    # Guards against a start on another kind after an outage of the store that
    # is longer than the wait for entries.
    cell.restart()
    assert not cell.read(60_000, since_ms=60_000 - DESCRIPTION_WAIT_MS + 1)
    assert cell.state is NOT_DESCRIBED
    cell.scheduler.set_workers({})
    assert not cell.read(60_000)
    assert cell.state is _eligibility.WorkerState.NOT_LISTED


def test_trusted_entry_of_a_worker_can_announce_that_it_leaves(cell):
    # Guards against a leaving worker that still gets tasks.
    cell.restart()
    cell.write(0)
    assert cell.read(DESCRIPTION_WAIT_MS)
    cell.write(0, is_leaving=True)
    assert cell.state is _eligibility.WorkerState.LEAVING


def test_own_entry_ends_the_trust_in_others(cell):
    # Guards against the labels of another writer on a worker that has written
    # its own entry.
    cell.restart()
    assert cell.read(DESCRIPTION_WAIT_MS)
    cell.write(START_MS)
    cell.write(FORMER_MS, labels=['a'])
    assert cell.state is USABLE
    assert cell.worker.info.labels == {LABEL}


@pytest.mark.parametrize('entry_ms', [0, FORMER_MS])
def test_worker_that_tells_no_start_time_is_used_at_once(make, entry_ms):
    # Guards against workers of an earlier version, whose incarnations only
    # entries tell apart.
    cell = Cell(make.Harness(workers=0))
    cell.harness.infos['w0'] = scheduling.WorkerInfo(
        id='w0',
        pool='p',
        address='w0:1',
        failure_domain='d',
        cpu=1,
        memory_mb=1,
    )
    cell.write(entry_ms)
    cell.report()
    assert cell.state is USABLE
    for number in range(1, 4):
        labels = [f'kind{number}']
        cell.write(entry_ms and entry_ms + number, labels=labels)
        cell.report()
        assert cell.state is USABLE
        assert cell.worker.info.labels == set(labels)
    # Its clock was set back, or the entry lacks the time.
    for start_ms in (1, 0):
        cell.write(start_ms, labels=['last'])
        cell.report()
        assert cell.state is USABLE
        assert cell.worker.info.labels == {'last'}


def test_worker_that_moves_to_the_address_in_an_older_entry(cell):
    # Guards against the description of an older incarnation on a worker that
    # answers at the address of that entry.
    cell.write(FORMER_MS - 1, labels=['a'], address='new:1')
    cell.scheduler.on_poll_failed('w0', cell.harness.now)
    cell.report()
    assert cell.worker.info.address == 'new:1'
    assert cell.worker.info.labels == {LABEL}
    assert cell.state is USABLE


def test_report_without_a_start_time_keeps_the_known_one(cell):
    # Guards against a worker that is described by a former entry after one
    # report without a start time, and against one that is closed by it.
    cell.report(start_ms=0)
    assert cell.state is USABLE
    cell.restart()
    cell.report(start_ms=0)
    assert cell.state is NOT_DESCRIBED
    cell.write(START_MS)
    cell.report(start_ms=0)
    assert cell.state is USABLE


def test_wrong_start_time_in_a_report_keeps_the_description(cell, make):
    # Guards against a worker that is closed by one wrong number while it
    # still lists the runs from before.
    cell.harness.add('a', dataclasses.replace(STEP, count=1))
    (start,) = cell.decide()
    cell.harness.answer(start)
    row = make.report(start)
    cell.report([row])
    for start_ms in (START_MS, FORMER_MS, FORMER_MS - 1, FORMER_MS):
        cell.report([row], start_ms=start_ms)
        assert cell.state is USABLE


def test_two_workers_that_claim_one_id_in_turn(cell, make):
    # Guards against starts on one of them by the description of the other,
    # and against runs that are lost meanwhile.
    cell.harness.add('a', dataclasses.replace(STEP, count=1))
    (start,) = cell.decide()
    cell.harness.answer(start)
    row = make.report(start)
    for _ in range(5):
        cell.write(START_MS, labels=['a'], address='other:1')
        cell.report([row])
        assert cell.worker.info.labels == {LABEL}
        assert cell.state is USABLE
        cell.write(FORMER_MS, address='w0:1')
        cell.report([row])
        assert cell.state is USABLE
    assert (start.key, start.run) in cell.worker.runs
    # The other one answers in its place.
    cell.write(START_MS, labels=['a'], address='other:1')
    cell.scheduler.on_poll_failed('w0', cell.harness.now)
    cell.restart()
    assert cell.worker.info.labels == {'a'}
    cell.restart(FORMER_MS)
    assert cell.state is NOT_DESCRIBED


def test_reports_of_two_incarnations_in_turn(cell):
    # Guards against a description that is kept for the wrong one of them.
    for _ in range(3):
        cell.restart(START_MS)
        assert cell.state is NOT_DESCRIBED
        cell.restart(FORMER_MS)
        assert cell.state is USABLE
        assert cell.worker.info.labels == {LABEL}


def test_entry_of_this_incarnation_with_a_wrong_address(cell):
    # Guards against a worker that is closed although its description is known.
    cell.restart()
    cell.write(START_MS, labels=['a'], address='other:1')
    cell.report()
    assert cell.state is USABLE
    assert cell.worker.info.labels == {'a'}
    assert cell.worker.info.address == 'w0:1'
