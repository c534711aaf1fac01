"""Commit rows conditionally and tolerate lost answers.

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
"""Delay before a second copy of an unanswered commit is sent, so that a lost
answer does not cost a whole timeout."""

REFUSED_RETRY_DELAYS_MS = (60, 120, 200)
"""Delays between retries of a commit that the store refused."""

IN_DOUBT_LIMIT_MS = 1_800
"""How long a commit in doubt is retried before an error is raised."""

ATTEMPT_TIMEOUT_MS = 1_500


@dataclasses.dataclass(slots=True)
class Attempt:
    """The outcome of a commit and its resent copy.

    If ``result`` is None, ``is_in_doubt`` tells whether the commit may have
    been applied or may still be, and ``error`` describes the last failure.
    """

    result: store.CommitResult | None = None
    is_in_doubt: bool = False
    error: str = ''


async def try_commit(
    kernel: core.Kernel,
    message: store.CommitRows,
    wait_ms: int = ATTEMPT_TIMEOUT_MS,
) -> Attempt:
    """Send a commit, and a second copy if the answer takes too long.

    Return on the first usable answer, once every copy that was sent has
    failed, or after ``wait_ms`` milliseconds.
    """
    attempt = Attempt()
    done: defer.Deferred[None] = defer.Deferred()
    open_calls = [0]

    def finish() -> None:
        if not done.called:
            done.callback(None)

    def on_result(result: Any) -> None:
        attempt.result = attempt.result or result
        finish()

    def on_error(reason: Any) -> None:
        verdict = getattr(reason.value, 'verdict', core.Verdict.MAY_HAVE_RUN)
        if verdict is not core.Verdict.DID_NOT_RUN:
            attempt.is_in_doubt = True
        attempt.error = str(reason.value)
        open_calls[0] -= 1
        if not open_calls[0]:
            finish()

    def send() -> None:
        if not done.called:
            open_calls[0] += 1
            fut = kernel.ask(store.SERVICE, message)
            fut.addCallbacks(on_result, on_error)

    def on_timeout() -> None:
        if not done.called:
            attempt.is_in_doubt = True
            attempt.error = 'no answer in time'
            finish()

    timers = [
        kernel.clock.call_later(RESEND_AFTER_MS, send),
        kernel.clock.call_later(max(0, wait_ms), on_timeout),
    ]
    send()
    await done
    for timer in timers:
        timer.cancel()
    return attempt


async def insert(
    kernel: core.Kernel,
    table: str,
    part: str,
    put: store.Put,
    deadline_ms: int,
) -> bool:
    """Insert a row; return False if it already existed.

    Raises JobNotStoredError if the store refused every attempt, and
    JobInDoubtError if an answer was lost and no retry could tell whether the
    row was stored.
    """
    message = store.CommitRows(
        table=table,
        part=part,
        checks=(store.Check(key=put.key, version=0),),
        puts=(put,),
    )
    clock = kernel.clock
    end_ms = min(deadline_ms, clock.now() + IN_DOUBT_LIMIT_MS)
    is_in_doubt = False
    tries = 0
    while True:
        attempt = await try_commit(kernel, message, end_ms - clock.now())
        is_in_doubt = is_in_doubt or attempt.is_in_doubt
        if attempt.result is not None:
            return attempt.result.is_applied
        if clock.now() >= end_ms:
            break
        if not is_in_doubt and tries >= len(REFUSED_RETRY_DELAYS_MS):
            break
        await kernel.sleep(_retry_delay(REFUSED_RETRY_DELAYS_MS, tries))
        tries += 1
    if is_in_doubt:
        raise jobs.JobInDoubtError('the store did not answer')
    raise jobs.JobNotStoredError(
        'the store refused the write', why=attempt.error
    )


def _retry_delay(delays: Sequence[int], tries: int) -> int:
    """Return the delay before the next retry; the last one repeats."""
    return delays[min(tries, len(delays) - 1)]
