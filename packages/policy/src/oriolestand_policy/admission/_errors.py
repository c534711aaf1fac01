"""Define the errors for requests that are not admitted."""

import oriolestand_core as core


class OverloadedError(core.OriolestandError):
    """Raised when a request is shed because it would wait too long.

    ``retry_after_ms`` is the delay in milliseconds after which a retry is
    likely to succeed.
    """

    code = 'overloaded'
    http_status = 503


class DeadlineExceededError(core.OriolestandError):
    """Raised when the deadline of a request passed before it was sent."""

    code = 'deadline_exceeded'
    http_status = 504
