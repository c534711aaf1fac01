"""Checks of processes that end and of workers that leave."""

from collections.abc import Iterator
import math

from oriolestand_soak.checks import _base
from oriolestand_soak.checks import _timeline

AFTER_GRACE_MS = 1_000


class AnswersWhileStopping(_base.Check):
    """A graceful shutdown or a reload cuts off no request."""

    promise = 'shutdown'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find calls that broke off around planned signals."""
        bounds = timeline.bounds
        windows = {
            'SIGTERM': bounds.grace_ms + AFTER_GRACE_MS,
            'SIGHUP': bounds.config_ms,
        }
        for call in timeline.calls.values():
            if call.ended is None or call.ended.why != 'broken':
                continue
            sent, ended_ms = call.sent, call.ended_ms
            process = timeline.processes[sent.daemon, sent.process]
            is_planned = any(
                signal.at_ms <= ended_ms
                and sent.at_ms
                <= signal.at_ms + windows.get(signal.signal, -math.inf)
                for signal in process.signals
            )
            if (
                is_planned
                and ended_ms > sent.at_ms + bounds.loss_slack_ms
                and timeline.is_calm(
                    sent.at_ms - bounds.contact_ms,
                    ended_ms,
                    allows_planned=True,
                )
            ):
                yield self.violation(
                    ended_ms,
                    f'{sent.method} {sent.job} sent to {sent.daemon} at '
                    f'{sent.at_ms} was cut off',
                )


class ExitsOnlyOnSignals(_base.Check):
    """Processes end only when told to, and in time."""

    promise = 'exit'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare the exits with the signals."""
        for process in timeline.processes.values():
            if process.exited_ms == math.inf:
                continue
            text = f'{process.daemon} exits with status {process.status}'
            terms = [s for s in process.signals if s.signal == 'SIGTERM']
            kills = [s for s in process.signals if s.signal == 'SIGKILL']
            if not terms and not kills:
                yield self.violation(process.exited_ms, text)
            elif terms and timeline.is_calm(
                terms[0].at_ms - timeline.bounds.contact_ms,
                process.exited_ms,
                allows_planned=True,
            ):
                if process.status != 0 or kills:
                    yield self.violation(
                        process.exited_ms, f'{text} after SIGTERM'
                    )


class LeavesDrainingWorkers(_base.Check):
    """A worker that leaves gets no new task after a short time."""

    promise = 'drain'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find starts on workers that leave."""
        bounds = timeline.bounds
        for run in timeline.runs:
            draining_ms = timeline.lives[run.started.life].draining_ms
            if (
                run.start_ms > draining_ms + bounds.drain_ms
                and not run.started.is_late
                and timeline.is_calm(
                    run.start_ms - bounds.contact_ms,
                    run.start_ms,
                    allows_planned=True,
                )
            ):
                yield self.violation(
                    run.start_ms,
                    f'{run.label}, which leaves since {draining_ms}',
                )
