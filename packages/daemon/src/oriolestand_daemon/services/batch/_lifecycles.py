"""Run the lifecycles of the batch tasks that this daemon controls.

The effects that the lifecycles return are executed here as well.
"""

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


class LifecycleRunner(_request_task.JobRequestTask):
    """Runs the lifecycles of the batch tasks that this daemon controls."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel)
        self._log = core.get_logger(const.DOMAIN)
        holder = grants.Holder(
            instance_id=cfg.instance_id, incarnation=kernel.incarnation
        )
        self._controller_id = str(holder)
        self._timing = batch.Timing()
        self._placer = _placer.Placer(kernel, self._store, cfg.failure_domain)
        self._run_driver = _runs.RunDriver(
            kernel,
            self._timing,
            self._on_report,
            self._on_start_not_delivered,
            self._placer.pause_worker,
        )
        self._lifecycles: dict[str, batch.Lifecycle] = {}
        self._is_draining = False

    def _take_control(self, stored: _store.StoredRow) -> batch.Lifecycle:
        """Take control of a task and return its new lifecycle."""
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
        is_current = (
            not lifecycle.is_stopped
            and report.attempt == lifecycle.row.attempt
        )
        message = _runs.to_worker_reported(report)
        if is_current and message.status.is_end:
            self._placer.record_run_end(lifecycle.row, message.status)
        self._deliver(lifecycle, message)

    def _on_start_not_delivered(self, lifecycle: batch.Lifecycle) -> None:
        """Handle a start request that certainly did not reach the worker."""
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
                    fut.addCallback(self._on_write_outcome, lifecycle)
                case batch.ReleaseSlots():
                    self._placer.release(effect.row.name)
                case batch.DropLifecycle():
                    self._release_control(lifecycle, effect.row)
                case _:
                    self._run_driver.send(lifecycle, effect)

    def _on_write_outcome(
        self, outcome: _store.WriteOutcome, lifecycle: batch.Lifecycle
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

    def _release_control(
        self, lifecycle: batch.Lifecycle, row: batch.TaskRow
    ) -> None:
        """Drop the lifecycle of a task and release its slots.

        The slots stay reserved if the task runs on without a controller.
        """
        is_assigned = row.worker and row.state is not batch.TaskState.QUEUED
        if is_assigned and not row.state.is_final and not row.controller:
            self._placer.hand_over(row.name)
        else:
            self._placer.release(row.name)
        if self._lifecycles.get(row.name) is lifecycle:
            del self._lifecycles[row.name]
        self._log.info(
            'Task control released', task=row.name, state=row.state.value
        )
        self._on_control_released(row)

    @abc.abstractmethod
    def _on_control_released(self, row: batch.TaskRow) -> None:
        """Handle the end of this daemon's control of a task.

        Called after the lifecycle was dropped, with the row of the task at
        that time. Subclasses can queue the task again, and check whether a
        drain is complete.
        """
