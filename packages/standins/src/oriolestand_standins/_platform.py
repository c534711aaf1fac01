"""Serve the platform's protocol from memory, with faults."""

import collections
import hashlib
import json
import time
from typing import Any

import pydantic
from twisted.web import http
from twisted.web import resource
from twisted.web import server

import oriolestand_platform as platform

MILLIS_PER_SECOND = 1000
KEPT_LISTS = 10_000


class PlatformFaults(pydantic.BaseModel):
    """Validate a change of the faults; what is left out is switched off.

    ``fails_writes`` refuses writes and goes on reading; ``loses_answers``
    applies writes and then drops the connection; ``delay_ms`` does each
    request late, writes also when the client has left by then;
    ``list_lag_ms`` shows the instance list as it was that long ago.
    """

    model_config = pydantic.ConfigDict(
        extra='forbid', validate_assignment=True
    )

    is_down: bool = False
    fails_writes: bool = False
    delay_ms: int = pydantic.Field(default=0, ge=0)
    loses_answers: bool = False
    is_list_frozen: bool = False
    list_lag_ms: int = pydantic.Field(default=0, ge=0)


class PlatformSite(server.Site):
    """Serve tables, objects, the instance list and the faults."""

    def __init__(self, reactor: Any) -> None:
        self.store = platform.MemoryStore()
        self.faults = PlatformFaults()
        self.reactor: Any = reactor
        self.reads = 0
        self.writes = 0
        self._lists: collections.deque[platform.InstanceList] = (
            collections.deque(maxlen=KEPT_LISTS)
        )
        self._frozen: platform.InstanceList | None = None
        root: Any = _Platform(self)
        super().__init__(root, reactor=reactor)

    def wall_ms(self) -> int:
        """Return Unix time; tests replace it."""
        return int(time.time() * MILLIS_PER_SECOND)

    def set_instance(self, entry: platform.InstanceEntry) -> None:
        """Change the list and keep the former one for a lagging view."""
        self.store.set_instance(entry)
        self._lists.append(self._now())

    def _now(self) -> platform.InstanceList:
        """Return the list as it is."""
        return platform.InstanceList(
            as_of_ms=self.wall_ms(), instances=self.store.instances()
        )

    def instances(self) -> platform.InstanceList:
        """Return the list as of now, as it was, or as it froze."""
        if not self.faults.is_list_frozen:
            self._frozen = None
        if self._frozen is not None:
            return self._frozen
        listed = self._now()
        if self.faults.list_lag_ms:
            as_of = listed.as_of_ms - self.faults.list_lag_ms
            entries: tuple[platform.InstanceEntry, ...] = ()
            for former in self._lists:
                if former.as_of_ms <= as_of:
                    entries = former.instances
            listed = platform.InstanceList(as_of_ms=as_of, instances=entries)
        if self.faults.is_list_frozen:
            self._frozen = listed
        return listed


class _Platform(resource.Resource):
    """Answer every path of the platform's protocol."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: PlatformSite) -> None:
        super().__init__()
        self._site = site

    def render(self, request: Any) -> Any:
        """Answer now, later or not at all, as the faults say."""
        # Twisted has decoded the segments already.
        path = [segment.decode() for segment in request.postpath]
        if path[:1] == ['faults']:
            return self._set_faults(request)
        faults = self._site.faults
        is_write = path[:1] in (['transactions'], ['objects'])
        is_write = is_write and request.method != b'GET'
        if faults.is_down or (faults.fails_writes and is_write):
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b''
        # The content is closed when the client leaves before the answer.
        data = request.content.read()
        if faults.delay_ms:
            self._site.reactor.callLater(
                faults.delay_ms / MILLIS_PER_SECOND,
                self._answer,
                request,
                path,
                data,
            )
        else:
            self._answer(request, path, data)
        return server.NOT_DONE_YET

    def _set_faults(self, request: Any) -> bytes:
        """Replace the faults by those in the body."""
        try:
            faults = PlatformFaults.model_validate_json(request.content.read())
        except pydantic.ValidationError as exc:
            request.setResponseCode(http.BAD_REQUEST)
            return str(exc).encode()
        self._site.faults = faults
        if faults.is_list_frozen:
            self._site.instances()
        return b'{}'

    def _answer(self, request: Any, path: list[str], data: bytes) -> None:
        """Do what the request asks and answer it."""
        try:
            body = self._do(request, path, data)
        except (pydantic.ValidationError, ValueError) as exc:
            request.setResponseCode(http.BAD_REQUEST)
            body = str(exc).encode()
        if request._disconnected:
            return
        if self._site.faults.loses_answers and request.method != b'GET':
            request.channel.transport.abortConnection()
            return
        request.write(body)
        request.finish()

    def _do(self, request: Any, path: list[str], data: bytes) -> bytes:
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
                tx = platform.Transaction.model_validate_json(data)
                return site.store.commit(tx).model_dump_json().encode()
            case 'GET', 'objects', key:
                stored = site.store.read_object(key)
                if stored is None:
                    request.setResponseCode(http.NOT_FOUND)
                return stored or b''
            case 'PUT', 'objects', key:
                site.store.write_object(key, data)
                return b'{}'
            case 'GET', 'instances':
                site.reads += 1
                known = request.args.get(b'known', [b''])[0].decode()
                return _dump_list(site.instances(), known)
            case 'POST', 'instances':
                entry = platform.InstanceEntry.model_validate_json(data)
                site.set_instance(entry)
                return b'{}'
            case 'GET', 'counts':
                counts = {'reads': site.reads, 'writes': site.writes}
                return json.dumps(counts).encode()
        request.setResponseCode(http.NOT_FOUND)
        return b''


def _dump_list(listed: platform.InstanceList, known: str) -> bytes:
    """Return a list as JSON, without the instances that are known."""
    text = ''.join(entry.model_dump_json() for entry in listed.instances)
    digest = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    update: dict[str, Any] = {'digest': digest}
    if digest == known:
        update |= {'is_unchanged': True, 'instances': ()}
    return listed.model_copy(update=update).model_dump_json().encode()
