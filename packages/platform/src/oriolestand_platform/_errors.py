"""Define the errors of calls to the platform and its workers."""

import oriolestand_core as core


class StoreUnavailableError(core.OriolestandError):
    """Raised when the platform is unreachable or refuses a request.

    Base class of the errors of calls to the platform's store. The verdict
    tells whether a write may have taken effect; it is always
    ``did_not_run`` for reads.
    """

    code = 'store_unavailable'
    http_status = 503


class StoreTimeoutError(StoreUnavailableError):
    """Raised when no complete response arrived; a write may have run."""

    code = 'store_timeout'
    verdict = core.Verdict.MAY_HAVE_RUN


class WorkerUnreachableError(core.OriolestandError):
    """Raised when a worker certainly did not receive a request."""

    code = 'worker_unreachable'
    http_status = 503


class WorkerTimeoutError(WorkerUnreachableError):
    """Raised when no valid response arrived from a worker.

    The request may have taken effect.
    """

    code = 'worker_timeout'
    verdict = core.Verdict.MAY_HAVE_RUN


class StoreFailedError(StoreUnavailableError):
    """Raised when the platform reports an internal error."""

    code = 'store_failed'
    verdict = core.Verdict.MAY_HAVE_RUN


class StoreRefusedError(StoreUnavailableError):
    """Raised when the platform rejects a request as invalid."""

    code = 'store_refused'
    http_status = 502


class ConflictError(core.OriolestandError):
    """Raised when a row is not at the version that a write expects."""

    code = 'conflict'
    http_status = 409


class MalformedResponseError(StoreUnavailableError):
    """Raised when a response of the platform violates its protocol."""

    code = 'malformed_answer'
    verdict = core.Verdict.MAY_HAVE_RUN
