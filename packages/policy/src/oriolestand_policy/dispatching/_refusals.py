"""Build and detect refusals of requests."""

from oriolestand_policy import admission
from oriolestand_policy.dispatching import _effects
from oriolestand_policy.dispatching import _outcome


def is_refusal(outcome: _outcome.Outcome) -> bool:
    """Return whether a peer refused a request without attempting it."""
    return (
        outcome.error is not None
        and outcome.verdict.is_safe_to_retry
        and not outcome.upstream_failed
        and not outcome.answered
    )


def refuse_expired(ticket: admission.Ticket) -> _effects.Fail:
    """Return the refusal of a request whose deadline has passed."""
    error = admission.DeadlineExceededError(
        'the deadline passed before a slot was free', pool=ticket.pool
    )
    return _effects.Fail(ticket=ticket, error=error)
