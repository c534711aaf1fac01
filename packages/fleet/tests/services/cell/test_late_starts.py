"""Starts that may be carried out late, in the records of jobs."""

import json

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.services.cell import _late_starts
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import ownership
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
ROW = [0, 0, 0, 'w0', 1_000_003, 25_000]


def give_up_start(site, daemons):
    """Let a start get no answer; return the stored record of its job."""
    owner = owner_of(daemons)
    owner.orders.faults.unanswered_starts = 1
    owner.orders.faults.effect_delay_ms = 60_000
    site.submit(owner, JOB, ONE_TASK, duration_ms=60_000)
    site.run(1_400)
    assert not owner.orders.faults.unanswered_starts
    return json.loads(
        site.store.rows[
            layout.OWNER_TABLE, layout.CELL_PART, layout.PROGRESS_PREFIX + JOB
        ].value
    )


def test_times_are_those_of_the_clock_of_the_store():
    # Guards against a time that means something else to a successor.
    former = ownership.StoreClock(
        sent_ms=1_000, received_ms=1_010, store_ms=700_000
    )
    progress = {'late': [list(ROW)]}
    _late_starts.to_stored(progress, former)
    assert progress['late'][0][-1] == 700_000 + 24_000 * 102 // 100
    successor = ownership.StoreClock(
        sent_ms=90, received_ms=100, store_ms=710_000
    )
    restored = _late_starts.from_stored(progress, successor)
    assert restored['late'][0][:-1] == ROW[:-1]
    # 10 s of the 24 s have passed; each clock may be 2% slow.
    remaining_ms = restored['late'][0][-1] - successor.received_ms
    assert 14_000 <= remaining_ms <= 14_000 + 24_000 * 4 // 100


@pytest.mark.parametrize('is_known_at_first', [True, False])
def test_time_that_cannot_be_converted_is_unknown(is_known_at_first):
    # Guards against a time of one clock that is taken for one of another.
    clock = ownership.StoreClock(sent_ms=1_000, received_ms=1_010, store_ms=7)
    progress = {'late': [list(ROW)]}
    _late_starts.to_stored(progress, clock if is_known_at_first else None)
    restored = _late_starts.from_stored(
        progress, None if is_known_at_first else clock
    )
    assert restored['late'] == [[*ROW[:-1], _late_starts.UNKNOWN_MS]]


@pytest.mark.parametrize('progress', [None, {}, {'outcome': None}])
def test_records_without_such_starts_stay(progress):
    # Guards against records of earlier versions that cannot be read.
    assert _late_starts.from_stored(progress, None) is progress


def test_start_that_was_given_up_is_in_the_stored_record(site, daemons):
    # Guards against a row that an owner writes and a successor cannot read.
    record = give_up_start(site, daemons)
    ((*_, worker, _, end_ms),) = record['late']
    assert worker in site.workers
    assert end_ms > 0
    row = models._PROGRESS_ROW.decode(json.dumps(record).encode())
    assert [list(x) for x in row.late] == record['late']


def test_large_record_is_stored_without_such_starts(site, daemons):
    # Guards against a record that the store refuses each time, so that the
    # ends of the job could never be acknowledged.
    term = owner_of(daemons).kernel.find('cell')._owner_term
    term._saver._row_bytes = 110
    record = give_up_start(site, daemons)
    assert 'late' not in record
