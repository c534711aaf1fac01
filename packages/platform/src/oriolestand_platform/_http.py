"""Reach the platform over HTTP with JSON bodies."""

from collections.abc import Sequence
import io
import json
from typing import Any
from typing import TypeVar
from urllib import parse

import pydantic
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb

from oriolestand_platform import _client
from oriolestand_platform import _errors
from oriolestand_platform import _http_workers
from oriolestand_platform import _models
from oriolestand_platform import _workers

Model = TypeVar('Model', bound=pydantic.BaseModel)

DEFAULT_TIMEOUT_MS = 1_000
MAX_CONNECTIONS = 4
MILLIS_PER_SECOND = 1000


class HttpPlatform(_client.PlatformClient):
    """Speak the platform's HTTP protocol.

    :param reactor: the Twisted reactor.
    :param base_url: such as ``http://127.0.0.1:7000``.
    :param timeout_ms: after this an answer counts as lost.
    """

    def __init__(
        self,
        reactor: Any,
        base_url: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip('/')
        self._timeout = timeout_ms / MILLIS_PER_SECOND
        self._workers = _http_workers.HttpWorkers(reactor, timeout_ms)
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        # A repeat must be the caller's decision: a write may have run.
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, pool=self._pool, connectTimeout=self._timeout
        )

    async def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row or None."""
        path = f'/tables/{_quote(table)}/{_quote(key)}'
        status, body = await self._call('GET', path)
        if status == http.NOT_FOUND:
            return None
        return _parse(_models.Row, body)

    async def scan(
        self, table: str, prefix: str = ''
    ) -> Sequence[_models.Row]:
        """Return the rows of a table by key."""
        path = f'/tables/{_quote(table)}?prefix={_quote(prefix)}'
        _, body = await self._call('GET', path)
        return _parse(_Rows, body).rows

    async def commit(
        self, transaction: _models.Transaction
    ) -> _models.TransactionResult:
        """Apply a transaction."""
        data = transaction.model_dump_json().encode()
        _, body = await self._call('POST', '/transactions', data)
        return _parse(_models.TransactionResult, body)

    async def read_object(self, key: str) -> bytes | None:
        """Return an object's bytes or None."""
        status, body = await self._call('GET', f'/objects/{_quote(key)}')
        return None if status == http.NOT_FOUND else body

    async def write_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        await self._call('PUT', f'/objects/{_quote(key)}', data)

    async def list_instances(self) -> _models.InstanceList:
        """Return the platform's lagging instance list."""
        _, body = await self._call('GET', '/instances')
        return _parse(_models.InstanceList, body)

    async def call_worker(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Send one request to a worker."""
        return await self._workers.call(address, request)

    def close(self) -> object:
        """Close idle connections."""
        self._workers.close()
        return self._pool.closeCachedConnections()

    async def _call(
        self, method: str, path: str, data: bytes | None = None
    ) -> tuple[int, bytes]:
        """Return status and body, or raise an error with its verdict."""
        producer: Any = None
        if data is not None:
            producer = client.FileBodyProducer(io.BytesIO(data))
        url = f'{self._base_url}{path}'.encode('ascii')
        fut = self._agent.request(
            method.encode('ascii'),
            url,
            http_headers.Headers({b'content-type': [b'application/json']}),
            producer,
        )
        fut.addCallback(self._read_body)
        fut.addTimeout(self._timeout, self._reactor)
        try:
            status, body = await fut
        except (
            error.ConnectError,
            client.RequestNotSent,
        ) as exc:
            raise _errors.StoreUnavailableError(
                'the platform cannot be reached', reason=str(exc)
            ) from exc
        except Exception as exc:
            raise _errors.StoreTimeoutError(
                'the answer of the platform was lost', reason=repr(exc)
            ) from exc
        if status >= http.INTERNAL_SERVER_ERROR:
            raise _errors.StoreUnavailableError(
                'the platform refused the request', status=status
            )
        return status, body

    def _read_body(
        self, response: iweb.IResponse
    ) -> 'defer.Deferred[tuple[int, bytes]]':
        """Collect the whole body of a response."""
        fut = client.readBody(response)
        return fut.addCallback(lambda body: (response.code, body))


class _Rows(pydantic.BaseModel):
    """Hold the answer of a scan."""

    rows: tuple[_models.Row, ...]


def _quote(text: str) -> str:
    """Encode a path segment."""
    return parse.quote(text, safe='')


def _parse(model: type[Model], body: bytes) -> Model:
    """Validate a body, or raise MalformedAnswerError."""
    try:
        return model.model_validate(json.loads(body))
    except ValueError as exc:
        raise _errors.MalformedAnswerError(
            'the answer of the platform is malformed', reason=str(exc)
        ) from exc
