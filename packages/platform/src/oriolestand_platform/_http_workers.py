"""Send requests to workers over HTTP with JSON bodies."""

from typing import Any

import pydantic
from twisted.internet import error
from twisted.web import client
from twisted.web import http

from oriolestand_platform import _errors
from oriolestand_platform import _transport
from oriolestand_platform import _workers

WORKER_PATH = '/_worker'
MAX_RESPONSE_BYTES = 1024 * 1024


class HttpWorkers:
    """Send requests to workers, with a connection pool for each worker.

    :param timeout_ms: limit for a whole exchange, after which the response
        counts as lost.
    """

    def __init__(self, reactor: Any, timeout_ms: int) -> None:
        self._reactor = reactor
        self._timeout_ms = timeout_ms
        self._transports: dict[str, _transport.HttpTransport] = {}

    async def call(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Return a worker's reply, or raise WorkerUnreachableError."""
        transport = self._transports.get(address)
        if transport is None:
            transport = self._transports[address] = _transport.HttpTransport(
                self._reactor, f'http://{address}', self._timeout_ms
            )
        data = request.model_dump_json().encode()
        try:
            response = await transport.send(
                'POST', WORKER_PATH, data, MAX_RESPONSE_BYTES
            )
        except (error.ConnectError, client.RequestNotSent) as exc:
            raise _errors.WorkerUnreachableError(
                'the worker cannot be reached',
                address=address,
                reason=str(exc),
            ) from exc
        except Exception as exc:
            raise _errors.WorkerTimeoutError(
                'the response of the worker was lost',
                address=address,
                reason=repr(exc),
            ) from exc
        if response.status != http.OK:
            raise _errors.WorkerTimeoutError(
                'the worker refused the request',
                address=address,
                status=response.status,
            )
        try:
            return _workers.WorkerReply.model_validate_json(response.body)
        except pydantic.ValidationError as exc:
            raise _errors.WorkerTimeoutError(
                'the response of the worker is malformed',
                address=address,
                reason=str(exc),
            ) from exc

    def close(self) -> None:
        """Close idle connections."""
        for transport in self._transports.values():
            transport.close()
        self._transports.clear()
