"""Reach workers over HTTP with JSON bodies."""

import io
from typing import Any

import pydantic
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers

from oriolestand_platform import _errors
from oriolestand_platform import _workers

PATH = '/_worker'
MILLIS_PER_SECOND = 1000


class HttpWorkers:
    """Post requests to workers, on one kept connection for each.

    :param timeout_ms: after this an answer counts as lost.
    """

    def __init__(self, reactor: Any, timeout_ms: int) -> None:
        self._reactor = reactor
        self._timeout = timeout_ms / MILLIS_PER_SECOND
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = 1
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, pool=self._pool, connectTimeout=self._timeout
        )

    async def call(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Send a request to a worker, or raise WorkerUnreachableError."""
        body: Any = client.FileBodyProducer(
            io.BytesIO(request.model_dump_json().encode())
        )
        fut = self._agent.request(
            b'POST',
            f'http://{address}{PATH}'.encode('ascii'),
            http_headers.Headers({b'content-type': [b'application/json']}),
            body,
        )
        fut.addCallback(_read)
        fut.addTimeout(self._timeout, self._reactor)
        try:
            status, data = await fut
        except (error.ConnectError, client.RequestNotSent) as exc:
            raise _errors.WorkerUnreachableError(
                'the worker cannot be reached',
                address=address,
                reason=str(exc),
            ) from exc
        except Exception as exc:
            raise _errors.WorkerTimeoutError(
                'the answer of the worker was lost',
                address=address,
                reason=repr(exc),
            ) from exc
        if status != http.OK:
            raise _errors.WorkerTimeoutError(
                'the worker refused the request',
                address=address,
                status=status,
            )
        try:
            return _workers.WorkerReply.model_validate_json(data)
        except pydantic.ValidationError as exc:
            raise _errors.WorkerTimeoutError(
                'the answer of the worker is malformed',
                address=address,
                reason=str(exc),
            ) from exc

    def close(self) -> object:
        """Close idle connections."""
        return self._pool.closeCachedConnections()


def _read(response: Any) -> 'defer.Deferred[tuple[int, bytes]]':
    """Collect the whole body of a response."""
    fut = client.readBody(response)
    return fut.addCallback(lambda body: (response.code, body))
