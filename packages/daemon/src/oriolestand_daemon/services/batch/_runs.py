"""Speak to workers for the life cycles of tasks."""

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

Reports = Callable[[str, platform.RunReport], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Clock:
    """Relate a worker's clock to the moment its answer came."""

    boot: str
    now_ms: int
    at: core.Millis


class RunDriver:
    """Send what life cycles ask for; one renewal message a worker.

    :param on_report: gets a worker's address and what it says of a run.
    :param on_unsent: is told that a start certainly did not arrive.
    :param on_silent: gets the address of a worker that did not answer.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        timing: batch.Timing,
        on_report: Reports,
        on_unsent: Callable[[batch.Lifecycle], None],
        on_silent: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._timing = timing
        self._on_report = on_report
        self._on_unsent = on_unsent
        self._on_silent = on_silent
        self._log = core.get_logger(const.DOMAIN)
        self._clocks: dict[str, _Clock] = {}
        self._renewed_at: dict[str, core.Millis] = {}
        self._renewing: set[str] = set()

    def send(self, life: batch.Lifecycle, effect: batch.Effect) -> None:
        """Carry out an effect that concerns a worker."""
        self._start(self._send(life, effect))

    def throttle(self, life: batch.Lifecycle, is_on: bool) -> None:
        """Slow a run down or let it run at full speed again."""
        percent = const.THROTTLED_PERCENT if is_on else const.FULL_PERCENT
        request = platform.ThrottleRequest(run=_ref(life.row), percent=percent)
        self._start(self.call(life.row.worker, request))

    def _start(self, work: Any) -> None:
        """Run a coroutine; an unreachable worker is seen by its silence."""
        fut = defer.ensureDeferred(work)
        fut.addErrback(
            lambda f: self._log.info('Worker silent', reason=str(f.value))
        )

    async def _send(self, life: batch.Lifecycle, effect: batch.Effect) -> None:
        """Send one request and pass on its answer."""
        row = life.row
        ref = _ref(row)
        request: platform.WorkerRequest
        match effect:
            case batch.StartRun():
                await self._send_start(life)
                return
            case batch.CheckpointRun():
                request = platform.CheckpointRequest(run=ref)
            case batch.StopRun():
                request = platform.StopRequest(run=ref)
            case _:
                request = platform.StatusRequest(runs=(ref,))
        await self.call(row.worker, request)

    async def _send_start(self, life: batch.Lifecycle) -> None:
        """Send a start once the worker's clock is known."""
        row = life.row
        if row.worker not in self._clocks:
            await self._learn_clock(life)
        if life.is_stopped or life.row.token != row.token:
            return
        demand = row.demand
        # From here to the request there is no wait in which time passes
        # unseen: the window and the lease are counted from this moment.
        life.start_sent(self._kernel.clock.now())
        request = platform.StartRequest(
            run=_renewal(row),
            slots=demand.slots,
            accelerators=demand.accelerators,
            memory_mb=demand.memory_mb,
            payload=row.payload,
            checkpoint=row.checkpoint,
            **self._window(row.worker),
        )
        try:
            await self.call(row.worker, request)
        except core.OriolestandError as exc:
            if exc.verdict is core.Verdict.DID_NOT_RUN:
                self._on_unsent(life)
            raise

    async def _learn_clock(self, life: batch.Lifecycle) -> None:
        """Ask a worker for its clock before the first start there."""
        try:
            await self.call(life.row.worker, platform.StatusRequest())
        except core.OriolestandError:
            life.start_sent(self._kernel.clock.now())
            self._on_unsent(life)
            raise

    def _window(self, address: str) -> dict[str, Any]:
        """Return the end of the window on the worker's clock."""
        clock = self._clocks[address]
        passed = self._kernel.clock.now() - clock.at
        return {
            'boot': clock.boot,
            'not_after_ms': clock.now_ms + passed + self._timing.window_ms,
        }

    def renew(self, lives: Iterable[batch.Lifecycle]) -> None:
        """Extend the leases that are due, one message a worker."""
        now = self._kernel.clock.now()
        by_worker = collections.defaultdict(list)
        for life in lives:
            if life.may_renew(now):
                by_worker[life.row.worker].append(life)
        for address in self._renewed_at.keys() - by_worker.keys():
            del self._renewed_at[address]
        for address, group in by_worker.items():
            lease_ms = min(life.row.lease_ms for life in group)
            due = lease_ms // const.RENEWALS_PER_LEASE
            last = self._renewed_at.get(address)
            if address in self._renewing:
                continue
            if last is not None and now - last < due:
                continue
            self._renewed_at[address] = now
            self._renewing.add(address)
            self._start(self._renew(address, group))

    async def _renew(self, address: str, group: list[batch.Lifecycle]) -> None:
        """Send one renewal for all tasks of a worker."""
        try:
            if address not in self._clocks:
                await self.call(address, platform.StatusRequest())
            now = self._kernel.clock.now()
            group = [life for life in group if life.may_renew(now)]
            for life in group:
                life.extended(now)
            await self.call(
                address,
                platform.RenewRequest(
                    runs=tuple(_renewal(life.row) for life in group),
                    **self._window(address),
                ),
            )
        finally:
            self._renewing.discard(address)

    async def call(
        self, address: str, request: platform.WorkerRequest
    ) -> platform.WorkerReply:
        """Send a request; pass on reports and learn the worker's clock."""
        message = store.CallWorker(address=address, request=request)
        try:
            reply: platform.WorkerReply = await self._kernel.ask(
                'platform', message
            )
        except core.OriolestandError:
            self._on_silent(address)
            raise
        # The clock was read before now, so it is at least this far on.
        self._clocks[address] = _Clock(
            boot=reply.boot,
            now_ms=reply.now_ms,
            at=self._kernel.clock.now(),
        )
        for report in reply.reports:
            self._on_report(address, report)
        return reply


def _ref(row: batch.TaskRow) -> platform.RunRef:
    """Return the name of a row's attempt at its worker."""
    return platform.RunRef(task=row.name, attempt=row.attempt, epoch=row.epoch)


def _renewal(row: batch.TaskRow) -> platform.Renewal:
    """Return the lease that a row asks for."""
    return platform.Renewal(
        task=row.name,
        attempt=row.attempt,
        epoch=row.epoch,
        lease_ms=row.lease_ms,
    )


def to_answer(report: platform.RunReport) -> batch.WorkerAnswered:
    """Return a worker's report as the life cycle takes it."""
    return batch.WorkerAnswered(
        attempt=report.attempt,
        status=batch.RunStatus(report.status.value),
        checkpoint=report.checkpoint,
        result=report.result,
        reason=report.reason,
        ran_ms=report.ran_ms,
        is_saving=report.is_saving,
    )


def workers_in(
    state: platform.InstanceState, instances: Iterable[platform.InstanceEntry]
) -> set[str]:
    """Return the addresses at which every listed instance is in a state.

    A new instance may have the address of one that is gone.
    """
    states: Mapping[str, set[platform.InstanceState]]
    states = collections.defaultdict(set)
    for entry in instances:
        if entry.role is platform.InstanceRole.UPSTREAM:
            states[entry.address].add(entry.state)
    return {address for address, found in states.items() if found == {state}}
