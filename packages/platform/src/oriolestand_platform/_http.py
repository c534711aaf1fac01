"""Implement the platform client over HTTP with JSON bodies."""

from collections.abc import Sequence
import json
from typing import Any
from typing import TypeVar
from urllib import parse

import pydantic
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http

import oriolestand_core as core
from oriolestand_platform import _client
from oriolestand_platform import _errors
from oriolestand_platform import _http_workers
from oriolestand_platform import _models
from oriolestand_platform import _transport
from oriolestand_platform import _workers

Model = TypeVar('Model', bound=pydantic.BaseModel)

DEFAULT_TIMEOUT_MS = 1_000
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_OBJECT_BYTES = 64 * 1024 * 1024


class HttpPlatform(_client.PlatformClient):
    """Access the platform over its HTTP API.

    :param reactor: the Twisted reactor.
    :param base_url: URL of the platform, such as ``http://127.0.0.1:7000``.
    :param timeout_ms: limit for a whole exchange, after which the response
        counts as lost.
    """

    def __init__(
        self,
        reactor: Any,
        base_url: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> None:
        self._workers = _http_workers.HttpWorkers(reactor, timeout_ms)
        self._transport = _transport.HttpTransport(
            reactor, base_url, timeout_ms
        )
        self._cached_list = _models.InstanceList(as_of_ms=0)

    async def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row, or None when the key does not exist."""
        path = f'/tables/{_quote(table)}/{_quote(key)}'
        body = await self._call('GET', path)
        if body is None:
            return None
        row = _parse(_models.Row, body)
        if (row.table, row.key) != (table, key):
            raise _malformed_response('the response contains a different row')
        return row

    async def scan(
        self, table: str, prefix: str = ''
    ) -> Sequence[_models.Row]:
        """Return the rows whose keys start with ``prefix``, sorted by key."""
        path = f'/tables/{_quote(table)}?prefix={_quote(prefix)}'
        rows = _parse(_ScanResponse, await self._call('GET', path)).rows
        if any(
            row.table != table or not row.key.startswith(prefix)
            for row in rows
        ):
            raise _malformed_response(
                'the response contains rows that were not requested'
            )
        return rows

    async def commit(
        self, transaction: _models.Transaction
    ) -> _models.TransactionResult:
        """Apply a transaction, or return the rows that conflict with it."""
        data = transaction.model_dump_json().encode()
        body = await self._call('POST', '/transactions', data)
        return _parse(
            _models.TransactionResult, body, core.Verdict.MAY_HAVE_RUN
        )

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, or None when the key does not exist."""
        path = f'/objects/{_quote(key)}'
        return await self._call('GET', path, limit=MAX_OBJECT_BYTES)

    async def write_object(self, key: str, data: bytes) -> None:
        """Create or replace an object."""
        await self._call('PUT', f'/objects/{_quote(key)}', data)

    async def list_instances(self) -> _models.InstanceList:
        """Return the instance list, which lags behind the platform's state.

        The request contains the digest of the cached list. While that is
        current, the platform omits the instances from the response.
        """
        path = f'/instances?known={_quote(self._cached_list.digest)}'
        listed = _parse(_models.InstanceList, await self._call('GET', path))
        if listed.is_unchanged:
            if listed.digest != self._cached_list.digest:
                raise _malformed_response(
                    'the unchanged list has an unknown digest'
                )
            listed = self._cached_list.model_copy(
                update={'as_of_ms': listed.as_of_ms}
            )
        self._cached_list = listed
        return listed

    async def call_worker(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Send a request to the worker at an address."""
        return await self._workers.call(address, request)

    def close(self) -> object:
        """Close idle connections."""
        self._workers.close()
        return self._transport.close()

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        limit: int = MAX_RESPONSE_BYTES,
    ) -> bytes | None:
        """Return the body of the response, or None if a read found nothing.

        A read has no effect, so its errors always have the verdict
        ``did_not_run``, even if the response was lost.
        """
        lost_verdict = core.Verdict.MAY_HAVE_RUN
        if method == 'GET':
            lost_verdict = core.Verdict.DID_NOT_RUN
        try:
            response = await self._transport.send(method, path, data, limit)
        except (error.ConnectError, client.RequestNotSent) as exc:
            raise _errors.StoreUnavailableError(
                'the platform cannot be reached', reason=str(exc)
            ) from exc
        except _transport.ResponseTooLongError as exc:
            raise _malformed_response(
                'the response exceeds the size limit', lost_verdict
            ) from exc
        except (
            _transport.IncompleteBodyError,
            client.ResponseFailed,
            client.RequestGenerationFailed,
            defer.CancelledError,
            defer.TimeoutError,
            error.ConnectionClosed,
        ) as exc:
            raise _errors.StoreTimeoutError(
                'the response of the platform was lost',
                lost_verdict,
                reason=repr(exc),
            ) from exc
        return _check_status(method, response, lost_verdict)


def _check_status(
    method: str, response: _transport.HttpResponse, lost_verdict: core.Verdict
) -> bytes | None:
    """Return the body, or None if a read found nothing; raise on errors."""
    status = response.status
    if status == http.OK:
        return response.body
    if status == http.NOT_FOUND and method == 'GET':
        return None
    if status == http.SERVICE_UNAVAILABLE:
        raise _errors.StoreUnavailableError(
            'the platform refused the request', status=status
        )
    if status >= http.INTERNAL_SERVER_ERROR:
        raise _errors.StoreFailedError(
            'the platform reported an internal error',
            lost_verdict,
            status=status,
        )
    if status >= http.BAD_REQUEST:
        raise _errors.StoreRefusedError(
            'the platform rejected the request as invalid', status=status
        )
    raise _malformed_response(
        'the response has an unexpected status', lost_verdict
    )


class _ScanResponse(pydantic.BaseModel):
    """Response of a scan."""

    rows: tuple[_models.Row, ...]


def _quote(text: str) -> str:
    """Percent-encode a path segment or query value."""
    return parse.quote(text, safe='')


def _malformed_response(
    reason: str, verdict: core.Verdict = core.Verdict.DID_NOT_RUN
) -> _errors.MalformedResponseError:
    """Return the error for a response that violates the protocol."""
    return _errors.MalformedResponseError(
        'the response of the platform is malformed', verdict, reason=reason
    )


def _parse(
    model: type[Model],
    body: bytes | None,
    verdict: core.Verdict = core.Verdict.DID_NOT_RUN,
) -> Model:
    """Decode and validate a body, or raise MalformedResponseError."""
    try:
        return model.model_validate(json.loads(body or b''))
    except (ValueError, RecursionError) as exc:
        raise _malformed_response(str(exc)[:200], verdict) from exc
