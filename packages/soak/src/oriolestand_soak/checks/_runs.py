"""Checks of when and where runs start."""

from collections.abc import Iterator
import itertools

from oriolestand_soak.checks import _base
from oriolestand_soak.checks import _timeline


class RunsOnce(_base.Check):
    """No task runs twice at once, or again after its end was noted."""

    promise = 'once'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare the runs of each task."""
        for runs in timeline.runs_by_task.values():
            for first, second in itertools.combinations(runs, 2):
                if second.start_ms < first.ended_ms:
                    yield self.violation(
                        second.start_ms,
                        f'{second.label} while {first.label} runs',
                    )
                elif first.how == 'done' and (
                    first.acknowledged_ms <= timeline.end_ms
                ):
                    yield self.violation(
                        second.start_ms,
                        f'{second.label} after the acknowledged end of '
                        f'{first.label} at {first.ended_ms}',
                    )


class KeepsOrder(_base.Check):
    """No task starts before the steps that its step waits for are done."""

    promise = 'order'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare each start with the ends of earlier steps."""
        for job in timeline.jobs.values():
            for run in job.runs:
                step = job.created.steps[run.name.step]
                for earlier in step.after:
                    if job.step_done_ms(earlier) > run.start_ms:
                        yield self.violation(
                            run.start_ms,
                            f'{run.label} before step {earlier} is done',
                        )


class KeepsCapacity(_base.Check):
    """No start brings a worker over its capacity."""

    promise = 'capacity'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Add up what runs on a worker at each start."""
        for life, runs in _runs_by_life(timeline).items():
            info = timeline.lives[life].info
            for run in runs:
                cpu = memory_mb = 0
                for other in runs:
                    if not other.start_ms <= run.start_ms < other.ended_ms:
                        continue
                    job = timeline.jobs.get(other.name.job)
                    if job is None:
                        continue
                    step = job.created.steps[other.name.step]
                    memory_mb += step.memory_mb
                    cpu += 0 if step.is_filling else step.cpu
                if cpu > info.cpu or memory_mb > info.memory_mb:
                    yield self.violation(
                        run.start_ms,
                        f'{run.label}: cpu {cpu} of {info.cpu}, '
                        f'memory {memory_mb} of {info.memory_mb}',
                    )


class KeepsPlacement(_base.Check):
    """Tasks run on workers of their pool, with their label, and apart."""

    promise = 'placement'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare each run with the configurations and its step."""
        pools = {
            (route.name, route.pool)
            for config in timeline.configs
            for route in config.sent.routes
        }
        for life, runs in _runs_by_life(timeline).items():
            info = timeline.lives[life].info
            for run in runs:
                job = timeline.jobs.get(run.name.job)
                if job is None:
                    continue
                step = job.created.steps[run.name.step]
                beside = sum(
                    other.start_ms <= run.start_ms < other.ended_ms
                    and other.name.group == run.name.group
                    for other in runs
                )
                if (job.created.route, info.pool) not in pools:
                    yield self.violation(
                        run.start_ms, f'{run.label} in pool {info.pool}'
                    )
                if step.label and step.label not in info.labels:
                    yield self.violation(
                        run.start_ms, f'{run.label} without {step.label}'
                    )
                if 0 < step.max_per_worker < beside:
                    yield self.violation(
                        run.start_ms,
                        f'{run.label}: {beside} of the step on the worker',
                    )


class KeepsAttempts(_base.Check):
    """No task starts after its last attempt was noted as failed."""

    promise = 'attempts'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Count the failed runs before each start."""
        limits = {
            route.name: route.max_attempts
            for config in timeline.configs
            for route in config.sent.routes
        }
        for job in timeline.jobs.values():
            if job.has_services:
                continue
            limit = limits[job.created.route]
            for run in job.runs:
                failed = sum(
                    other.how == 'failed'
                    and other.name == run.name
                    and other.ended_ms <= run.start_ms
                    and other.acknowledged_ms <= timeline.end_ms
                    for other in job.runs
                )
                if failed >= limit:
                    yield self.violation(
                        run.start_ms, f'{run.label} after {failed} failures'
                    )


class CompletesGangs(_base.Check):
    """Without faults no member of a gang waits in vain for the others."""

    promise = 'gang'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find members that ended alone in a calm time."""
        contact_ms = timeline.bounds.contact_ms
        for job in timeline.jobs.values():
            for run in job.runs:
                if (
                    run.how == 'alone'
                    and run.ended_ms < job.cancel_sent_ms
                    and timeline.is_calm(
                        run.start_ms - contact_ms, run.ended_ms
                    )
                ):
                    yield self.violation(
                        run.ended_ms, f'{run.label} ended alone'
                    )


def _runs_by_life(
    timeline: _timeline.Timeline,
) -> dict[str, list[_timeline.Run]]:
    """Return the runs by incarnation of the worker."""
    runs: dict[str, list[_timeline.Run]] = {}
    for run in timeline.runs:
        runs.setdefault(run.started.life, []).append(run)
    return runs
