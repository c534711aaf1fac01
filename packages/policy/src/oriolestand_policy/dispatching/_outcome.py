"""Define the outcome of an attempt to serve a request."""

import dataclasses

import oriolestand_core as core


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of one attempt to serve a request.

    ``answered`` is set if part of a response went to the caller, after
    which no retry is possible. ``is_final`` rules out a retry for another
    reason: part of the request body may be consumed, or the caller no
    longer waits for the response. ``slot_held_until`` is set if the
    upstream may still run the request; the slot is released only then.
    """

    verdict: core.Verdict
    error: core.OriolestandError | None = None
    answered: bool = False
    is_final: bool = False
    latency_ms: float = 0.0
    slot_held_until: core.Millis | None = None
    upstream_failed: bool = False
