"""Commit rows under conditions in spite of lost answers.

A commit may be sent several times: its checks let only one be applied.
"""

from collections.abc import Sequence
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import store

REPEAT_AFTER_MS = 350
"""A commit without an answer is sent again beside the first one, as a lost
answer would otherwise cost a whole timeout."""

REFUSED_RETRY_MS = (60, 120, 200)
"""Pauses before a commit that the store refused is tried again."""

IN_DOUBT_MS = 1_800
"""How long a commit in doubt is repeated before the caller is told."""

ATTEMPT_MS = 1_500


@dataclasses.dataclass(slots=True)
class Attempt:
    """Hold what became of a commit and its repeat.

    Without a result, ``is_in_doubt`` tells whether it may be applied yet.
    """

    result: store.CommitResult | None = None
    is_in_doubt: bool = False
    why: str = ''


async def try_commit(
    kernel: core.Kernel,
    message: store.CommitRows,
    wait_ms: int = ATTEMPT_MS,
) -> Attempt:
    """Send a commit, and once more when the answer takes long.

    Return with the first usable answer, when all that was sent has failed,
    or after ``wait_ms``.
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
        attempt.why = str(reason.value)
        open_calls[0] -= 1
        if not open_calls[0]:
            finish()

    def send() -> None:
        if not done.called:
            open_calls[0] += 1
            fut = kernel.ask(store.SERVICE, message)
            fut.addCallbacks(on_result, on_error)

    def give_up() -> None:
        if not done.called:
            attempt.is_in_doubt = True
            attempt.why = 'no answer in time'
            finish()

    timers = [
        kernel.clock.call_later(REPEAT_AFTER_MS, send),
        kernel.clock.call_later(max(0, wait_ms), give_up),
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
    """Insert a row; return False if it was there before.

    Raises JobNotStoredError if the store refused every attempt, and
    JobInDoubtError if an answer was lost and no repeat could settle it.
    """
    message = store.CommitRows(
        table=table,
        part=part,
        checks=(store.Check(key=put.key, version=0),),
        puts=(put,),
    )
    clock = kernel.clock
    end_ms = min(deadline_ms, clock.now() + IN_DOUBT_MS)
    is_in_doubt = False
    tries = 0
    while True:
        attempt = await try_commit(kernel, message, end_ms - clock.now())
        is_in_doubt = is_in_doubt or attempt.is_in_doubt
        if attempt.result is not None:
            return attempt.result.is_applied
        if clock.now() >= end_ms:
            break
        if not is_in_doubt and tries >= len(REFUSED_RETRY_MS):
            break
        await kernel.sleep(_pause(REFUSED_RETRY_MS, tries))
        tries += 1
    if is_in_doubt:
        raise jobs.JobInDoubtError('the store did not answer')
    raise jobs.JobNotStoredError('the store refuses writes', why=attempt.why)


def _pause(pauses: Sequence[int], tries: int) -> int:
    """Return the pause after a number of tries; the last one repeats."""
    return pauses[min(tries, len(pauses) - 1)]
