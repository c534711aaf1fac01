"""Tests of the account of a worker's capacity."""

import dataclasses
import random
import types

import pytest

from oriolestand_policy import scheduling

KINDS = (
    {},
    {'is_gang': True},
    {'is_service': True, 'image': 'web', 'target_ms': 100},
    {'is_filling': True, 'image': 'loud'},
    {'is_filling': True, 'image': 'mild', 'has_checkpoints': True},
)
STEPS = 400


def reserved_on(scheduler, worker):
    """Yield the tasks that capacity of a worker is reserved for."""
    starter = scheduler._task_starter
    for reservation in starter._reservations:
        pairs = zip(reservation.tasks, reservation.workers, strict=True)
        yield from (task.spec for task, other in pairs if other is worker)
    for move in starter.evacuation._moves.values():
        if move.target is worker:
            yield move.task.spec


class Play:
    """Drive a scheduler by random events and check the accounts."""

    def __init__(self, make, seed, is_accounted=True):
        self.make = make
        self.is_accounted = is_accounted
        self.uses = set()
        self.decided = []
        self.rng = random.Random(seed)
        self.harness = make.Harness(workers=4)
        for name in ('w0', 'w1'):
            self.change(name, failure_domain='d1')
        self.sequences = dict.fromkeys(self.harness.infos, 0)
        self.jobs = 0
        self.seen = set()

    def check(self):
        """Compare the account of each worker with its runs."""
        scheduler = self.harness.scheduler
        for worker in scheduler.workers.values():
            errors = worker.account_errors(reserved_on(scheduler, worker))
            assert not errors, (worker.info.id, errors)
            capacity = worker.capacity
            for name in ('slowed_percent', 'reserved_cpu', 'kept', 'is_mixed'):
                if getattr(capacity, name):
                    self.seen.add(name)
        self.check_uses()

    def check_uses(self):
        """Check that the uses of each worker's processors add up."""
        if not self.is_accounted:
            return
        scheduler, now = self.harness.scheduler, self.harness.now
        accounts = scheduler._idle_accounts
        waiting = accounts._waiting()
        for worker, parts in accounts._uses_by_worker(waiting, now):
            assert sum(cpu for _, cpu in parts) == worker.info.cpu
            assert all(cpu >= 0 for _, cpu in parts)
            self.uses |= {use for use, cpu in parts if cpu}
        for account in scheduler.idle_account(now).values():
            assert sum(account.uses.values()) == account.size_cpu

    def step(self):
        """Apply a random event and run a round."""
        event = self.rng.choice(
            [self.add, self.add, self.poll, self.poll, self.poll]
            + [self.cancel, self.restart, self.resize, self.evacuate]
        )
        event()
        self.check()
        self.harness.now += self.rng.choice((100, 500, 1_500))
        starts, stops = self.harness.decide()
        self.decided += [*starts, *stops]
        self.check()
        for stop in stops:
            self.harness.scheduler.on_stop_reply(
                stop.worker,
                stop.key,
                stop.run,
                self.rng.random() < 0.8,
                self.harness.now,
            )
        for start in starts:
            outcome = self.rng.choice(list(scheduling.StartOutcome))
            if self.rng.random() < 0.8:
                outcome = scheduling.StartOutcome.STARTED
            self.harness.answer(start, outcome)
            self.check()

    def add(self):
        """Add a job; its tasks may be larger than any room."""
        self.jobs += 1
        kind = self.rng.choice(KINDS)
        spec = scheduling.StepSpec(
            count=self.rng.randint(1, 4),
            cpu=self.rng.randint(1, 9_000),
            memory_mb=self.rng.choice((0, 500, 4_000)),
            **kind,
        )
        self.harness.add(f'j{self.jobs}', spec)

    def cancel(self):
        """Cancel a random job."""
        job = f'j{self.rng.randint(1, max(1, self.jobs))}'
        self.harness.scheduler.cancel_job(job, self.harness.now)

    def poll(self):
        """Report the runs of all workers; some end, services may be slow."""
        for name, info in self.harness.infos.items():
            running, ended = [], []
            worker = self.harness.scheduler.workers[name]
            for run in worker.runs.values():
                # The helpers take a start order.
                start = types.SimpleNamespace(key=run.key, run=run.number)
                if self.rng.random() < 0.1:
                    self.sequences[name] += 1
                    how = self.rng.choice(('done', 'failed', 'stopped'))
                    end = self.make.end(start, how, self.sequences[name])
                    ended.append(end)
                elif self.rng.random() < 0.95:
                    measured = self.rng.choice((0, 40, 150))
                    running.append(self.make.report(start, 50, measured))
            self.harness.scheduler.on_worker_report(
                name,
                scheduling.WorkerReport(
                    clock_ms=self.harness.now,
                    process_start_ms=info.process_start_ms,
                    running=tuple(running),
                    ended=tuple(ended),
                ),
                self.harness.now,
                self.harness.now,
            )

    def restart(self):
        """Replace a worker by its next incarnation."""
        name = self.rng.choice(sorted(self.harness.infos))
        self.change(name, process_start_ms=self.harness.now)

    def resize(self):
        """Let a worker report another size."""
        name = self.rng.choice(sorted(self.harness.infos))
        self.change(name, cpu=self.rng.choice((6_000, 10_000, 14_000)))

    def change(self, name, **fields):
        """Apply a registry entry in which a worker has changed."""
        info = dataclasses.replace(self.harness.infos[name], **fields)
        self.harness.infos[name] = info
        self.harness.scheduler.set_workers(self.harness.infos)

    def evacuate(self):
        """Evacuate a failure domain, or take all back."""
        domains = self.rng.choice((frozenset(), frozenset({'d1'})))
        self.harness.scheduler.set_evacuated_domains(domains)


@pytest.mark.parametrize('seed', range(12))
def test_sums_follow_from_runs_and_reservations(make, seed):
    # Guards against a sum that a start, an end, a stop, a pace, a reservation
    # or a replaced worker changes on one side only. Placement would then
    # overload the worker or leave it empty for good.
    play = Play(make, seed)
    for _ in range(STEPS):
        play.step()
    assert play.seen >= {'slowed_percent', 'reserved_cpu', 'kept', 'is_mixed'}


def test_account_of_uses_changes_no_decision(make):
    # Guards against an account that leaves something behind in placement, and
    # against a play in which it has nothing to tell.
    plays = [Play(make, 3, is_accounted) for is_accounted in (False, True)]
    for play in plays:
        for _ in range(STEPS):
            play.step()
    plain, accounted = plays
    assert accounted.decided == plain.decided
    assert len(accounted.uses) >= 10, accounted.uses


def test_account_names_a_wrong_sum(harness):
    # Guards against a check that passes whatever the account says.
    worker = harness.scheduler.workers['w0']
    spec = scheduling.StepSpec(count=1, cpu=4_000, is_filling=True)
    worker.reserve(spec)
    assert worker.account_errors([spec]) == []
    assert worker.account_errors([]) != []
    worker.capacity.filling_cpu = 100
    (error,) = worker.account_errors([spec])
    assert error == 'filling_cpu is 100, not 0'
