"""In-memory stand-in for the platform, with faults that tests switch."""

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
MAX_PAST_LISTS = 10_000


class PlatformFaults(pydantic.BaseModel):
    """The faults of the platform; a fault that is not given is off.

    ``is_down`` refuses all requests; ``fails_writes`` refuses writes but
    answers reads; ``loses_answers`` applies writes and then drops the
    connection; ``delay_ms`` handles each request late, and applies writes
    even if the client has disconnected by then; ``is_list_frozen`` returns
    the same instance list until it is cleared; ``list_lag_ms`` returns the
    instance list as it was that long ago.
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
    """HTTP site of the platform: tables, objects, instances and faults."""

    def __init__(self, reactor: Any) -> None:
        self.store = platform.MemoryStore()
        self.faults = PlatformFaults()
        self.reactor: Any = reactor
        self.reads = 0
        self.writes = 0
        self._past_lists: collections.deque[platform.InstanceList] = (
            collections.deque(maxlen=MAX_PAST_LISTS)
        )
        self._frozen_list: platform.InstanceList | None = None
        root: Any = _PlatformResource(self)
        super().__init__(root, reactor=reactor)

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds; tests replace this method."""
        return int(time.time() * MILLIS_PER_SECOND)

    def set_instance(self, entry: platform.InstanceEntry) -> None:
        """Set an entry of the list; record the list for ``list_lag_ms``."""
        self.store.set_instance(entry)
        self._past_lists.append(self._current_list())

    def _current_list(self) -> platform.InstanceList:
        """Return the list without any fault."""
        return platform.InstanceList(
            as_of_ms=self.wall_ms(), instances=self.store.instances()
        )

    def instances(self) -> platform.InstanceList:
        """Return the list: current, or lagging or frozen if a fault is set."""
        if not self.faults.is_list_frozen:
            self._frozen_list = None
        if self._frozen_list is not None:
            return self._frozen_list
        listed = self._current_list()
        if self.faults.list_lag_ms:
            as_of = listed.as_of_ms - self.faults.list_lag_ms
            entries: tuple[platform.InstanceEntry, ...] = ()
            for past in self._past_lists:
                if past.as_of_ms <= as_of:
                    entries = past.instances
            listed = platform.InstanceList(as_of_ms=as_of, instances=entries)
        if self.faults.is_list_frozen:
            self._frozen_list = listed
        return listed


class _PlatformResource(resource.Resource):
    """Handles all paths of the platform's protocol."""

    isLeaf = True  # noqa: N815

    def __init__(self, site: PlatformSite) -> None:
        super().__init__()
        self._site = site

    def render(self, request: Any) -> Any:
        """Answer at once, late or with an error, depending on the faults."""
        # Twisted has already percent-decoded the segments.
        path = [segment.decode() for segment in request.postpath]
        if path[:1] == ['faults']:
            return self._set_faults(request)
        faults = self._site.faults
        is_write = path[:1] in (['transactions'], ['objects'])
        is_write = is_write and request.method != b'GET'
        if faults.is_down or (faults.fails_writes and is_write):
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b''
        # Read now: the content is closed if the client disconnects early.
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
        """Replace the faults with those in the body."""
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
        """Handle a request and send the answer unless a fault drops it."""
        try:
            body = self._handle(request, path, data)
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

    def _handle(self, request: Any, path: list[str], data: bytes) -> bytes:
        """Apply a request to the store and return the body of the answer."""
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
                transaction = platform.Transaction.model_validate_json(data)
                return (
                    site.store.commit(transaction).model_dump_json().encode()
                )
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
                known_digest = request.args.get(b'known', [b''])[0].decode()
                return _dump_list(site.instances(), known_digest)
            case 'POST', 'instances':
                entry = platform.InstanceEntry.model_validate_json(data)
                site.set_instance(entry)
                return b'{}'
            case 'GET', 'counts':
                counts = {'reads': site.reads, 'writes': site.writes}
                return json.dumps(counts).encode()
        request.setResponseCode(http.NOT_FOUND)
        return b''


def _dump_list(listed: platform.InstanceList, known_digest: str) -> bytes:
    """Return a list as JSON; omit the instances if the client has them."""
    text = ''.join(entry.model_dump_json() for entry in listed.instances)
    digest = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
    update: dict[str, Any] = {'digest': digest}
    if digest == known_digest:
        update |= {'is_unchanged': True, 'instances': ()}
    return listed.model_copy(update=update).model_dump_json().encode()
