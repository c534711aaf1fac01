"""Tests of starts on workers whose capacity changes while they run."""

import dataclasses

import pytest

from oriolestand_policy import scheduling


def change(harness, name, **fields):
    """Apply a registry entry in which a worker reports other capacity."""
    info = dataclasses.replace(harness.infos[name], **fields)
    harness.infos[name] = info
    harness.scheduler.set_workers(harness.infos)


def start_all(harness):
    """Run rounds until nothing starts; answer and return the starts."""
    found = []
    while True:
        starts, _ = harness.decide()
        if not starts:
            return found
        for start in starts:
            harness.answer(start)
        found += starts


@pytest.mark.parametrize('is_service', [False, True])
@pytest.mark.parametrize(
    ('demand', 'capacity'),
    [
        ({'cpu': 1_000}, 'cpu'),
        ({'memory_mb': 1_000}, 'memory_mb'),
        ({'accelerators': 1_000}, 'accelerators'),
    ],
)
def test_starts_follow_the_capacity_of_a_worker(
    make, demand, capacity, is_service
):
    # Guards against starts that bring a worker over its capacity, and against
    # room that is never used, as the first report is taken to be for good.
    harness = make.Harness(workers=1)
    change(harness, 'w0', accelerators=10_000)
    harness.add(
        'j', scheduling.StepSpec(count=30, is_service=is_service, **demand)
    )
    change(harness, 'w0', **{capacity: 6_000})
    starts = start_all(harness)
    assert len(starts) == 6
    change(harness, 'w0', **{capacity: 4_000})
    assert start_all(harness) == []
    # What is being stopped still counts.
    for number, start in enumerate(starts[:3], 1):
        harness.poll(
            'w0',
            [make.report(s) for s in starts[number:]],
            [make.end(start, 'stopped', number)],
        )
        # The task itself takes the room that it left, if there is any.
        assert len(start_all(harness)) == (number == 3)
    change(harness, 'w0', **{capacity: 12_000})
    assert len(start_all(harness)) == 8


def test_reservation_follows_the_capacity_of_a_worker(make):
    # Guards against a start on a worker that has shrunk below the demand
    # while room was made on it.
    harness = make.Harness(workers=1)
    harness.add('o', scheduling.StepSpec(count=10, cpu=1_000))
    others = start_all(harness)
    harness.add('l', scheduling.StepSpec(count=1, cpu=8_000))
    for _ in range(60):
        harness.now += 250
        harness.poll('w0', [make.report(s) for s in others])
        assert start_all(harness) == []
    change(harness, 'w0', cpu=7_000)
    harness.poll(
        'w0', [], [make.end(s, 'done', n) for n, s in enumerate(others, 1)]
    )
    assert start_all(harness) == []
    change(harness, 'w0', cpu=8_000)
    assert len(start_all(harness)) == 1


def test_suspect_does_not_start_on_a_worker_that_has_shrunk(make):
    # Guards against a trial beyond the capacity, as the worker was selected
    # before it shrank.
    harness = make.Harness(workers=1)
    harness.add('o', scheduling.StepSpec(count=4, cpu=1_000))
    others = start_all(harness)
    harness.scheduler.add_job(
        scheduling.JobSpec(
            id='s',
            route='r',
            payload='x',
            steps=(scheduling.StepSpec(count=1, cpu=6_000),),
        ),
        harness.now,
        progress={'crashes': [[0, 0, 0, [['z', 'shared']], None]]},
    )
    assert start_all(harness) == []
    change(harness, 'w0', cpu=9_000)
    harness.now += 500
    harness.poll('w0', [make.report(s) for s in others])
    assert start_all(harness) == []
    change(harness, 'w0', cpu=10_000)
    assert [s.key.job for s in start_all(harness)] == ['s']


def test_start_that_waits_for_its_record_follows_the_capacity(make):
    # Guards against an order that is sent seconds after the decision, to a
    # worker that has shrunk meanwhile.
    harness = make.Harness(workers=1)
    harness.add('j', scheduling.StepSpec(count=1, cpu=8_000, is_service=True))
    (start,), _ = harness.decide()
    change(harness, 'w0', cpu=6_000)
    for _ in range(30):
        harness.now += 250
        harness.poll('w0')
        harness.decide()
    assert not harness.scheduler.is_start_pending(
        start.worker, start.key, start.run
    )


def test_worker_without_processors_does_not_end_a_round(harness):
    # Guards against a division by the processors of a worker, which ends the
    # term of each owner. Capacities may shrink to nothing, and a filling task
    # may need none.
    for name, info in harness.infos.items():
        harness.infos[name] = dataclasses.replace(info, cpu=0)
    harness.scheduler.set_workers(harness.infos)
    step = scheduling.StepSpec(count=1, is_filling=True, image='a')
    harness.add('a', step)
    harness.add('b', dataclasses.replace(step, is_gang=True))
    starts, _ = harness.decide()
    assert [start.key.job for start in starts] == ['a', 'b']
