"""Errors of the idempotency service."""

import oriolestand_core as core


class KeyNotRecordedError(core.OriolestandError):
    """Raised when a key cannot be stored; the request did not run."""

    code = 'store_unavailable'
    http_status = 503


class BadKeyError(core.OriolestandError):
    """Raised when an idempotency key is too long."""

    code = 'bad_request'
    http_status = 400


class MalformedRowError(core.OriolestandError):
    """Raised when the stored row of an idempotency key cannot be parsed."""

    code = 'malformed_row'
