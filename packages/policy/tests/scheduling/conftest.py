"""Fixtures with a scheduler and probed workers."""

import pytest

from oriolestand_policy import scheduling

LEASE_MS = 6_000


class Harness:
    """Drive a scheduler with a manual clock, ``now``."""

    def __init__(self, workers: int = 2) -> None:
        self.now = 10_000
        self.scheduler = scheduling.Scheduler(1, LEASE_MS)
        self.scheduler.set_routes(
            [scheduling.RoutePolicy(name='r', pool='p', max_attempts=2)]
        )
        self.infos = {
            f'w{n}': scheduling.WorkerInfo(
                id=f'w{n}',
                pool='p',
                address=f'w{n}:1',
                failure_domain='d',
                cpu=10_000,
                memory_mb=10_000,
                process_start_ms=1,
            )
            for n in range(workers)
        }
        self.scheduler.set_workers(self.infos)
        self.scheduler.mark_workers_recorded(self.infos)
        for name in self.infos:
            self.poll(name)
        self.scheduler.take_effects()

    def poll(self, worker, running=(), ended=(), sent=None):
        """Apply a report of a worker; return the jobs to save."""
        return self.scheduler.on_worker_report(
            worker,
            scheduling.WorkerReport(
                clock_ms=self.now,
                process_start_ms=1,
                running=tuple(running),
                ended=tuple(ended),
            ),
            self.now if sent is None else sent,
            self.now,
        )

    def add(self, job, *steps, **spec):
        """Add a job with some steps."""
        self.scheduler.add_job(
            scheduling.JobSpec(
                id=job, route='r', payload='x', steps=tuple(steps), **spec
            ),
            self.now,
        )

    def decide(self, wall=0, is_probed=True):
        """Run a scheduling round; return the starts and the stops."""
        for name in list(self.infos):
            worker = self.scheduler.workers.get(name)
            if (
                worker is not None
                and self.now - worker.last_report_ms <= 1_000
            ):
                self.scheduler.new_lease_end(name, self.now)
        former_runs = scheduling.FormerRuns(has_unknown_workers=not is_probed)
        self.scheduler.decide(self.now, wall, former_runs)
        return self.effects()

    def effects(self):
        """Take the effects; return the starts and the stops."""
        found = self.scheduler.take_effects()
        starts = [e for e in found if isinstance(e, scheduling.StartTask)]
        stops = [e for e in found if isinstance(e, scheduling.StopTask)]
        return starts, stops

    def answer(self, start, outcome=scheduling.StartOutcome.STARTED):
        """Apply the outcome of a start order."""
        self.scheduler.on_start_reply(
            start.worker, start.key, start.run, outcome, '', self.now
        )


def report(start, percent=100, measured=0):
    """Return the entry of a run in a worker report."""
    return scheduling.RunReport(
        key=start.key,
        number=start.run,
        checkpoint='',
        percent=percent,
        measured=measured,
    )


def end(start, how, sequence=1, checkpoint=''):
    """Return the report of the end of a run."""
    return scheduling.EndReport(
        sequence=sequence,
        key=start.key,
        number=start.run,
        kind=scheduling.EndKind(how),
        checkpoint=checkpoint,
    )


@pytest.fixture
def harness():
    """Return a harness with two workers."""
    return Harness()


@pytest.fixture
def make():
    """Return the helpers that build reports."""

    class Make:
        """Namespace of the helpers."""

        Harness = Harness
        report = staticmethod(report)
        end = staticmethod(end)

    return Make
