"""Serve operators' requests about jobs."""

from typing import Any

from oriolestand_daemon.messages import batch
from oriolestand_daemon.services.admin import _api

MAX_LISTED = 1_000


class JobsApi(_api.Api):
    """Answer ``/jobs`` and ``/jobs/NAME``."""

    async def handle(self, call: _api.Call) -> Any:
        """Submit, list, show or cancel."""
        match call.method, call.path:
            case 'POST', ():
                message: object = batch.SubmitJob(document=call.body)
                return await self.ask('batch', message)
            case 'GET', ():
                message = batch.ListJobs(
                    prefix=call.text('prefix'),
                    state=call.text('state'),
                    limit=call.number('limit') or MAX_LISTED,
                )
                return {'jobs': await self.ask('batch', message)}
            case 'GET', (name,):
                return await self.ask('batch', batch.ShowJob(name=name))
            case 'DELETE', (name,):
                return await self.ask('batch', batch.CancelJob(name=name))
            case _, ():
                raise _api.refuse(call, 'GET', 'POST')
            case _, (_,):
                raise _api.refuse(call, 'GET', 'DELETE')
        raise _api.refuse(call)
