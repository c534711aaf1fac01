"""Checks that work goes on and that daemons respond."""

from collections.abc import Iterator
import math

from oriolestand_soak import history
from oriolestand_soak.checks import _base
from oriolestand_soak.checks import _timeline

IDLE_MS = 3_000
SINCE_LAST_RUN_MS = 6_000
SAMPLE_MS = 250
LISTED_MS = 100
"""Without faults an end reaches the owner this long after it was listed."""

MIN_CANCELS = 3
UNANSWERED_CANCELS = 0.1
UNNOTED_ENDS = 0.2
SERVED_SHARE = 0.25


class RunsWaitingTasks(_base.Check):
    """In calm times tasks run if their turn has come and there is room.

    For service tasks this holds at any time, for others after the traffic.
    """

    promise = 'idle'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Find gaps between the runs of tasks or jobs."""
        for job in timeline.jobs.values():
            start = job.accepted_ms
            end = min(job.cancel_sent_ms, timeline.end_ms)
            if start >= end:
                continue
            if not job.has_services:
                yield from self._check_batch(timeline, job, start, end)
                continue
            for number, step in enumerate(job.created.steps):
                for index in range(step.count):
                    runs = [
                        run
                        for run in job.runs
                        if (run.name.step, run.name.index) == (number, index)
                    ]
                    label = f'{job.created.job}.0.{number}.{index}'
                    for gap in _find_gaps(runs, start, end):
                        yield from self._check_gap(
                            timeline,
                            job,
                            step,
                            label,
                            (gap[0] + SINCE_LAST_RUN_MS, gap[1]),
                        )

    def _check_batch(
        self,
        timeline: _timeline.Timeline,
        job: _timeline.Job,
        start: float,
        end: float,
    ) -> Iterator[_base.Violation]:
        """Find gaps of a job that has not ended."""
        end = min(
            [end, job.all_done_ms]
            + [
                call.sent.at_ms
                for call in job.select('GET')
                if call.ended is not None
                and call.ended.state in ('failed', 'completed')
            ]
        )
        waiting = [
            step
            for number, step in enumerate(job.created.steps)
            if job.step_done_ms(number) == math.inf
            and all(job.step_done_ms(x) < math.inf for x in step.after)
        ]
        for gap_start, gap_end in _find_gaps(job.runs, start, end):
            gap = (max(gap_start, timeline.traffic_end_ms), gap_end)
            for step in waiting[:1]:
                yield from self._check_gap(
                    timeline, job, step, job.created.job, gap
                )

    def _check_gap(
        self,
        timeline: _timeline.Timeline,
        job: _timeline.Job,
        step: history.Step,
        label: str,
        gap: tuple[float, float],
    ) -> Iterator[_base.Violation]:
        """Find a calm part of a gap in which there is room all the time."""
        for stretch in timeline.stretches:
            start = max(gap[0], stretch.start_ms)
            end = min(gap[1], stretch.end_ms)
            room_since = start
            at_ms = start
            while at_ms <= end:
                if not _has_room(timeline, job, step, at_ms):
                    room_since = at_ms + SAMPLE_MS
                if at_ms - room_since >= IDLE_MS:
                    yield self.violation(
                        at_ms,
                        f'{label} does not run since {room_since:.0f} '
                        'or longer, although there is room',
                    )
                    return
                at_ms += SAMPLE_MS


def _find_gaps(
    runs: list[_timeline.Run], start: float, end: float
) -> Iterator[tuple[float, float]]:
    """Yield the times between start and end in which no run is active."""
    for run in sorted(runs, key=lambda run: run.start_ms):
        if run.start_ms > start:
            yield start, min(run.start_ms, end)
        start = max(start, run.ended_ms)
    if end > start:
        yield start, end


def _has_room(
    timeline: _timeline.Timeline,
    job: _timeline.Job,
    step: history.Step,
    at_ms: float,
) -> bool:
    """Return whether a step has room twice and its pool is half empty."""
    pools = {
        route.pool
        for config in timeline.configs
        for route in config.sent.routes
        if route.name == job.created.route
    }
    used_cpu: dict[str, int] = {}
    used_memory: dict[str, int] = {}
    beside: dict[str, int] = {}
    for run in timeline.runs:
        if not run.start_ms <= at_ms < run.ended_ms:
            continue
        other = timeline.jobs[run.name.job].created.steps[run.name.step]
        life = run.started.life
        used_memory[life] = used_memory.get(life, 0) + other.memory_mb
        if not other.is_filling:
            used_cpu[life] = used_cpu.get(life, 0) + other.cpu
        if run.name.job == job.created.job:
            beside[life] = beside.get(life, 0) + 1
    total = used = places = 0
    for name, incarnation in timeline.lives.items():
        info = incarnation.info
        until = min(incarnation.ended_ms, incarnation.draining_ms)
        is_up = info.at_ms <= at_ms < until
        if not is_up or info.pool not in pools:
            continue
        total += info.cpu
        used += used_cpu.get(name, 0)
        if step.label and step.label not in info.labels:
            continue
        count = min(
            (info.cpu - used_cpu.get(name, 0)) // max(1, step.cpu),
            (info.memory_mb - used_memory.get(name, 0)) // step.memory_mb,
        )
        if step.max_per_worker:
            count = min(count, step.max_per_worker - beside.get(name, 0))
        places += max(0, count)
    needed = 2 * (step.count if step.is_gang else 1)
    return places >= needed and 2 * used < total


class AcknowledgesInTime(_base.Check):
    """In calm times cancellations and ends of runs are acknowledged."""

    promise = 'acknowledged'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Compare the shares of those that are not with the limits."""
        cancels = [
            (call_ms, min(job.cancelled_ms, _gone_ms(job)))
            for job in timeline.jobs.values()
            if (call_ms := job.cancel_sent_ms) < math.inf
            and job.accepted_ms < math.inf
        ]
        ends = [
            (run.ended_ms + LISTED_MS, _noted_ms(timeline, run))
            for run in timeline.runs
            if run.how
        ]
        for what, pairs, share, least in (
            ('cancellations', cancels, UNANSWERED_CANCELS, MIN_CANCELS),
            ('ends of runs', ends, UNNOTED_ENDS, 1),
        ):
            due, missed = 0, 0
            for since, answered_ms in pairs:
                limit = _find_limit(timeline, since)
                due += limit < math.inf
                missed += limit < min(answered_ms, math.inf)
            if due >= least and missed > share * due:
                yield self.violation(
                    timeline.end_ms, f'{missed} of {due} {what} in time'
                )


