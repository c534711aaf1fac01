"""Execution of the effects of task lifecycles."""

import abc

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.batch import _placer
from oriolestand_daemon.services.batch import _request_task
from oriolestand_daemon.services.batch import _runs
from oriolestand_daemon.services.batch import _store
from oriolestand_daemon.services.batch import const
import oriolestand_platform as platform
from oriolestand_policy import batch
from oriolestand_policy import grants


class LifecycleTask(_request_task.JobRequestTask):
    """Owns the lifecycles of the tasks that this daemon controls."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel)
        self._log = core.get_logger(const.DOMAIN)
        holder = grants.Holder(
            instance_id=cfg.instance_id, incarnation=kernel.incarnation
        )
        self._controller_id = str(holder)
        self._timing = batch.Timing()
        self._placer = _placer.Placer(kernel, self._store, cfg.failure_domain)
        self._driver = _runs.RunDriver(
            kernel,
            self._timing,
            self._on_report,
            self._on_unsent,
            self._placer.pause,
        )
        self._lifecycles: dict[str, batch.Lifecycle] = {}
        self._is_draining = False

    def _take_control(self, stored: _store.StoredRow) -> batch.Lifecycle:
        """Create the lifecycle of a task that this daemon now controls."""
        lifecycle = batch.Lifecycle(
            stored.row,
            stored.version,
            self._controller_id,
            self.kernel.clock.now(),
            self._timing,
        )
        self._lifecycles[stored.row.name] = lifecycle
        if self._is_draining:
            self._deliver(lifecycle, batch.HandOverRequested())
        return lifecycle

    def _on_report(self, address: str, report: platform.RunReport) -> None:
        """Pass a worker's report to the lifecycle of its task."""
        lifecycle = self._lifecycles.get(report.task)
        if lifecycle is None or lifecycle.row.worker != address:
            return
        is_new = (
            not lifecycle.is_stopped
            and report.attempt == lifecycle.row.attempt
        )
        answer = _runs.to_worker_reported(report)
        if is_new and answer.status.is_end:
            self._placer.observe(lifecycle.row, answer.status)
        self._deliver(lifecycle, answer)

    def _on_unsent(self, lifecycle: batch.Lifecycle) -> None:
        """Handle a start request that certainly did not arrive."""
        self._execute(
            lifecycle, lifecycle.record_start_failed(self.kernel.clock.now())
        )

    def _deliver(
        self, lifecycle: batch.Lifecycle, message: batch.Message
    ) -> None:
        """Pass a message to a lifecycle and execute the resulting effects."""
        self._execute(
            lifecycle, lifecycle.handle(message, self.kernel.clock.now())
        )

    def _execute(
        self, lifecycle: batch.Lifecycle, effects: list[batch.Effect]
    ) -> None:
        """Execute the effects of a lifecycle."""
        for effect in effects:
            match effect:
                case batch.WriteRow():
                    fut = self._store.write(
                        effect.row, effect.before, effect.version
                    )
                    fut.addCallback(self._on_outcome, lifecycle)
                case batch.ReleaseSlots():
                    self._placer.release(effect.row.name)
                case batch.DropLifecycle():
                    self._forget(lifecycle, effect.row)
                case _:
                    self._driver.send(lifecycle, effect)

    def _on_outcome(
        self, outcome: _store.Outcome, lifecycle: batch.Lifecycle
    ) -> None:
        """Pass the outcome of a write to its lifecycle."""
        stored = outcome.stored
        if outcome.is_applied:
            self._deliver(lifecycle, batch.RowWritten(version=stored.version))
            return
        self._deliver(
            lifecycle,
            batch.RowConflicted(row=stored.row, version=stored.version),
        )

    def _forget(self, lifecycle: batch.Lifecycle, row: batch.TaskRow) -> None:
        """Stop controlling a task."""
        is_running = row.worker and row.state is not batch.TaskState.QUEUED
        if is_running and not row.state.is_final and not row.controller:
            self._placer.hand_over(row.name)
        else:
            self._placer.release(row.name)
        if self._lifecycles.get(row.name) is lifecycle:
            del self._lifecycles[row.name]
        self._log.info('Task released', task=row.name, state=row.state.value)
        self._on_released(row)

    @abc.abstractmethod
    def _on_released(self, row: batch.TaskRow) -> None:
        """Handle a task that this daemon no longer controls."""
