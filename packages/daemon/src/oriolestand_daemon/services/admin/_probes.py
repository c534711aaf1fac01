"""Provide health checks, status, traces and metrics."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from twisted.web import http

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.admin import _api
from oriolestand_daemon.services.admin import errors

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class ProbeApi(_api.Api):
    """Responds with 200, or with 503 and the reason of the failure.

    :param check: returns the reason of a failure, empty if there is none.
    """

    def __init__(
        self, kernel: core.Kernel, check: Callable[[], Awaitable[str]]
    ) -> None:
        super().__init__(kernel)
        self._check = check

    async def handle(self, call: _api.Call) -> _api.Reply:
        """Run the check and return its result."""
        if call.path or call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        reason = await self._check()
        if not reason:
            return _api.Reply(body=b'ok\n', content_type='text/plain')
        return _api.Reply(
            body=f'not ready: {reason}\n'.encode(),
            content_type='text/plain',
            status=http.SERVICE_UNAVAILABLE,
        )


class StatusApi(_api.Api):
    """Handles ``GET /status``."""

    def __init__(
        self, kernel: core.Kernel, status: Callable[[], Awaitable[Any]]
    ) -> None:
        super().__init__(kernel)
        self._get_status = status

    async def handle(self, call: _api.Call) -> Any:
        """Return the status of this daemon."""
        if call.path or call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        return await self._get_status()


class InstancesApi(_api.Api):
    """Handles ``GET /instances``, the instances and their table versions."""

    async def handle(self, call: _api.Call) -> Any:
        """Return the status of all entry instances."""
        if call.path or call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        instances = await self.ask('tables', config.GetInstances())
        return {'instances': instances}


class TracesApi(_api.Api):
    """Handles ``GET /traces/ID``."""

    async def handle(self, call: _api.Call) -> Any:
        """Return the spans of a trace that this daemon has stored."""
        if len(call.path) != 1 or call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        (trace_id,) = call.path
        message = telemetry.GetTrace(trace_id=trace_id)
        spans = await self.ask('telemetry', message)
        if not spans:
            raise errors.UnknownTraceError(
                'this daemon has no span of the trace', trace_id=trace_id
            )
        return {'spans': spans}


class MetricsApi(_api.Api):
    """Handles ``GET /metrics``."""

    async def handle(self, call: _api.Call) -> _api.Reply:
        """Return all metrics in the Prometheus text format."""
        if call.path or call.method != 'GET':
            raise _api.unsupported_call(call, 'GET')
        body = await self.ask('telemetry', telemetry.GetMetrics())
        return _api.Reply(body=body, content_type=METRICS_CONTENT_TYPE)