def _find_limit(timeline: _timeline.Timeline, since: float) -> float:
    """Return when something has waited ``ack_ms`` in one calm stretch."""
    ack_ms = timeline.bounds.ack_ms
    for stretch in timeline.stretches:
        limit = max(stretch.start_ms, since) + ack_ms
        if limit < stretch.end_ms:
            return limit
    return math.inf


def _gone_ms(job: _timeline.Job) -> float:
    """Return when a request to cancel was answered with 410."""
    return min(
        (c.ended_ms for c in job.select('DELETE') if c.status == 410),
        default=math.inf,
    )


def _noted_ms(timeline: _timeline.Timeline, run: _timeline.Run) -> float:
    """Return when an end was acknowledged or its worker had stopped."""
    return min(run.acknowledged_ms, timeline.lives[run.started.life].ended_ms)


class Recovers(_base.Check):
    """After the last fault jobs are accepted again."""

    promise = 'recovery'

    def find_violations(
        self, timeline: _timeline.Timeline
    ) -> Iterator[_base.Violation]:
        """Count the submissions after the time to recover."""
        since = (
            max((x.ended_ms for x in timeline.faults.values()), default=0)
            + timeline.bounds.recover_ms
        )
        posts = [
            call
            for call in timeline.calls.values()
            if call.sent.method == 'POST' and call.sent.at_ms > since
        ]
        served = sum(call.is_success for call in posts)
        if posts and served < SERVED_SHARE * len(posts):
            yield self.violation(
                since, f'{served} of {len(posts)} jobs accepted'
            )
