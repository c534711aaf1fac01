"""Serve the platform's protocol from memory, with faults."""

import dataclasses
import json
import time
from typing import Any
from urllib import parse

import pydantic
from twisted.web import http
from twisted.web import resource
from twisted.web import server

import oriolestand_platform as platform

MILLIS_PER_SECOND = 1000


class FaultModel(pydantic.BaseModel):
    """Validate a change of the faults."""

    model_config = pydantic.ConfigDict(extra='forbid')

    is_down: bool = False
    delay_ms: int = pydantic.Field(default=0, ge=0)
    loses_answers: bool = False
    is_list_frozen: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Switch the faults of the platform.

    ``loses_answers`` applies writes and then drops the connection.
    """

    is_down: bool = False
    delay_ms: int = 0
    loses_answers: bool = False
    is_list_frozen: bool = False


class PlatformSite(server.Site):
    """Serve tables, objects, the instance list and the faults."""

    def __init__(self, reactor: Any) -> None:
        self.store = platform.MemoryStore()
        self.faults = PlatformFaults()
        self.reactor: Any = reactor
        self.reads = 0
        self.writes = 0
        self._listed: platform.InstanceList | None = None
        root: Any = _Platform(self)
        super().__init__(root, reactor=reactor)

    def instances(self) -> platform.InstanceList:
        """Return the list as of now, or as it was when it froze."""
        if self._listed is None or not self.faults.is_list_frozen:
            self._listed = platform.InstanceList(
                as_of_ms=int(time.time() * MILLIS_PER_SECOND),
                instances=self.store.instances(),
            )
        return self._listed


class _Platform(resource.Resource):
    """Answer every path of the platform's protocol."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: PlatformSite) -> None:
        super().__init__()
        self._site = site

    def render(self, request: Any) -> Any:
        """Answer now, later or not at all, as the faults say."""
        path = [parse.unquote(p.decode()) for p in request.postpath]
        if path[:1] == ['faults']:
            return self._set_faults(request)
        faults = self._site.faults
        if faults.is_down:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b''
        if faults.delay_ms:
            self._site.reactor.callLater(
                faults.delay_ms / MILLIS_PER_SECOND,
                self._answer,
                request,
                path,
            )
        else:
            self._answer(request, path)
        return server.NOT_DONE_YET

    def _set_faults(self, request: Any) -> bytes:
        """Replace the faults by those in the body."""
        try:
            model = FaultModel.model_validate_json(request.content.read())
        except pydantic.ValidationError as exc:
            request.setResponseCode(http.BAD_REQUEST)
            return str(exc).encode()
        self._site.faults = PlatformFaults(**model.model_dump())
        return b'{}'

    def _answer(self, request: Any, path: list[str]) -> None:
        """Do what the request asks and answer it."""
        if request._disconnected:
            return
        try:
            body = self._do(request, path)
        except (pydantic.ValidationError, ValueError) as exc:
            request.setResponseCode(http.BAD_REQUEST)
            body = str(exc).encode()
        if self._site.faults.loses_answers and request.method != b'GET':
            request.channel.transport.abortConnection()
            return
        request.write(body)
        request.finish()

    def _do(self, request: Any, path: list[str]) -> bytes:
        """Return the answer's body."""
        site = self._site
        method = request.method.decode()
        match method, *path:
            case 'GET', 'tables', table:
                site.reads += 1
                prefix = request.args.get(b'prefix', [b''])[0].decode()
                rows = site.store.scan(table, prefix)
                return json.dumps(
                    {'rows': [row.model_dump() for row in rows]}
                ).encode()
            case 'GET', 'tables', table, key:
                site.reads += 1
                row = site.store.read(table, key)
                if row is None:
                    request.setResponseCode(http.NOT_FOUND)
                    return b''
                return row.model_dump_json().encode()
            case 'POST', 'transactions':
                site.writes += 1
                tx = platform.Transaction.model_validate_json(
                    request.content.read()
                )
                return site.store.commit(tx).model_dump_json().encode()
            case 'GET', 'objects', key:
                data = site.store.read_object(key)
                if data is None:
                    request.setResponseCode(http.NOT_FOUND)
                return data or b''
            case 'PUT', 'objects', key:
                site.store.write_object(key, request.content.read())
                return b'{}'
            case 'GET', 'instances':
                site.reads += 1
                return site.instances().model_dump_json().encode()
            case 'POST', 'instances':
                entry = platform.InstanceEntry.model_validate_json(
                    request.content.read()
                )
                site.store.set_instance(entry)
                return b'{}'
            case 'GET', 'counts':
                counts = {'reads': site.reads, 'writes': site.writes}
                return json.dumps(counts).encode()
        request.setResponseCode(http.NOT_FOUND)
        return b''
