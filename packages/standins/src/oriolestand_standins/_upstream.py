"""Stand-in for an upstream that counts its requests."""

import collections
import dataclasses
import json
from typing import Any

import pydantic
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from oriolestand_standins import _worker

MILLIS_PER_SECOND = 1000
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


class UpstreamFaultModel(pydantic.BaseModel):
    """Request to replace the faults of an upstream; omitted ones are reset."""

    model_config = pydantic.ConfigDict(extra='forbid')

    service_ms: int = pydantic.Field(default=5, ge=0)
    fails: bool = False
    hangs: bool = False
    cuts_answers: bool = False
    is_leaving: bool = False
    holds_path: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """The faults of an upstream.

    With ``holds_path``, an answer to a path that starts with it stops after
    its first half, without a content length, until the fault is cleared.
    """

    service_ms: int = 5
    fails: bool = False
    hangs: bool = False
    cuts_answers: bool = False
    is_leaving: bool = False
    holds_path: str = ''


class UpstreamSite(server.Site):
    """HTTP site of an upstream that counts requests by their key."""

    def __init__(
        self, reactor: Any, name: str, slots: int = DEFAULT_SLOTS
    ) -> None:
        self.name = name
        self.slots = slots
        self.faults = UpstreamFaults()
        self.running = 0
        self.max_running = 0
        self.connections = 0
        self.max_connections = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.reactor: Any = reactor
        self.held: list[tuple[Any, bytes]] = []
        self.worker = _worker.WorkerEndpoint(reactor, name, slots)
        root: Any = _UpstreamResource(self)
        super().__init__(root, reactor=reactor)

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build a protocol that counts open connections."""
        protocol: Any = super().buildProtocol(addr)
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        original_connection_lost = protocol.connectionLost

        def connection_lost(*args: Any, **kwargs: Any) -> Any:
            self.connections -= 1
            return original_connection_lost(*args, **kwargs)

        protocol.connectionLost = connection_lost
        return protocol

    def counts(self) -> dict[str, Any]:
        """Return the counters."""
        return {
            'name': self.name,
            'slots': self.slots,
            'running': self.running,
            'held': len(self.held),
            'max_running': self.max_running,
            'max_connections': self.max_connections,
            'requests': sum(self.runs.values()),
            'run_more_than_once': sum(n > 1 for n in self.runs.values()),
            'runs': dict(self.runs),
        }


class _UpstreamResource(resource.Resource):
    """Answers control paths and, on all other paths, simulated requests."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: UpstreamSite) -> None:
        super().__init__()
        self._site = site

    def render(self, request: Any) -> Any:
        """Answer a control path at once, or a request after its work time."""
        site = self._site
        if request.path == b'/_counts':
            return json.dumps(site.counts()).encode()
        if request.path == b'/_faults':
            return self._set_faults(request)
        if request.path.startswith(b'/_worker'):
            return site.worker.render(request)
        site.running += 1
        site.max_running = max(site.max_running, site.running)
        key = request.getHeader('x-request-key') or ''
        if key:
            site.runs[key] += 1
        # If the caller disconnects, work continues up to the deadline.
        deadline_ms = int(request.getHeader('oriolestand-deadline-ms') or 0)
        faults = site.faults
        work_ms = deadline_ms if faults.hangs else faults.service_ms
        if deadline_ms:
            work_ms = min(work_ms, deadline_ms)
        request.notifyFinish().addErrback(lambda _: None)
        site.reactor.callLater(
            work_ms / MILLIS_PER_SECOND,
            self._complete,
            request,
            faults.hangs or work_ms < faults.service_ms,
        )
        return server.NOT_DONE_YET

    def _complete(self, request: Any, is_late: bool) -> None:
        """End the work of a request; answer unless it missed the deadline."""
        self._site.running -= 1
        if not is_late:
            self._answer(request)

    def _set_faults(self, request: Any) -> bytes:
        """Replace the faults with those in the body."""
        try:
            model = UpstreamFaultModel.model_validate_json(
                request.content.read()
            )
        except pydantic.ValidationError as exc:
            request.setResponseCode(http.BAD_REQUEST)
            return str(exc).encode()
        self._site.faults = UpstreamFaults(**model.model_dump())
        if not model.holds_path:
            self._finish_held()
        return b'{}'

    def _finish_held(self) -> None:
        """Send the second half of the held answers."""
        held, self._site.held = self._site.held, []
        for request, rest in held:
            self._site.running -= 1
            if not request._disconnected:
                request.write(rest)
                request.finish()

    def _answer(self, request: Any) -> None:
        """Answer with the path, key and body size of the request."""
        if request._disconnected:
            return
        faults = self._site.faults
        if faults.fails:
            request.setResponseCode(http.INTERNAL_SERVER_ERROR)
        if faults.is_leaving:
            request.setHeader('Oriolestand-Leaving', '1')
        body = json.dumps(
            {
                'upstream': self._site.name,
                'path': request.uri.decode(),
                'key': request.getHeader('x-request-key') or '',
                'size': len(request.content.read()),
            }
        ).encode()
        held_path = faults.holds_path.encode()
        if held_path and request.path.startswith(held_path):
            request.write(body[: len(body) // 2])
            self._site.running += 1
            self._site.held.append((request, body[len(body) // 2 :]))
            return
        request.setHeader('Content-Length', str(len(body)))
        if faults.cuts_answers:
            request.write(body[: len(body) // 2])
            request.channel.transport.loseConnection()
            return
        request.write(body)
        request.finish()
