"""Define the errors of requests whose key was seen before."""

import oriolestand_core as core


class KeyReusedError(core.OriolestandError):
    """Raise when a key comes with another method, target or body."""

    code = 'key_reused'
    http_status = 422


class DuplicateRequestError(core.OriolestandError):
    """Raise when a request with the same key was sent before.

    The verdict is that of the first request.
    """

    code = 'duplicate_request'
    http_status = 409
