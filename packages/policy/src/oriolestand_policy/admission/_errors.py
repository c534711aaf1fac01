"""Define the errors of requests that are not admitted."""

import oriolestand_core as core


class OverloadedError(core.OriolestandError):
    """Raise when a pool has neither a free slot nor room in its queue."""

    code = 'overloaded'
    http_status = 503


class DeadlineExceededError(core.OriolestandError):
    """Raise when a request's deadline passed before it was sent."""

    code = 'deadline_exceeded'
    http_status = 504
