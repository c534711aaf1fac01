"""Tests of tasks whose workers fall silent."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

SERVICE = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
LOSSES = 7


class SilentWorkers:
    """A cell in which the worker of each new run of a job falls silent."""

    def __init__(self, make, step=SERVICE, progress=None):
        self.harness = make.Harness(workers=LOSSES + 2)
        self.harness.scheduler.add_job(
            scheduling.JobSpec(id='a', route='r', payload='x', steps=(step,)),
            self.harness.now,
            progress=progress,
        )
        self.lost = {}

    @property
    def job(self):
        """Return the job."""
        return self.harness.scheduler.jobs['a']

    @property
    def task(self):
        """Return the task of the job."""
        return self.job.find(scheduling.TaskKey('a', 0, 0, 0))

    def run_rounds(self, milliseconds):
        """Let the workers that are not silent report; return the starts."""
        found = []
        for _ in range(0, milliseconds, 100):
            self.harness.now += 100
            for name in self.harness.infos:
                self.harness.poll(name)
            found += self.harness.decide(wall=self.harness.now)[0]
        return found

    def lose_a_worker(self):
        """Start the task on a worker that falls silent right after it.

        Its polls fail, its entry goes, and its lease passes.
        """
        ((start,), _) = self.harness.decide(wall=self.harness.now)
        self.harness.scheduler.on_start_sent(
            start.worker, start.key, start.run
        )
        self.harness.answer(start)
        self.harness.now += 50
        self.harness.scheduler.on_poll_failed(start.worker, self.harness.now)
        self.lost[start.worker] = self.harness.infos.pop(start.worker)
        self.harness.scheduler.set_workers(self.harness.infos)
        while start.worker in self.harness.scheduler.workers:
            assert self.task.worker == start.worker
            self.harness.now += 100
            for name in self.harness.infos:
                self.harness.poll(name)
            self.harness.scheduler.decide(
                self.harness.now,
                self.harness.now,
                scheduling.FormerRuns(has_unknown_workers=True),
            )
        # The round that releases the run starts the task again.
        self.undo_start()
        return start

    def undo_start(self):
        """Let a start of the task that was just decided be refused."""
        for effect in self.harness.scheduler.take_effects():
            if isinstance(effect, scheduling.StartTask):
                self.harness.answer(effect, scheduling.StartOutcome.NO_ROOM)
        self.harness.now += 500
        for name in self.harness.infos:
            self.harness.poll(name)

    def register(self, info):
        """Register a worker, which reports."""
        self.harness.infos[info.id] = info
        self.harness.scheduler.set_workers(self.harness.infos)
        self.harness.scheduler.mark_workers_recorded(self.harness.infos)


@pytest.mark.parametrize(
    'step', [SERVICE, dataclasses.replace(SERVICE, is_service=False)]
)
def test_job_does_not_fail_as_its_workers_fall_silent(make, step):
    # Guards against a job that is shown as failed although no run has failed:
    # its workers were cut off one after the other, and their leases lapsed.
    cell = SilentWorkers(make, step)
    for _ in range(LOSSES):
        cell.lose_a_worker()
        assert cell.job.outcome is None
    assert [start.key for start in cell.run_rounds(1_000)] == [cell.task.key]


def test_silent_worker_makes_no_suspect(make):
    # Guards against a task that waits to be tried alone, as it was cut off.
    cell = SilentWorkers(make)
    cell.lose_a_worker()
    assert not cell.task.is_suspect
    assert cell.task.crashes == []


def next_life(info):
    """Return the next incarnation of a worker under its id."""
    return dataclasses.replace(info, process_start_ms=2)


def next_worker(info):
    """Return a worker of another id at the same address."""
    return dataclasses.replace(info, id=f'new-{info.id}', process_start_ms=2)


@pytest.mark.parametrize('follow', [next_life, next_worker])
def test_loss_counts_once_the_worker_is_known_to_have_ended(make, follow):
    # Guards against a task that crashes workers, is started again each time
    # the lease of one is over, and is never given up.
    cell = SilentWorkers(make)
    for _ in range(2):
        start = cell.lose_a_worker()
        assert cell.job.outcome is None
        cell.register(follow(cell.lost[start.worker]))
        cell.harness.scheduler.decide(
            cell.harness.now, 0, scheduling.FormerRuns()
        )
        if cell.job.outcome is None:
            assert cell.task.is_suspect
            cell.undo_start()
    assert cell.job.outcome is scheduling.Outcome.FAILED


def test_worker_that_returns_from_silence_has_not_crashed(make):
    # Guards against a restart long after a silence that counts against the
    # tasks that the worker had survived.
    cell = SilentWorkers(make)
    start = cell.lose_a_worker()
    cell.register(cell.lost[start.worker])
    cell.harness.poll(start.worker)
    assert cell.task.watch is None
    cell.register(next_life(cell.lost[start.worker]))
    assert cell.task.crashes == []


@pytest.mark.parametrize('is_replaced', [True, False])
def test_successor_counts_a_loss_by_the_next_worker_at_its_address(
    make, is_replaced
):
    # Guards against losses that become crashes with a change of the owner, and
    # against crashes that no successor counts.
    cell = SilentWorkers(make)
    start = cell.lose_a_worker()
    progress = scheduling.progress_of(cell.job)
    lost = cell.lost[start.worker]
    successor = make.Harness(workers=0)
    scheduler = successor.scheduler
    scheduler.add_job(cell.job.spec, 1, progress=progress, needs_probe=True)
    infos = {'other': dataclasses.replace(lost, id='other', address='x:1')}
    if is_replaced:
        infos[f'new-{lost.id}'] = next_worker(lost)
    scheduler.set_workers(infos)
    task = scheduler.jobs['a'].find(start.key)
    assert [crash.address for crash in task.crashes] == (
        [lost.address] if is_replaced else []
    )


def late_life(info, unix_ms):
    """Return the next incarnation of a worker, with a real start time."""
    return dataclasses.replace(info, process_start_ms=unix_ms)


def late_worker(info, unix_ms):
    """Return a worker of another id at the same address."""
    return dataclasses.replace(next_worker(info), process_start_ms=unix_ms)


@pytest.mark.parametrize('follow', [late_life, late_worker])
@pytest.mark.parametrize('is_same_owner', [True, False])
@pytest.mark.parametrize(('restart_ms', 'is_crash'), [(9_000, 1), (30_000, 0)])
def test_loss_counts_if_the_next_worker_has_started_soon_after(
    make, follow, is_same_owner, restart_ms, is_crash
):
    # Guards against a job that fails (LOST) for workers that were cut off and
    # have ended for another reason long after, and against a task that is
    # never given up, as restarts are noticed late.
    cell = SilentWorkers(make)
    began_ms = cell.harness.now
    start = cell.lose_a_worker()
    info = cell.lost[start.worker]
    cell.harness.now = began_ms + 60_000
    if is_same_owner:
        cell.register(follow(info, began_ms + restart_ms))
        assert len(cell.task.crashes) == is_crash
        return
    record = scheduling.progress_of(cell.job)
    scheduler = make.Harness(workers=0).scheduler
    scheduler.add_job(cell.job.spec, 1, progress=record, needs_probe=True)
    next_info = follow(info, began_ms + restart_ms)
    scheduler.set_workers({next_info.id: next_info})
    task = scheduler.jobs['a'].find(start.key)
    assert len(task.crashes) == is_crash


@pytest.mark.parametrize(('restart_ms', 'is_crash'), [(9_000, 1), (30_000, 0)])
def test_replaced_worker_counts_by_the_start_of_the_next_one(
    make, restart_ms, is_crash
):
    # Guards against the same faults if a poll shows another worker at the
    # address before that one is registered.
    cell = SilentWorkers(make)
    ((start,), _) = cell.harness.decide(wall=cell.harness.now)
    cell.harness.answer(start)
    began_ms = cell.harness.now
    cell.harness.scheduler.on_poll_failed(start.worker, began_ms + 50)
    info = cell.harness.infos.pop(start.worker)
    cell.harness.now += 40_000
    cell.harness.decide(wall=cell.harness.now)
    cell.harness.scheduler.remove_worker(start.worker, 'replaced')
    assert cell.task.crashes == []
    cell.register(late_worker(info, began_ms + restart_ms))
    assert len(cell.task.crashes) == is_crash
