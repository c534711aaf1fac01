"""Define how an attempt to serve a request ended."""

import dataclasses

import oriolestand_core as core


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Say how one attempt ended.

    ``answered`` says whether a part of an answer went to the caller, after
    which no retry is possible. ``is_final`` forbids a retry for another
    reason: a part of the request's body may be consumed, or nobody waits
    for the response any more. ``slot_held_until`` is set when the upstream
    may still run the request; the slot is free only then.
    """

    verdict: core.Verdict
    error: core.OriolestandError | None = None
    answered: bool = False
    is_final: bool = False
    latency_ms: float = 0.0
    slot_held_until: core.Millis | None = None
    upstream_failed: bool = False
