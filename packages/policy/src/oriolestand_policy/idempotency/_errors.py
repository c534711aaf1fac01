"""Define the errors for requests that repeat an idempotency key."""

import oriolestand_core as core


class KeyReusedError(core.OriolestandError):
    """Raised when a key is reused with another method, target or body."""

    code = 'key_reused'
    http_status = 422


class DuplicateRequestError(core.OriolestandError):
    """Raised when a request with the same key was sent before.

    The verdict is that of the first request.
    """

    code = 'duplicate_request'
    http_status = 409
