"""Reach the platform over HTTP with JSON bodies."""

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
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_OBJECT_BYTES = 64 * 1024 * 1024


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
        self._workers = _http_workers.HttpWorkers(reactor, timeout_ms)
        self._transport = _transport.HttpTransport(
            reactor, base_url, timeout_ms
        )
        self._listed = _models.InstanceList(as_of_ms=0)

    async def read(self, table: str, key: str) -> _models.Row | None:
        """Return a row or None."""
        path = f'/tables/{_quote(table)}/{_quote(key)}'
        body = await self._call('GET', path)
        if body is None:
            return None
        row = _parse(_models.Row, body)
        if (row.table, row.key) != (table, key):
            raise _malformed('the answer holds another row')
        return row

    async def scan(
        self, table: str, prefix: str = ''
    ) -> Sequence[_models.Row]:
        """Return the rows of a table by key."""
        path = f'/tables/{_quote(table)}?prefix={_quote(prefix)}'
        rows = _parse(_Rows, await self._call('GET', path)).rows
        if any(
            row.table != table or not row.key.startswith(prefix)
            for row in rows
        ):
            raise _malformed('the answer holds other rows')
        return rows

    async def commit(
        self, transaction: _models.Transaction
    ) -> _models.TransactionResult:
        """Apply a transaction."""
        data = transaction.model_dump_json().encode()
        body = await self._call('POST', '/transactions', data)
        return _parse(
            _models.TransactionResult, body, core.Verdict.MAY_HAVE_RUN
        )

    async def read_object(self, key: str) -> bytes | None:
        """Return an object's bytes or None."""
        path = f'/objects/{_quote(key)}'
        return await self._call('GET', path, limit=MAX_OBJECT_BYTES)

    async def write_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        await self._call('PUT', f'/objects/{_quote(key)}', data)

    async def list_instances(self) -> _models.InstanceList:
        """Return the platform's lagging instance list."""
        path = f'/instances?known={_quote(self._listed.digest)}'
        listed = _parse(_models.InstanceList, await self._call('GET', path))
        if listed.is_unchanged:
            if listed.digest != self._listed.digest:
                raise _malformed('the list that is unchanged is not known')
            listed = self._listed.model_copy(
                update={'as_of_ms': listed.as_of_ms}
            )
        self._listed = listed
        return listed

    async def call_worker(
        self, address: str, request: _workers.WorkerRequest
    ) -> _workers.WorkerReply:
        """Send one request to a worker."""
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
        limit: int = MAX_ANSWER_BYTES,
    ) -> bytes | None:
        """Return the body, None for 404, or raise with the verdict.

        A lost answer to a read is ``did_not_run``, as a read has no effect.
        """
        lost = core.Verdict.MAY_HAVE_RUN
        if method == 'GET':
            lost = core.Verdict.DID_NOT_RUN
        try:
            answer = await self._transport.send(method, path, data, limit)
        except (error.ConnectError, client.RequestNotSent) as exc:
            raise _errors.StoreUnavailableError(
                'the platform cannot be reached', reason=str(exc)
            ) from exc
        except _transport.AnswerTooLongError as exc:
            raise _malformed('the answer is too long', lost) from exc
        except (
            _transport.BodyLostError,
            client.ResponseFailed,
            client.RequestGenerationFailed,
            defer.CancelledError,
            defer.TimeoutError,
            error.ConnectionClosed,
        ) as exc:
            raise _errors.StoreTimeoutError(
                'the answer of the platform was lost', lost, reason=repr(exc)
            ) from exc
        return _check_status(method, answer, lost)


def _check_status(
    method: str, answer: _transport.Answer, lost: core.Verdict
) -> bytes | None:
    """Return the body of a success, None for 404 to a read, or raise."""
    status = answer.status
    if status == http.OK:
        return answer.body
    if status == http.NOT_FOUND and method == 'GET':
        return None
    if status == http.SERVICE_UNAVAILABLE:
        raise _errors.StoreUnavailableError(
            'the platform refused the request', status=status
        )
    if status >= http.INTERNAL_SERVER_ERROR:
        raise _errors.StoreFailedError(
            'the platform failed', lost, status=status
        )
    if status >= http.BAD_REQUEST:
        raise _errors.StoreRefusedError(
            'the platform found the request to be wrong', status=status
        )
    raise _malformed('the status is not of the protocol', lost)


class _Rows(pydantic.BaseModel):
    """Hold the answer of a scan."""

    rows: tuple[_models.Row, ...]


def _quote(text: str) -> str:
    """Encode a path segment."""
    return parse.quote(text, safe='')


def _malformed(
    reason: str, verdict: core.Verdict = core.Verdict.DID_NOT_RUN
) -> _errors.MalformedAnswerError:
    """Return the error for an answer that breaks the protocol."""
    return _errors.MalformedAnswerError(
        'the answer of the platform is malformed', verdict, reason=reason
    )


def _parse(
    model: type[Model],
    body: bytes | None,
    verdict: core.Verdict = core.Verdict.DID_NOT_RUN,
) -> Model:
    """Validate a body, or raise MalformedAnswerError."""
    try:
        return model.model_validate(json.loads(body or b''))
    except (ValueError, RecursionError) as exc:
        raise _malformed(str(exc)[:200], verdict) from exc
