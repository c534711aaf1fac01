"""Define the errors of requests that are not admitted."""

import oriolestand_core as core


class OverloadedError(core.OriolestandError):
    """Raise when a request would wait too long.

    The value ``retry_after_ms`` says when a repeat is likely to succeed.
    """

    code = 'overloaded'
    http_status = 503


class DeadlineExceededError(core.OriolestandError):
    """Raise when a request's deadline passed before it was sent."""

    code = 'deadline_exceeded'
    http_status = 504
