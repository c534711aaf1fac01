"""Requests to workers on behalf of task lifecycles."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.batch import const
import oriolestand_platform as platform
from oriolestand_policy import batch

ReportHandler = Callable[[str, platform.RunReport], None]

_RunId = tuple[str, int, int]
"""Task, attempt and epoch of a run."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _WorkerClock:
    """A worker's clock reading and the local time at which it arrived."""

    boot: str
    now_ms: int
    at: core.Millis


class RunDriver:
    """Sends the requests of lifecycles to workers.

    Renews all leases on a worker with one message. A throttle that was not
    answered is sent again after the next renewal that is.

    :param on_report: called with a worker's address and its report of a run.
    :param on_start_not_delivered: called when a start request certainly did
        not reach the worker.
    :param on_call_failed: called with a worker's address after a failed call.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        timing: batch.Timing,
        on_report: ReportHandler,
        on_start_not_delivered: Callable[[batch.Lifecycle], None],
        on_call_failed: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._timing = timing
        self._on_report = on_report
        self._on_start_not_delivered = on_start_not_delivered
        self._on_call_failed = on_call_failed
        self._log = core.get_logger(const.DOMAIN)
        self._clocks: dict[str, _WorkerClock] = {}
        self._last_renewal_at: dict[str, core.Millis] = {}
        self._renewing: set[str] = set()
        self._throttle_percents: dict[_RunId, int] = {}
        self._lost_throttles: set[_RunId] = set()

    def send(self, lifecycle: batch.Lifecycle, effect: batch.Effect) -> None:
        """Send the request for an effect to the task's worker."""
        self._run_in_background(self._send(lifecycle, effect))

    def throttle(self, lifecycle: batch.Lifecycle, is_on: bool) -> None:
        """Throttle a run, or let it run at full speed again."""
        percent = const.THROTTLED_PERCENT if is_on else const.FULL_PERCENT
        self._throttle_percents[_run_id(lifecycle.row)] = percent
        self._run_in_background(self._send_throttle(lifecycle.row))

    async def _send_throttle(self, row: batch.TaskRow) -> None:
        """Send the last throttle of a run, which may have been lost."""
        run = _run_id(row)
        self._lost_throttles.discard(run)
        request = platform.ThrottleRequest(
            run=_run_ref(row), percent=self._throttle_percents[run]
        )
        try:
            await self.call(row.worker, request)
        except core.OriolestandError:
            if run in self._throttle_percents:
                self._lost_throttles.add(run)
            raise

    def _repeat_throttles(self, group: Iterable[batch.Lifecycle]) -> None:
        """Send the lost throttles of runs on a worker that answers again."""
        for lifecycle in group:
            if _run_id(lifecycle.row) in self._lost_throttles:
                self._run_in_background(self._send_throttle(lifecycle.row))

    def _forget_throttles(self, runs: Iterable[_RunId]) -> None:
        """Forget the throttles of all runs but the given ones."""
        current = set(runs)
        self._lost_throttles &= current
        for run in self._throttle_percents.keys() - current:
            del self._throttle_percents[run]

    def _run_in_background(self, coroutine: Any) -> None:
        """Run a coroutine in the background and log its failure.

        Failed calls need no other handling: lifecycles detect an unreachable
        worker by its missing answers.
        """
        fut = defer.ensureDeferred(coroutine)
        fut.addErrback(
            lambda f: self._log.info(
                'Worker does not answer', reason=str(f.value)
            )
        )

    async def _send(
        self, lifecycle: batch.Lifecycle, effect: batch.Effect
    ) -> None:
        """Send the request for one effect."""
        row = lifecycle.row
        ref = _run_ref(row)
        request: platform.WorkerRequest
        match effect:
            case batch.StartRun():
                await self._send_start(lifecycle)
                return
            case batch.CheckpointRun():
                request = platform.CheckpointRequest(run=ref)
            case batch.StopRun():
                request = platform.StopRequest(run=ref)
            case _:
                request = platform.StatusRequest(runs=(ref,))
        await self.call(row.worker, request)

    async def _send_start(self, lifecycle: batch.Lifecycle) -> None:
        """Send a start request; fetch the worker's clock first if unknown."""
        row = lifecycle.row
        if row.worker not in self._clocks:
            await self._fetch_clock(lifecycle)
        if not lifecycle.may_start() or lifecycle.row.token != row.token:
            return
        demand = row.demand
        # The start window and the lease count from this moment, so there must
        # be no await between here and the request.
        lifecycle.record_start_sent(self._kernel.clock.now())
        request = platform.StartRequest(
            run=_renewal(row),
            slots=demand.slots,
            accelerators=demand.accelerators,
            memory_mb=demand.memory_mb,
            payload=row.payload,
            checkpoint=row.checkpoint,
            **self._expiry(row.worker),
        )
        try:
            await self.call(row.worker, request)
        except core.OriolestandError as exc:
            if exc.verdict is core.Verdict.DID_NOT_RUN:
                self._on_start_not_delivered(lifecycle)
            raise

    async def _fetch_clock(self, lifecycle: batch.Lifecycle) -> None:
        """Read a worker's clock before the first start there."""
        try:
            await self.call(lifecycle.row.worker, platform.StatusRequest())
        except core.OriolestandError:
            lifecycle.record_start_sent(self._kernel.clock.now())
            self._on_start_not_delivered(lifecycle)
            raise

    def _expiry(self, address: str) -> dict[str, Any]:
        """Return the fields that make a request expire on the worker's clock.

        The request has no effect after ``not_after_ms`` or after a restart of
        the worker.
        """
        clock = self._clocks[address]
        passed = self._kernel.clock.now() - clock.at
        return {
            'boot': clock.boot,
            'not_after_ms': clock.now_ms + passed + self._timing.window_ms,
        }

    def renew(self, lifecycles: Iterable[batch.Lifecycle]) -> None:
        """Renew the leases that are due, with one message per worker."""
        now = self._kernel.clock.now()
        lifecycles = tuple(lifecycles)
        self._forget_throttles(_run_id(item.row) for item in lifecycles)
        lifecycles_by_worker = collections.defaultdict(list)
        for lifecycle in lifecycles:
            if lifecycle.may_renew(now):
                lifecycles_by_worker[lifecycle.row.worker].append(lifecycle)
        for address in (
            self._last_renewal_at.keys() - lifecycles_by_worker.keys()
        ):
            del self._last_renewal_at[address]
        for address, group in lifecycles_by_worker.items():
            lease_ms = min(lifecycle.row.lease_ms for lifecycle in group)
            due = lease_ms // const.RENEWALS_PER_LEASE
            last = self._last_renewal_at.get(address)
            if address in self._renewing:
                continue
            if last is not None and now - last < due:
                continue
            self._last_renewal_at[address] = now
            self._renewing.add(address)
            self._run_in_background(self._renew(address, group))

    async def _renew(self, address: str, group: list[batch.Lifecycle]) -> None:
        """Renew the leases of all given tasks of a worker in one request."""
        try:
            if address not in self._clocks:
                await self.call(address, platform.StatusRequest())
            now = self._kernel.clock.now()
            group = [
                lifecycle for lifecycle in group if lifecycle.may_renew(now)
            ]
            for lifecycle in group:
                lifecycle.record_lease_extension(now)
            await self.call(
                address,
                platform.RenewRequest(
                    runs=tuple(_renewal(lifecycle.row) for lifecycle in group),
                    **self._expiry(address),
                ),
            )
            self._repeat_throttles(group)
        finally:
            self._renewing.discard(address)

    async def call(
        self, address: str, request: platform.WorkerRequest
    ) -> platform.WorkerReply:
        """Send a request; record the worker's clock and deliver its reports.

        :raises OriolestandError: if the call fails, after ``on_call_failed``.
        """
        message = store.CallWorker(address=address, request=request)
        try:
            reply: platform.WorkerReply = await self._kernel.ask(
                'platform', message
            )
        except core.OriolestandError:
            self._on_call_failed(address)
            raise
        # The worker read its clock before the answer arrived, so the clock
        # has advanced at least this far by now.
        self._clocks[address] = _WorkerClock(
            boot=reply.boot,
            now_ms=reply.now_ms,
            at=self._kernel.clock.now(),
        )
        for report in reply.reports:
            self._on_report(address, report)
        return reply


