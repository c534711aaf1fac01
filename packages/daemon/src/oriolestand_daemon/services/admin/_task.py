"""Own the admin listener."""

import json
from typing import Any

from twisted.internet import defer
from twisted.python import failure
from twisted.web import http
from twisted.web import resource
from twisted.web import server

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.admin import const


class AdminTask(core.Task):
    """Answer operators' requests by asking the other services."""

    def __init__(self, kernel: core.Kernel, cfg: settings.Settings) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._cfg = cfg
        self._log = core.get_logger(const.DOMAIN)
        self._port: Any = None
        self.version = 0
        self.is_leaving = False

    @property
    def address(self) -> str:
        """Return where operators connect."""
        if self._port is None:
            return ''
        host = self._port.getHost()
        return f'{host.host}:{host.port}'

    def start(self) -> object:
        """Listen for operators."""
        self.kernel.subscribe(config.TablesChanged, self)
        site = server.Site(_Root(self), reactor=self.kernel.reactor)
        listener = self._cfg.admin
        self._port = self.kernel.reactor.listenTCP(
            listener.port, site, interface=listener.host
        )
        self._log.info('Listening', address=self.address)
        return None

    @core.handles(config.TablesChanged)
    def _on_tables(self, msg: config.TablesChanged) -> None:
        """Know the version in force."""
        self.version = msg.tables.version

    async def status(self) -> dict[str, Any]:
        """Return what this daemon knows and does."""
        pools = await self.kernel.ask('dispatch', dispatch.GetDispatchStatus())
        return {
            'instance_id': self._cfg.instance_id,
            'incarnation': self.kernel.incarnation,
            'failure_domain': self._cfg.failure_domain,
            'region': self._cfg.region,
            'version': self.version,
            'ready': self.is_ready,
            'pools': pools,
        }

    async def metrics(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        text: bytes = await self.kernel.ask(
            'telemetry', telemetry.GetMetrics()
        )
        return text

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self.version > 0 and not self.is_leaving

    def stop(self) -> object:
        """Close the listener."""
        super().stop()
        return self._port.stopListening() if self._port else None


class _Root(resource.Resource):
    """Route admin requests by path."""

    def __init__(self, task: AdminTask) -> None:
        super().__init__()
        children: Any = self
        children.putChild(b'live', _Probe(lambda: True))
        children.putChild(b'metrics', _Json(task.metrics))
        children.putChild(b'ready', _Probe(lambda: task.is_ready))
        children.putChild(b'status', _Json(task.status))
        children.putChild(b'tables', _Tables(task.kernel))


class _Probe(resource.Resource):
    """Answer 200 or 503."""

    isLeaf = True  # noqa: N815

    def __init__(self, check: Any) -> None:
        super().__init__()
        self._check = check

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer a probe."""
        if self._check():
            return b'ok\n'
        request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b'not ready\n'


def _reply(request: Any, work: Any) -> int:
    """Answer with the JSON result of a coroutine, or its error."""
    request.setHeader('Content-Type', 'application/json')

    def succeed(result: Any) -> None:
        data = result if isinstance(result, bytes) else json.dumps(result)
        request.write(data if isinstance(data, bytes) else data.encode())
        request.finish()

    def fail(reason: failure.Failure) -> None:
        exc: Any = reason.value
        if not isinstance(exc, core.OriolestandError):
            exc = core.OriolestandError(reason.getErrorMessage())
        request.setResponseCode(exc.http_status)
        body = {
            'code': exc.code,
            'message': exc.message,
            'verdict': exc.verdict.value,
            'problems': list(getattr(exc, 'problems', ())),
        }
        request.write(json.dumps(body).encode())
        request.finish()

    defer.ensureDeferred(work).addCallbacks(succeed, fail)
    return server.NOT_DONE_YET


class _Json(resource.Resource):
    """Answer with the result of a coroutine."""

    isLeaf = True  # noqa: N815

    def __init__(self, make: Any) -> None:
        super().__init__()
        self._make = make

    def render_GET(self, request: Any) -> int:  # noqa: N802
        """Answer a question."""
        return _reply(request, self._make())


class _Tables(resource.Resource):
    """Show and replace the tables."""

    isLeaf = True  # noqa: N815

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__()
        self._kernel = kernel

    async def _get(self) -> bytes:
        """Return the document in force."""
        document: bytes = await self._kernel.ask(
            'tables', config.GetDocument()
        )
        return document

    async def _put(self, request: Any) -> bytes:
        """Replace the document."""
        base = request.args.get(b'base_version', [b'0'])[0]
        author = request.args.get(b'edited_by', [b''])[0]
        document: bytes = await self._kernel.ask(
            'tables',
            config.ApplyDocument(
                document=request.content.read(),
                base_version=int(base),
                edited_by=author.decode(),
            ),
        )
        return document

    def render_GET(self, request: Any) -> int:  # noqa: N802
        """Answer with the tables."""
        return _reply(request, self._get())

    def render_PUT(self, request: Any) -> int:  # noqa: N802
        """Replace the tables."""
        return _reply(request, self._put(request))
