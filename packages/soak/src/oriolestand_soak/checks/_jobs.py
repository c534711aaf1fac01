"""Checks of what callers were told about their jobs."""

from collections.abc import Iterator
import math

from oriolestand_soak.checks import _base
from oriolestand_soak.checks import _timeline

NOT_FOUND = 404
GONE = 410
UNCERTAIN = frozenset({0, 502, 504})


class RunsOnlyRequested(_base.Check):
    """Workers start only what a caller submitted, as it was submitted."""

    promise = 'requested'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare each start with the submitted jobs."""
        for run in timeline.runs:
            job = timeline.jobs.get(run.name.job)
            started = run.started
            if job is None:
                yield self.violation(
                    run.start_ms, f'{run.label} was never submitted'
                )
                continue
            steps = job.created.steps
            if (
                run.name.occurrence
                or run.name.step >= len(steps)
                or run.name.index >= steps[run.name.step].count
            ):
                yield self.violation(
                    run.start_ms, f'{run.label} is no task of its job'
                )
            if started.payload != job.created.payload:
                yield self.violation(
                    run.start_ms, f'{run.label} with another payload'
                )
            owner = started.checkpoint.rpartition('/')[0]
            if owner not in ('', started.task):
                yield self.violation(
                    run.start_ms, f'{run.label} with a checkpoint of {owner}'
                )


class RunsNothingRefused(_base.Check):
    """A job of which each attempt to submit it was rejected never runs."""

    promise = 'refused'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find runs of such jobs."""
        for job in timeline.jobs.values():
            posts = job.select('POST')
            is_refused = all(
                call.ended is not None
                and call.status not in UNCERTAIN
                and not call.is_success
                for call in posts
            )
            for run in job.runs if posts and is_refused else ():
                yield self.violation(
                    run.start_ms, f'{run.label} of a refused job'
                )


class RunsNothingCancelled(_base.Check):
    """Some time after a cancellation is acknowledged nothing runs."""

    promise = 'cancelled'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find runs that start or last too long, in calm times."""
        bounds = timeline.bounds
        for job in timeline.jobs.values():
            limit_ms = job.cancelled_ms + bounds.cancel_ms
            if limit_ms == math.inf:
                continue
            for run in job.runs:
                is_late = run.started.is_late
                if (
                    run.start_ms > limit_ms
                    and not is_late
                    and _is_in_stretch(timeline, run.start_ms)
                ):
                    yield self.violation(
                        run.start_ms,
                        f'{run.label} starts, cancelled at {job.cancelled_ms}',
                    )
                since = job.cancelled_ms
                if is_late:
                    since = max(since, run.start_ms + bounds.contact_ms)
                yield from self._find_lasting(timeline, run, since)

    def _find_lasting(
        self, timeline: _timeline.Timeline, run: _timeline.Run, since: float
    ) -> Iterator[_base.Violation]:
        """Find a run that outlasts a calm time."""
        bounds = timeline.bounds
        for stretch in timeline.stretches:
            start = max(stretch.start_ms, since)
            limit = start + bounds.cancel_ms + bounds.stop_ms
            if (
                run.start_ms <= start
                and limit < stretch.end_ms
                and limit < run.ended_ms
            ):
                yield self.violation(
                    limit, f'{run.label} goes on, cancelled before {since}'
                )
                return


class ReportsTrueStates(_base.Check):
    """The state that a caller is told is right."""

    promise = 'state'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare the states in responses with the runs."""
        limits = {
            route.name: route.max_attempts
            for config in timeline.configs
            for route in config.sent.routes
        }
        for job in timeline.jobs.values():
            final = ''
            for call in job.select('GET'):
                if call.ended is None or not call.ended.state:
                    continue
                state, at_ms = call.ended.state, call.ended.at_ms
                text = f'{job.created.job} is shown as {state}'
                if state == 'completed' and job.all_done_ms > at_ms:
                    yield self.violation(at_ms, f'{text}, a task is not done')
                if state == 'cancelled' and job.cancel_sent_ms > at_ms:
                    yield self.violation(at_ms, f'{text}, nobody cancelled it')
                if state == 'failed' and not _has_failed(
                    job, limits[job.created.route], at_ms
                ):
                    yield self.violation(at_ms, f'{text} without cause')
                if final and state != final:
                    yield self.violation(at_ms, f'{text}, before as {final}')
                if state in ('completed', 'failed', 'cancelled'):
                    final = state
            yield from self._check_end(timeline, job, final)

    def _check_end(
        self, timeline: _timeline.Timeline, job: _timeline.Job, final: str
    ) -> Iterator[_base.Violation]:
        """Find a job whose tasks are all done but that is not completed."""
        noted_ms = max(
            (run.acknowledged_ms for run in job.runs if run.how == 'done'),
            default=math.inf,
        )
        limit = max(job.all_done_ms, noted_ms) + timeline.bounds.finish_ms
        if timeline.is_finished and not final and limit < timeline.end_ms:
            yield self.violation(
                limit, f'{job.created.job} is done but not shown as completed'
            )


class KnowsAcceptedJobs(_base.Check):
    """An accepted job is known until long after its end."""

    promise = 'known'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find jobs that a daemon in touch does not know."""
        bounds = timeline.bounds
        for job in timeline.jobs.values():
            accepted_ms = job.accepted_ms
            if accepted_ms == math.inf:
                continue
            is_answered = False
            for call in job.select('GET'):
                sent = call.sent
                is_answered = is_answered or (
                    call.status == 200
                    and sent.at_ms >= timeline.traffic_end_ms
                )
                if (
                    call.status == GONE
                    and accepted_ms + bounds.visible_ms < sent.at_ms
                    and sent.at_ms < job.cancel_sent_ms
                    and timeline.is_in_touch(
                        sent.daemon, sent.process, sent.at_ms, call.ended_ms
                    )
                ):
                    yield self.violation(
                        call.ended_ms,
                        f'{job.created.job} is unknown at {sent.daemon}',
                    )
            if timeline.is_finished and not is_answered:
                yield self.violation(
                    timeline.end_ms,
                    f'no daemon tells the state of {job.created.job}',
                )


def _is_in_stretch(timeline: _timeline.Timeline, at_ms: float) -> bool:
    """Return whether nothing was harmed at a time and before."""
    return any(
        stretch.start_ms <= at_ms <= stretch.end_ms
        for stretch in timeline.stretches
    )


def _has_failed(job: _timeline.Job, limit: int, at_ms: int) -> bool:
    """Return whether a task or a gang has failed as often as allowed."""
    failures: dict[object, int] = {}
    for run in job.runs:
        if run.how == 'failed' and run.ended_ms <= at_ms:
            failures[run.name] = failures.get(run.name, 0) + 1
    return max(failures.values(), default=0) >= limit
