"""Carry out the effects of the life cycles of tasks."""

import abc

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.batch import _desk_task
from oriolestand_daemon.services.batch import _placer
from oriolestand_daemon.services.batch import _runs
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import const
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import grants


class LivesTask(_desk_task.DeskTask):
    """Own the life cycles of the tasks that this daemon controls."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel)
        self._log = core.get_logger(const.DOMAIN)
        holder = grants.Holder(
            instance_id=cfg.instance_id, incarnation=kernel.incarnation
        )
        self._me = str(holder)
        self._timing = batch.Timing()
        self._placer = _placer.Placer(kernel, self._store, cfg.failure_domain)
        self._driver = _runs.RunDriver(
            kernel,
            self._timing,
            self._on_report,
            self._on_unsent,
            self._placer.pause,
        )
        self._lives: dict[str, batch.Lifecycle] = {}
        self._is_draining = False

    def _live(self, stored: _store.Stored) -> batch.Lifecycle:
        """Begin to control a task."""
        life = batch.Lifecycle(
            stored.row,
            stored.version,
            self._me,
            self.kernel.clock.now(),
            self._timing,
        )
        self._lives[stored.row.name] = life
        if self._is_draining:
            self._tell(life, batch.HandOverWanted())
        return life

    def _on_report(self, address: str, report: platform.RunReport) -> None:
        """Pass on what a worker says."""
        life = self._lives.get(report.task)
        if life is None or life.row.worker != address:
            return
        is_new = not life.is_stopped and report.attempt == life.row.attempt
        answer = _runs.to_answer(report)
        if is_new and answer.status.is_end:
            self._placer.observe(life.row, answer.status)
        self._tell(life, answer)

    def _on_unsent(self, life: batch.Lifecycle) -> None:
        """Move a task on whose start certainly did not arrive."""
        self._run(life, life.start_not_sent(self.kernel.clock.now()))

    def _tell(self, life: batch.Lifecycle, message: batch.Message) -> None:
        """Give a message to a life cycle and do what it asks."""
        self._run(life, life.handle(message, self.kernel.clock.now()))

    def _run(self, life: batch.Lifecycle, effects: list[batch.Effect]) -> None:
        """Carry out effects."""
        for effect in effects:
            match effect:
                case batch.WriteRow():
                    fut = self._store.write(
                        effect.row, effect.before, effect.version
                    )
                    fut.addCallback(self._on_outcome, life)
                case batch.FreeSlots():
                    self._placer.release(effect.row.name)
                case batch.Forget():
                    self._forget(life, effect.row)
                case _:
                    self._driver.send(life, effect)

    def _on_outcome(
        self, outcome: _store.Outcome, life: batch.Lifecycle
    ) -> None:
        """Tell a life cycle how its write ended."""
        stored = outcome.stored
        if outcome.is_applied:
            self._tell(life, batch.RowWritten(version=stored.version))
            return
        self._tell(
            life, batch.RowConflicted(row=stored.row, version=stored.version)
        )

    def _forget(self, life: batch.Lifecycle, row: batch.TaskRow) -> None:
        """Stop controlling a task."""
        is_running = row.worker and row.state is not batch.TaskState.QUEUED
        if is_running and not row.state.is_final and not row.controller:
            self._placer.hand_over(row.name)
        else:
            self._placer.release(row.name)
        if self._lives.get(row.name) is life:
            del self._lives[row.name]
        self._log.info('Task left', task=row.name, state=row.state.value)
        self._left(row)

    @abc.abstractmethod
    def _left(self, row: batch.TaskRow) -> None:
        """Note that a task is no longer controlled here."""
