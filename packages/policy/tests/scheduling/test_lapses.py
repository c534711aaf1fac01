"""Tests of workers whose leases lapse for runs that cannot be read."""

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _lapses

STEP = scheduling.StepSpec(count=1, cpu=1_000)


class Takeover:
    """A new owner with a waiting task of a former one."""

    def __init__(self, harness):
        self.harness = harness
        self.scheduler = harness.scheduler
        self.scheduler.add_job(
            scheduling.JobSpec(id='j', route='r', payload='x', steps=(STEP,)),
            harness.now,
            needs_probe=True,
        )

    def poll(self, unreadable=1):
        """Apply a report of each worker, 100 ms later."""
        self.harness.now += 100
        for name in self.harness.infos:
            self.scheduler.new_lease_end(name, self.harness.now - 5)
            self.scheduler.on_worker_report(
                name,
                scheduling.WorkerReport(
                    clock_ms=self.harness.now,
                    process_start_ms=1,
                    running=(),
                    ended=(),
                    unreadable_runs=unreadable,
                ),
                self.harness.now - 5,
                self.harness.now,
            )

    def decide(self):
        """Run a round; return the starts."""
        missing = frozenset(
            name
            for name, worker in self.scheduler.workers.items()
            if worker.hidden_runs
        )
        former = scheduling.FormerRuns(worker_ids=missing)
        self.scheduler.decide(self.harness.now, 0, former)
        return self.harness.effects()[0]

    def lapsing(self):
        """Return the workers whose leases lapse."""
        return [
            name
            for name, worker in self.scheduler.workers.items()
            if worker.is_lapsing
        ]


@pytest.fixture
def takeover(make):
    """Return a takeover of a cell of ten workers."""
    return Takeover(make.Harness(workers=10))


def test_few_leases_lapse_at_the_same_time(takeover):
    # Guards against a change of owner that ends all runs of the cell, as all
    # workers list something that cannot be read.
    seen = set()
    for _ in range(400):
        takeover.poll()
        starts = takeover.decide()
        seen.update(takeover.lapsing())
        assert len(takeover.lapsing()) <= _lapses.MAX_LAPSING_WORKERS
        if starts:
            break
    assert len(seen) == len(takeover.harness.infos)
    assert [start.key.job for start in starts] == ['j']


def test_lease_is_over_before_the_unreadable_run_counts_as_foreign(takeover):
    # Guards against a run of a former owner that still has its lease.
    takeover.poll()
    takeover.decide()
    (worker, *_) = [
        takeover.scheduler.workers[name] for name in takeover.lapsing()
    ]
    clock_ms = 0
    for _ in range(100):
        clock_ms = worker.clock_ms
        takeover.poll()
        takeover.decide()
        if not worker.hidden_runs:
            break
    assert clock_ms > worker.lease_end_ms
    assert worker.are_runs_known
    assert worker.info.id not in takeover.lapsing()
    assert takeover.scheduler.new_lease_end(
        worker.info.id, takeover.harness.now
    )


def test_another_unreadable_run_is_not_foreign(takeover):
    # Guards against a run that is taken for one that was listed before.
    for _ in range(100):
        takeover.poll()
        takeover.decide()
    worker = takeover.scheduler.workers['w0']
    assert (worker.foreign_runs, worker.hidden_runs) == (1, 0)
    takeover.poll(unreadable=2)
    assert (worker.foreign_runs, worker.hidden_runs) == (1, 1)
    takeover.poll(unreadable=0)
    takeover.poll()
    assert (worker.foreign_runs, worker.hidden_runs) == (0, 1)
