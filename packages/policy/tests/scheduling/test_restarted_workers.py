"""Tests of runs on workers that start again under their id."""

import dataclasses

import pytest

from oriolestand_policy import fencing
from oriolestand_policy import scheduling

STEP = scheduling.StepSpec(count=1, cpu=1_000, memory_mb=100)
SERVICE = dataclasses.replace(STEP, is_service=True)
LEASE_AND_MARGINS_MS = 10_000
LEASE_MS = 6_000


class Restarts:
    """A cell of two workers, of which one starts again."""

    def __init__(self, harness, make):
        self.harness = harness
        self.make = make
        self.incarnation = dict.fromkeys(harness.infos, 1)

    def start(self, *steps, outcome=scheduling.StartOutcome.STARTED):
        """Start the only task of a job; return the start order.

        Without an outcome the order is sent and not answered yet.
        """
        self.harness.add('a', *(steps or (STEP,)))
        ((start,), _) = self.harness.decide()
        self.harness.scheduler.on_start_sent(
            start.worker, start.key, start.run
        )
        if outcome is not None:
            self.harness.answer(start, outcome)
        self.harness.scheduler.take_effects()
        return start

    def register(self, name):
        """Register the next incarnation of a worker."""
        self.incarnation[name] += 1
        self.harness.infos[name] = dataclasses.replace(
            self.harness.infos[name],
            process_start_ms=self.incarnation[name],
        )
        self.harness.scheduler.set_workers(self.harness.infos)

    def report_restart(self, name):
        """Apply the first report of the next incarnation, without runs.

        It was made before any start order arrived.
        """
        self.incarnation[name] += 1
        self.report(name, sent=self.harness.now - 10)

    def report(self, name, running=(), ended=(), sent=None):
        """Apply a report of the present incarnation of a worker."""
        self.harness.scheduler.on_worker_report(
            name,
            scheduling.WorkerReport(
                clock_ms=self.harness.now,
                process_start_ms=self.incarnation[name],
                running=tuple(running),
                ended=tuple(ended),
            ),
            self.harness.now if sent is None else sent,
            self.harness.now,
        )

    def use_up_tokens(self):
        """Restart the workers until no token is left for a further one."""
        for _ in range(fencing.TOKENS_PER_EPOCH):
            for name in self.harness.infos:
                self.register(name)
                self.report(name)
        self.harness.scheduler.take_effects()

    def pass_time(self, milliseconds, silent=()):
        """Run rounds; workers report without runs unless they are silent."""
        starts = []
        for _ in range(0, milliseconds, 100):
            self.harness.now += 100
            for name in self.harness.infos:
                if name not in silent:
                    self.report(name)
            starts += self.harness.decide()[0]
        return starts


@pytest.fixture
def restarts(harness, make):
    """Return a cell with two workers."""
    return Restarts(harness, make)


@pytest.mark.parametrize('step', [STEP, SERVICE])
@pytest.mark.parametrize(
    'outcome',
    [
        None,
        scheduling.StartOutcome.STARTED,
        scheduling.StartOutcome.IN_DOUBT,
    ],
)
@pytest.mark.parametrize('learn', [Restarts.register, Restarts.report_restart])
def test_start_that_the_next_incarnation_accepted_is_not_repeated(
    restarts, learn, outcome, step
):
    # Guards against a task that runs twice: start orders name only the id of
    # a worker, so its next incarnation may have accepted one before the owner
    # learns of the restart.
    start = restarts.start(step, outcome=outcome)
    learn(restarts, start.worker)
    assert restarts.harness.decide()[0] == []
    assert (start.key, start.run) in (
        restarts.harness.scheduler.workers[start.worker].runs
    )
    restarts.harness.now += 100
    restarts.report(start.worker, running=[restarts.make.report(start)])
    assert restarts.harness.decide()[0] == []
    task = restarts.harness.scheduler.jobs['a'].find(start.key)
    assert (task.worker, task.run) == (start.worker, start.run)


def test_listed_run_of_the_former_incarnation_is_released_at_once(restarts):
    # Guards against a task that waits for reports although it has certainly
    # ended with the incarnation that listed it.
    start = restarts.start()
    restarts.harness.now += 100
    restarts.report(start.worker, running=[restarts.make.report(start)])
    restarts.register(start.worker)
    # The entry alone may be that of another writer.
    assert restarts.harness.decide()[0] == []
    restarts.report(start.worker)
    ((again,), _) = restarts.harness.decide()
    assert again.key == start.key


@pytest.mark.parametrize('learn', [Restarts.register, Restarts.report_restart])
def test_run_that_the_next_incarnation_lacks_is_released(restarts, learn):
    # Guards against a task that is lost with the former incarnation and never
    # starts again.
    start = restarts.start()
    learn(restarts, start.worker)
    starts = restarts.pass_time(300)
    assert [s.key for s in starts] == [start.key]


def test_start_in_doubt_waits_for_a_fenced_report_of_the_next_incarnation(
    restarts,
):
    # Guards against a start in doubt that the next incarnation carries out
    # between the report that shows the restart and the next poll.
    start = restarts.start(outcome=scheduling.StartOutcome.IN_DOUBT)
    restarts.harness.scheduler.on_stop_reply(
        start.worker, start.key, start.run, True, restarts.harness.now
    )
    restarts.harness.now += 100
    restarts.report_restart(start.worker)
    ((), (stop,)) = restarts.harness.decide()
    assert (stop.worker, stop.run) == (start.worker, start.run)
    assert [s.key for s in restarts.pass_time(100)] == [start.key]


