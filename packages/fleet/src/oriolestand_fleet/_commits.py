"""Commit rows conditionally and retry when a response is lost.

A commit may be sent several times; its version checks ensure that it is
applied at most once.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store

RESEND_AFTER_MS = 350
"""Delay before a second copy of a commit without a response is sent, so that a
lost response does not cost a whole timeout."""

RETRY_DELAYS_MS = (60, 120, 200)
"""Delays before retries of a commit. A refused commit is retried once after
each delay. A commit in doubt is retried until ``IN_DOUBT_LIMIT_MS`` or its
deadline has passed; the last delay then repeats."""

IN_DOUBT_LIMIT_MS = 1_800
"""How long a commit in doubt is retried before an error is raised."""

ATTEMPT_TIMEOUT_MS = 1_500


@dataclasses.dataclass(slots=True)
class CommitOutcome:
    """The outcome of a commit and its resent copy.

    If ``result`` is None, ``is_in_doubt`` tells whether the commit may have
    been applied, or may yet be applied, and ``error`` describes the last
    failure.
    """

    result: store.CommitResult | None = None
    is_in_doubt: bool = False
    error: str = ''


async def try_commit(
    kernel: core.Kernel,
    message: store.CommitRows,
    wait_ms: int = ATTEMPT_TIMEOUT_MS,
) -> CommitOutcome:
    """Send a commit, and a second copy if the response takes too long.

    Return when a response arrives, when all copies sent so far have failed,
    or after ``wait_ms`` milliseconds.
    """
    outcome = CommitOutcome()
    end_ms = kernel.clock.now() + wait_ms
    done: defer.Deferred[None] = defer.Deferred()
    pending_copies = [0]

    def finish() -> None:
        if not done.called:
            done.callback(None)

    def on_result(result: Any) -> None:
        outcome.result = outcome.result or result
        finish()

    def on_error(reason: Any) -> None:
        verdict = getattr(reason.value, 'verdict', core.Verdict.MAY_HAVE_RUN)
        if verdict is not core.Verdict.DID_NOT_RUN:
            outcome.is_in_doubt = True
        outcome.error = str(reason.value)
        pending_copies[0] -= 1
        if not pending_copies[0]:
            finish()

    def send() -> None:
        # After a pause of the process, both timers may be due: a copy that is
        # sent then could be applied long after the caller was answered.
        if not done.called and (
            not pending_copies[0] or kernel.clock.now() < end_ms
        ):
            pending_copies[0] += 1
            fut = kernel.ask(store.SERVICE, message)
            fut.addCallbacks(on_result, on_error)

    def on_timeout() -> None:
        # After a pause of the process, a response may have been received but
        # not read yet. The reactor reads after it has called due timers.
        timers.append(kernel.clock.call_later(0, on_expiry))

    def on_expiry() -> None:
        if not done.called:
            outcome.is_in_doubt = True
            outcome.error = 'no answer in time'
            finish()

    timers = [
        kernel.clock.call_later(RESEND_AFTER_MS, send),
        kernel.clock.call_later(max(0, wait_ms), on_timeout),
    ]
    send()
    await done
    for timer in timers:
        timer.cancel()
    return outcome


async def insert_job_rows(
    kernel: core.Kernel,
    table: str,
    part: str,
    puts: Sequence[store.Put],
    deadline_ms: int,
    expected_version: int = 0,
) -> store.CommitResult:
    """Insert rows of a job if the first has a version, usually 0.

    If it has another one, the result holds the present row, unless that was
    removed; an earlier copy of the commit may have written it. ``part`` is
    the partition of the table that holds the rows. Nothing is sent once the
    deadline has passed, as after a pause of the process.

    Raises JobInDoubtError if the store refused every attempt, or if a
    response was lost and no retry could determine whether the row was stored.
    """
    clock = kernel.clock
    if clock.now() >= deadline_ms:
        raise jobs.JobInDoubtError('the deadline has passed')
    end_ms = min(deadline_ms, clock.now() + IN_DOUBT_LIMIT_MS)
    message = store.CommitRows(
        table=table,
        part=part,
        checks=(store.Check(key=puts[0].key, version=expected_version),),
        puts=tuple(puts),
        send_by_ms=end_ms,
    )
    is_in_doubt = False
    retry_count = 0
    while True:
        outcome = await try_commit(kernel, message, end_ms - clock.now())
        is_in_doubt = is_in_doubt or outcome.is_in_doubt
        if outcome.result is not None:
            return outcome.result
        if clock.now() >= end_ms:
            break
        if not is_in_doubt and retry_count >= len(RETRY_DELAYS_MS):
            break
        await kernel.sleep(_retry_delay(RETRY_DELAYS_MS, retry_count))
        if clock.now() >= end_ms:
            break
        retry_count += 1
    if is_in_doubt:
        raise jobs.JobInDoubtError('the store did not answer')
    raise jobs.JobInDoubtError(
        'the store refused the write', why=outcome.error
    )


def _retry_delay(delays: Sequence[int], retry_count: int) -> int:
    """Return the delay before the next retry; the last delay repeats."""
    return delays[min(retry_count, len(delays) - 1)]
