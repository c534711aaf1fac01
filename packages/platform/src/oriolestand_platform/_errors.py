"""Define the errors of the platform's services."""

import oriolestand_core as core


class StoreUnavailableError(core.OriolestandError):
    """Raise when the platform's store refused or could not be reached.

    All failures of a call to the platform are of this class; the verdict
    tells whether a write may have taken effect. A failed read has always
    the verdict ``did_not_run``.
    """

    code = 'store_unavailable'
    http_status = 503


class StoreTimeoutError(StoreUnavailableError):
    """Raise when no answer came in time; a write may have taken effect."""

    code = 'store_timeout'
    verdict = core.Verdict.MAY_HAVE_RUN


class WorkerUnreachableError(core.OriolestandError):
    """Raise when a worker certainly did not get a request."""

    code = 'worker_unreachable'
    http_status = 503


class WorkerTimeoutError(WorkerUnreachableError):
    """Raise when no usable answer came; the request may have acted."""

    code = 'worker_timeout'
    verdict = core.Verdict.MAY_HAVE_RUN


class StoreFailedError(StoreUnavailableError):
    """Raise when the platform reported a fault of its own."""

    code = 'store_failed'
    verdict = core.Verdict.MAY_HAVE_RUN


class StoreRefusedError(StoreUnavailableError):
    """Raise when the platform found a request to be wrong."""

    code = 'store_refused'
    http_status = 502


class ConflictError(core.OriolestandError):
    """Raise when a row was not at the version that a write expected."""

    code = 'conflict'
    http_status = 409


class MalformedAnswerError(StoreUnavailableError):
    """Raise when an answer of the platform does not match its protocol."""

    code = 'malformed_answer'
    verdict = core.Verdict.MAY_HAVE_RUN
