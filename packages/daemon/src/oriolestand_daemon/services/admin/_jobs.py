"""Provide the API for batch jobs."""

from typing import Any

from oriolestand_daemon.messages import batch
from oriolestand_daemon.services.admin import _api

DEFAULT_JOB_LIMIT = 1_000


class JobsApi(_api.Api):
    """Handles ``/jobs`` and ``/jobs/NAME``."""

    async def handle(self, call: _api.Call) -> Any:
        """Submit, list, show or cancel jobs."""
        match call.method, call.path:
            case 'POST', ():
                message: object = batch.SubmitJob(document=call.body)
                return await self.ask('batch', message)
            case 'GET', ():
                message = batch.ListJobs(
                    prefix=call.text('prefix'),
                    state=call.text('state'),
                    limit=call.number('limit') or DEFAULT_JOB_LIMIT,
                )
                return {'jobs': await self.ask('batch', message)}
            case 'GET', (name,):
                return await self.ask('batch', batch.GetJob(name=name))
            case 'DELETE', (name,):
                return await self.ask('batch', batch.CancelJob(name=name))
            case _, ():
                raise _api.unsupported_call(call, 'GET', 'POST')
            case _, (_,):
                raise _api.unsupported_call(call, 'GET', 'DELETE')
        raise _api.unsupported_call(call)