def test_stop_answered_by_the_former_incarnation_is_sent_again(restarts):
    # Guards against a start in doubt that the next incarnation carries out,
    # as it knows nothing of the stop that the former one has answered. No
    # token is left that would let it refuse the start.
    restarts.use_up_tokens()
    start = restarts.start(outcome=scheduling.StartOutcome.IN_DOUBT)
    restarts.harness.scheduler.on_stop_reply(
        start.worker, start.key, start.run, True, restarts.harness.now
    )
    restarts.register(start.worker)
    ((), (stop,)) = restarts.harness.decide()
    assert (stop.worker, stop.run) == (start.worker, start.run)
    assert restarts.pass_time(1_000) == []
    restarts.harness.scheduler.on_stop_reply(
        start.worker, start.key, start.run, True, restarts.harness.now
    )
    assert [s.key for s in restarts.pass_time(300)] == [start.key]


def test_unsent_start_is_withdrawn_before_its_task_is_released(restarts):
    # Guards against an order that is sent after its task was released, and
    # against one for a worker that may have another size or label now.
    start = restarts.start(outcome=None)
    restarts.register(start.worker)
    withdrawals = [
        effect
        for effect in restarts.harness.scheduler.take_effects()
        if isinstance(effect, scheduling.WithdrawStart)
    ]
    assert [(w.worker, w.run) for w in withdrawals] == [
        (start.worker, start.run)
    ]
    assert restarts.harness.decide()[0] == []
    restarts.harness.answer(start, scheduling.StartOutcome.WITHDRAWN)
    ((again,), _) = restarts.harness.decide()
    assert again.key == start.key


@pytest.mark.parametrize('is_listed', [True, False])
def test_run_is_released_if_the_next_incarnation_never_reports(
    restarts, is_listed
):
    # Guards against a task that waits for the reports of an incarnation that
    # is lost as well. Its lease bounds the wait.
    start = restarts.start()
    restarts.register(start.worker)
    if not is_listed:
        del restarts.harness.infos[start.worker]
        restarts.harness.scheduler.set_workers(restarts.harness.infos)
    assert restarts.pass_time(6_000, silent=[start.worker]) == []
    starts = restarts.pass_time(
        LEASE_AND_MARGINS_MS - 6_000, silent=[start.worker]
    )
    assert [s.key for s in starts] == [start.key]


@pytest.mark.parametrize('is_present', [True, False])
def test_restart_counts_as_a_crash_of_tasks_that_are_lost_with_it(
    restarts, is_present
):
    # Guards against a job that fails for crashes of workers that its task has
    # survived, and against crashes that are not counted.
    start = restarts.start()
    restarts.harness.now += 10
    restarts.harness.scheduler.on_poll_failed(
        start.worker, restarts.harness.now
    )
    restarts.register(start.worker)
    task = restarts.harness.scheduler.jobs['a'].find(start.key)
    assert task.crashes == []
    running = [restarts.make.report(start)] if is_present else []
    for _ in range(2):
        restarts.harness.now += 300
        restarts.report(start.worker, running=running)
    assert len(task.crashes) == (0 if is_present else 1)


def test_lease_counts_from_the_first_report_to_a_fenced_poll(restarts):
    # Guards against a task that runs twice: an order for the former
    # incarnation may begin the longest lease until a poll with a higher token
    # has arrived, which is after the report that showed the restart.
    start = restarts.start()
    name = start.worker
    restarts.report_restart(name)
    restarts.harness.now += 1_000
    restarts.report(
        name,
        running=[restarts.make.report(start)],
        sent=restarts.harness.now - 10,
    )
    worker = restarts.harness.scheduler.workers[name]
    assert worker.lease_end_ms == restarts.harness.now + LEASE_MS


@pytest.mark.parametrize(
    'outcome',
    [scheduling.StartOutcome.STARTED, scheduling.StartOutcome.IN_DOUBT],
)
def test_run_is_released_by_the_first_report_to_a_fenced_poll(
    restarts, outcome
):
    # Guards against a task that is lost although the worker is cut off again
    # soon after: it refuses earlier orders from this report on, so that it
    # cannot begin the run later, whether or not it has answered a stop.
    start = restarts.start(outcome=outcome)
    restarts.harness.now += 100
    restarts.report_restart(start.worker)
    assert restarts.harness.decide()[0] == []
    restarts.harness.now += 10
    restarts.report(start.worker)
    ((again,), _) = restarts.harness.decide()
    assert again.key == start.key


def test_run_that_was_ordered_after_the_fence_needs_two_reports(restarts):
    # Guards against a run that is released although the worker has it: its
    # order has the higher token, so that nothing refuses it.
    start = restarts.start()
    restarts.harness.now += 100
    restarts.report_restart(start.worker)
    worker = restarts.harness.scheduler.workers[start.worker]
    run = worker.runs[(start.key, start.run)]
    run.since_ms = worker.fenced_after_ms
    run.missed_polls = 0
    restarts.harness.now += 10
    restarts.report(start.worker)
    assert (start.key, start.run) in worker.runs


def test_worker_that_was_removed_has_a_higher_token(restarts):
    # Guards against a late order for a worker that is back under its id.
    name = next(iter(restarts.harness.infos))
    restarts.harness.scheduler.remove_worker(name, 'lease over')
    restarts.register(name)
    assert restarts.harness.scheduler.generation_of(name) == 1


def test_entries_use_up_no_more_than_the_tokens_of_the_epoch(restarts):
    # Guards against tokens of the next owner.
    restarts.use_up_tokens()
    for name in restarts.harness.infos:
        generation = restarts.harness.scheduler.generation_of(name)
        assert generation > fencing.MAX_GENERATION
        assert fencing.token(1, generation) < fencing.next_epoch(1)
