"""Stand in for an upstream that counts what it is given."""

import collections
import dataclasses
import json
from typing import Any

import pydantic
from twisted.web import http
from twisted.web import resource
from twisted.web import server

MILLIS_PER_SECOND = 1000
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


class FaultModel(pydantic.BaseModel):
    """Validate a change of the faults."""

    model_config = pydantic.ConfigDict(extra='forbid')

    service_ms: int = pydantic.Field(default=5, ge=0)
    fails: bool = False
    hangs: bool = False
    cuts_answers: bool = False
    is_leaving: bool = False
    holds_path: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Switch the behaviour of an upstream.

    With ``holds_path``, answers to paths that begin with it stop after
    their first half, without a length, until the switch is cleared.
    """

    service_ms: int = 5
    fails: bool = False
    hangs: bool = False
    cuts_answers: bool = False
    is_leaving: bool = False
    holds_path: str = ''


class UpstreamSite(server.Site):
    """Run requests on slots and count them by request id."""

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
        root: Any = _Upstream(self)
        super().__init__(root, reactor=reactor)

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Count a connection."""
        protocol: Any = super().buildProtocol(addr)
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        lost = protocol.connectionLost

        def connection_lost(*args: Any, **kwargs: Any) -> Any:
            self.connections -= 1
            return lost(*args, **kwargs)

        protocol.connectionLost = connection_lost
        return protocol

    def counts(self) -> dict[str, Any]:
        """Return what was counted."""
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


class _Upstream(resource.Resource):
    """Answer requests on every path but the control ones."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: UpstreamSite) -> None:
        super().__init__()
        self._site = site

    def render(self, request: Any) -> Any:
        """Run a request, or answer a control path."""
        site = self._site
        if request.path == b'/_counts':
            return json.dumps(site.counts()).encode()
        if request.path == b'/_faults':
            return self._set_faults(request)
        site.running += 1
        site.max_running = max(site.max_running, site.running)
        key = request.getHeader('x-request-key') or ''
        if key:
            site.runs[key] += 1
        # Work goes on when the caller leaves, up to the deadline.
        deadline_ms = int(request.getHeader('oriolestand-deadline-ms') or 0)
        faults = site.faults
        work_ms = deadline_ms if faults.hangs else faults.service_ms
        if deadline_ms:
            work_ms = min(work_ms, deadline_ms)
        request.notifyFinish().addErrback(lambda _: None)
        site.reactor.callLater(
            work_ms / MILLIS_PER_SECOND,
            self._end,
            request,
            faults.hangs or work_ms < faults.service_ms,
        )
        return server.NOT_DONE_YET

    def _end(self, request: Any, is_late: bool) -> None:
        """Free the slot; answer unless the work was not done in time."""
        self._site.running -= 1
        if not is_late:
            self._answer(request)

    def _set_faults(self, request: Any) -> bytes:
        """Replace the faults by those in the body."""
        try:
            model = FaultModel.model_validate_json(request.content.read())
        except pydantic.ValidationError as exc:
            request.setResponseCode(http.BAD_REQUEST)
            return str(exc).encode()
        self._site.faults = UpstreamFaults(**model.model_dump())
        if not model.holds_path:
            self._finish_held()
        return b'{}'

    def _finish_held(self) -> None:
        """Send the rest of the answers that are held."""
        held, self._site.held = self._site.held, []
        for request, rest in held:
            self._site.running -= 1
            if not request._disconnected:
                request.write(rest)
                request.finish()

    def _answer(self, request: Any) -> None:
        """Answer with the request's own body and key."""
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
        held = faults.holds_path.encode()
        if held and request.path.startswith(held):
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
