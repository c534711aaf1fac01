"""Serve the admin APIs over HTTP."""

from collections.abc import Mapping
import dataclasses
import io
import json
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import resource
from twisted.web import server

import oriolestand_core as core
from oriolestand_daemon.services.admin import _api
from oriolestand_daemon.services.admin import const
from oriolestand_daemon.services.admin import errors


class _Request(server.Request):
    """A request with a bounded body in memory, as instances have no disk."""

    is_too_long = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Allocate the buffer of the body."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk of the body; discard it beyond the limit."""
        content: Any = self.content
        if content.tell() + len(data) > const.MAX_BODY_BYTES:
            self.is_too_long = True
        else:
            content.write(data)


class RootResource(resource.Resource):
    """Selects the API for a request by the first path segment."""

    isLeaf = True  # noqa: N815

    def __init__(self, apis: Mapping[str, _api.Api]) -> None:
        super().__init__()
        self._apis = apis
        self._log = core.get_logger(const.DOMAIN)

    def render(self, request: Any) -> int:
        """Handle a request asynchronously and write the response."""
        # A list, which the callback empties when the connection is lost.
        is_open = [True]
        request.notifyFinish().addErrback(lambda _: is_open.clear())
        fut = defer.ensureDeferred(self._handle(request))
        fut.addErrback(self._to_error_reply)

        def write(reply: _api.Reply) -> None:
            if not is_open:
                return
            request.setResponseCode(reply.status)
            request.setHeader('Content-Type', reply.content_type)
            request.setHeader('Content-Length', str(len(reply.body)))
            if request.method != b'HEAD':
                request.write(reply.body)
            request.finish()

        fut.addCallback(write)
        return server.NOT_DONE_YET

    async def _handle(self, request: Any) -> _api.Reply:
        """Validate a request and pass it to its API."""
        if request.getHeader('Origin') is not None:
            # Otherwise a web page in the browser of an operator could send
            # edits.
            raise errors.ForeignOriginError(
                'requests from web pages are not allowed'
            )
        if request.is_too_long:
            raise errors.BodyTooLongError(
                'the body is too long', limit=const.MAX_BODY_BYTES
            )
        name, *path = _path_segments(request)
        if name not in self._apis:
            raise errors.UnknownPathError('no resource has this path')
        method = request.method.decode('ascii', 'replace')
        call = _api.Call(
            method='GET' if method == 'HEAD' else method,
            path=tuple(path),
            args={
                key.decode('utf-8', 'replace'): values[-1].decode(
                    'utf-8', 'replace'
                )
                for key, values in request.args.items()
            },
            body=request.content.getvalue(),
        )
        return _to_reply(await self._apis[name].handle(call))

    def _to_error_reply(self, reason: failure.Failure) -> _api.Reply:
        """Convert an exception into an error response."""
        exc: Any = reason.value
        if not isinstance(exc, core.OriolestandError):
            self._log.error(
                'Request failed unexpectedly', reason=reason.getTraceback()
            )
            # The request may have had an effect before it failed.
            exc = core.OriolestandError(
                reason.getErrorMessage(), core.Verdict.MAY_HAVE_RUN
            )
        body = {
            'code': exc.code,
            'message': getattr(exc, 'message', str(exc)),
            'verdict': exc.verdict.value,
            'values': dict(getattr(exc, 'values', {})),
            'problems': list(getattr(exc, 'problems', ())),
            'changes': list(getattr(exc, 'changes', ())),
        }
        return _api.Reply(body=_to_json_bytes(body), status=exc.http_status)


def _path_segments(request: Any) -> list[str]:
    """Return the path segments without a trailing empty one."""
    segments = [part.decode('utf-8', 'replace') for part in request.postpath]
    if len(segments) > 1 and not segments[-1]:
        segments.pop()
    return segments or ['']


def _to_reply(result: Any) -> _api.Reply:
    """Convert the result of an API into a response."""
    if isinstance(result, _api.Reply):
        return result
    if isinstance(result, bytes):
        return _api.Reply(body=result)
    return _api.Reply(body=_to_json_bytes(result))


def _to_json_bytes(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.dumps(value, default=_json_default).encode()


def _json_default(value: Any) -> Any:
    """Convert a data class into a dict, and any other value into text."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return dataclasses.asdict(value)
    return str(value)


def make_site(reactor: Any, apis: Mapping[str, _api.Api]) -> server.Site:
    """Return the HTTP site with the given APIs."""
    root: Any = RootResource(apis)
    return server.Site(root, requestFactory=_Request, reactor=reactor)
