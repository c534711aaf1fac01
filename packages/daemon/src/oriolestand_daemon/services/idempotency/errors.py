"""Define the errors of the idempotency service."""

import oriolestand_core as core


class KeyNotRecordedError(core.OriolestandError):
    """Raise when the store cannot record a key, so that nothing ran."""

    code = 'store_unavailable'
    http_status = 503


class BadKeyError(core.OriolestandError):
    """Raise when an idempotency key is too long."""

    code = 'bad_request'
    http_status = 400


class MalformedRowError(core.OriolestandError):
    """Raise when a row of the table of keys cannot be read."""

    code = 'malformed_row'
