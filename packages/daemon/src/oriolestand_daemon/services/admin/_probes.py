"""Tell the load balancer and operators how this daemon is."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.admin import _api
from oriolestand_daemon.services.admin import errors

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class ProbeApi(_api.Api):
    """Answer 200, or 503 with the reason that a check returns."""

    def __init__(
        self, kernel: core.Kernel, check: Callable[[], Awaitable[str]]
    ) -> None:
        super().__init__(kernel)
        self._check = check

    async def handle(self, call: _api.Call) -> _api.Reply:
        """Answer a probe."""
        if call.path or call.method != 'GET':
            raise _api.refuse(call, 'GET')
        reason = await self._check()
        if not reason:
            return _api.Reply(body=b'ok\n', content_type='text/plain')
        return _api.Reply(
            body=f'not ready: {reason}\n'.encode(),
            content_type='text/plain',
            status=http.SERVICE_UNAVAILABLE,
        )


class StatusApi(_api.Api):
    """Answer ``GET /status``."""

    def __init__(
        self, kernel: core.Kernel, status: Callable[[], Awaitable[Any]]
    ) -> None:
        super().__init__(kernel)
        self._status = status

    async def handle(self, call: _api.Call) -> Any:
        """Show what this daemon knows and does."""
        if call.path or call.method != 'GET':
            raise _api.refuse(call, 'GET')
        return await self._status()


class InstancesApi(_api.Api):
    """Answer ``GET /instances``: who has which version in force."""

    async def handle(self, call: _api.Call) -> Any:
        """Show all entry instances."""
        if call.path or call.method != 'GET':
            raise _api.refuse(call, 'GET')
        instances = await self.ask('tables', config.GetInstances())
        return {'instances': instances}


class TracesApi(_api.Api):
    """Answer ``GET /traces/ID``."""

    async def handle(self, call: _api.Call) -> Any:
        """Show the spans of a trace that are kept here."""
        if len(call.path) != 1 or call.method != 'GET':
            raise _api.refuse(call, 'GET')
        (trace_id,) = call.path
        message = telemetry.GetTrace(trace_id=trace_id)
        spans = await self.ask('telemetry', message)
        if not spans:
            raise errors.UnknownTraceError(
                'no span of this trace is kept here', trace_id=trace_id
            )
        return {'spans': spans}


class MetricsApi(_api.Api):
    """Answer ``GET /metrics`` in the Prometheus text format."""

    async def handle(self, call: _api.Call) -> _api.Reply:
        """Show all metrics."""
        if call.path or call.method != 'GET':
            raise _api.refuse(call, 'GET')
        body = await self.ask('telemetry', telemetry.GetMetrics())
        return _api.Reply(body=body, content_type=METRICS_TYPE)