def _run_id(row: batch.TaskRow) -> _RunId:
    """Return what identifies the row's attempt."""
    return (row.name, row.attempt, row.epoch)


def _run_ref(row: batch.TaskRow) -> platform.RunRef:
    """Return the reference that identifies the row's attempt to a worker."""
    return platform.RunRef(task=row.name, attempt=row.attempt, epoch=row.epoch)


def _renewal(row: batch.TaskRow) -> platform.Renewal:
    """Return the lease renewal for a row's current attempt."""
    return platform.Renewal(
        task=row.name,
        attempt=row.attempt,
        epoch=row.epoch,
        lease_ms=row.lease_ms,
    )


def to_worker_reported(report: platform.RunReport) -> batch.WorkerReported:
    """Convert a worker's report to a lifecycle message."""
    return batch.WorkerReported(
        attempt=report.attempt,
        status=batch.RunStatus(report.status.value),
        checkpoint=report.checkpoint,
        result=report.result,
        reason=report.reason,
        ran_ms=report.ran_ms,
        is_saving=report.is_saving,
    )


def workers_in_state(
    state: platform.InstanceState, instances: Iterable[platform.InstanceEntry]
) -> set[str]:
    """Return the upstream addresses whose instances are all in a state.

    A new instance may reuse the address of one that is gone.
    """
    states: Mapping[str, set[platform.InstanceState]]
    states = collections.defaultdict(set)
    for entry in instances:
        if entry.role is platform.InstanceRole.UPSTREAM:
            states[entry.address].add(entry.state)
    return {address for address, found in states.items() if found == {state}}
