"""Stand-in for the platform's row store, over HTTP."""

import base64
import bisect
import dataclasses
import functools
import random
from typing import Any

import msgspec
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_soak import _http

WORKERS_TABLE = 'servers'
OPERATOR_TABLE = 'op'
PROTECTED_TABLES = frozenset({WORKERS_TABLE, OPERATOR_TABLE})

COMMIT_MS = 5
PART_QUEUE_MS = 1_000
MAX_ENTRIES = 100
MAX_TEXT_BYTES = 200
MAX_ROW_BYTES = 65_536
PAGE_ROWS = 500
MAX_WAIT_MS = 30_000


class _Ref(msgspec.Struct, frozen=True):
    """A row of a transaction; ``ver`` only where a version is expected."""

    table: str
    key: str
    part: str = ''
    ver: int = 0
    value: str = ''

    @property
    def row_id(self) -> tuple[str, str, str]:
        """Return the identity of the row."""
        return self.table, self.part, self.key


class _Transaction(msgspec.Struct, frozen=True):
    """Body of a transaction."""

    expected: tuple[_Ref, ...] = ()
    set_keys: tuple[_Ref, ...] = ()
    remove: tuple[_Ref, ...] = ()
    cross_shard: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults that the store shows to one daemon.

    ``refusal``: how calls are refused without effect: ``503``, ``429``,
    ``reset`` or ``silent``; empty if they are served.
    ``delay_ms``: added to each call.
    ``lost``: share of the transactions whose response is lost.
    ``late``: share of the transactions without response that are applied
    after ``late_ms``.
    """

    refusal: str = ''
    delay_ms: int = 0
    lost: float = 0.0
    late: float = 0.0
    late_ms: int = 0


class RowStore:
    """Versioned rows in tables and parts, with a log of changes."""

    def __init__(self, clock: core.Clock) -> None:
        self.clock = clock
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self._changes: dict[str, list[tuple[int, str, str]]] = {}
        self._oldest = 0
        self._waiting: dict[str, list[defer.Deferred[None]]] = {}
        self.busy_until: dict[str, int] = {}

    def page(self, rows: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
        """Return the body of a response with rows."""
        return {
            'ver': self.version,
            'now_ms': self.clock.now(),
            'rows': rows,
            **more,
        }

    def _describe(self, row_id: tuple[str, str, str]) -> dict[str, Any]:
        """Return a row as it appears in a response."""
        version, value = self.rows[row_id]
        table, part, key = row_id
        return {
            'table': table,
            'part': part,
            'key': key,
            'value': value,
            'ver': version,
        }

    def commit(self, change: _Transaction) -> _http.Reply:
        """Apply a transaction if its versions hold."""
        found = [self.rows.get(ref.row_id, (0, '')) for ref in change.expected]
        if any(
            version != ref.ver
            for ref, (version, _) in zip(change.expected, found, strict=True)
        ):
            rows = [
                self._describe(ref.row_id)
                for ref in change.expected
                if ref.row_id in self.rows
            ]
            return _http.json_reply(412, self.page(rows))
        self.version += 1
        for ref in change.set_keys:
            self.rows[ref.row_id] = (self.version, ref.value)
            self._log_change(ref)
        for ref in change.remove:
            if self.rows.pop(ref.row_id, None) is not None:
                self._log_change(ref)
        return _http.json_reply(200, self.page([]))

    def _log_change(self, ref: _Ref) -> None:
        """Log a change and notify the followers of the table."""
        log = self._changes.setdefault(ref.table, [])
        log.append((self.version, ref.part, ref.key))
        for fut in self._waiting.pop(ref.table, []):
            # Followers run after the whole transaction is applied.
            self.clock.call_later(0, functools.partial(_fire, fut))

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row on behalf of the operator or a worker."""
        value = base64.b64encode(msgspec.json.encode(content)).decode()
        ref = _Ref(table=table, key=key, value=value)
        self.commit(_Transaction(set_keys=(ref,)))

    def drop(self, table: str, key: str) -> None:
        """Remove a row on behalf of a worker."""
        ref = _Ref(table=table, key=key)
        if ref.row_id in self.rows:
            self.commit(_Transaction(remove=(ref,)))

    def read(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a range of rows of a part."""
        table, part = query['table'], query.get('part', '')
        start, end = query.get('from', ''), query.get('target', '')
        limit = min(int(query.get('limit', PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(
            key
            for row_table, row_part, key in self.rows
            if (row_table, row_part) == (table, part)
            and key >= start
            and (not end or key < end)
        )
        rows = [self._describe((table, part, key)) for key in keys[:limit]]
        return self.page(rows, has_more=len(keys) > limit)

    def forget(self) -> None:
        """Forget the log of changes."""
        self._oldest = self.version
        self._changes.clear()

    def has_history(self, after: int) -> bool:
        """Return whether all changes after a version are known."""
        return after >= self._oldest

    def changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows of a table that changed after a version."""
        log = self._changes.get(table, [])
        start = bisect.bisect_right(log, (after, '\U0010ffff', ''))
        latest = {
            (table, part, key): version for version, part, key in log[start:]
        }
        rows = []
        for row_id, version in sorted(latest.items(), key=lambda x: x[1]):
            if row_id in self.rows:
                rows.append(self._describe(row_id))
            else:
                _, part, key = row_id
                rows.append(
                    {
                        'table': table,
                        'part': part,
                        'key': key,
                        'ver': version,
                        'deleted': True,
                    }
                )
        return rows

    async def wait_for_change(self, table: str, wait_ms: int) -> None:
        """Wait until a table changes, for a limited time."""
        fut: defer.Deferred[None] = defer.Deferred()
        self._waiting.setdefault(table, []).append(fut)
        timer = self.clock.call_later(wait_ms, lambda: _fire(fut))
        await fut
        timer.cancel()


def _fire(fut: 'defer.Deferred[None]') -> None:
    """Fire a Deferred unless it has fired."""
    if not fut.called:
        fut.callback(None)


class StoreFrontend(_http.Handler):
    """Serves the store to one daemon, with the faults that it meets.

    ``address_of`` maps a worker's address to the proxy between the daemon
    and that worker.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        store: RowStore,
        rng: random.Random,
        addresses: dict[str, str],
    ) -> None:
        self._kernel = kernel
        self._store = store
        self._rng = rng
        self._addresses = addresses
        self.faults = StoreFaults()

    async def handle(self, request: _http.Request) -> _http.Reply:
        """Serve a call."""
        faults = self.faults
        if faults.delay_ms:
            await self._kernel.sleep(faults.delay_ms)
        refusal = self.faults.refusal
        if refusal:
            return _refuse(refusal)
        if request.path == '/rows-get':
            return _http.json_reply(
                200, self._translate(self._store.read(request.query))
            )
        if request.path == '/rows-feed':
            return await self._follow(request.query)
        if request.path == '/rows-tx':
            return await self._commit(request.body)
        return _http.json_reply(400, {})

    async def _follow(self, query: dict[str, str]) -> _http.Reply:
        """Return the changes of a table once there are any."""
        store = self._store
        table, after = query['table'], int(query['after'])
        wait_ms = min(int(query.get('wait_ms', '0')), MAX_WAIT_MS)
        end = self._kernel.clock.now() + wait_ms
        while True:
            if not store.has_history(after):
                return _http.json_reply(410, {})
            rows = store.changes(table, after)
            left = end - self._kernel.clock.now()
            if rows or left <= 0:
                break
            await store.wait_for_change(table, left)
        if self.faults.refusal:
            return _refuse(self.faults.refusal)
        return _http.json_reply(200, self._translate(store.page(rows)))

    def _translate(self, page: dict[str, Any]) -> dict[str, Any]:
        """Replace the addresses of workers by those of proxies."""
        for row in page['rows']:
            if row['table'] != WORKERS_TABLE or 'value' not in row:
                continue
            entry = msgspec.json.decode(base64.b64decode(row['value']))
            entry['address'] = self._addresses[entry['address']]
            value = msgspec.json.encode(entry)
            row['value'] = base64.b64encode(value).decode()
        return page

    async def _commit(self, body: bytes) -> _http.Reply:
        """Apply a transaction after those before it in the same part."""
        try:
            change = msgspec.json.decode(body, type=_Transaction)
        except msgspec.MsgspecError:
            return _http.json_reply(400, {})
        refs = change.expected + change.set_keys + change.remove
        parts = {ref.part for ref in refs}
        written = change.set_keys + change.remove
        if any(ref.table in PROTECTED_TABLES for ref in written):
            return _http.json_reply(403, {})
        if not _is_valid(refs) or len(parts) > 1:
            return _http.json_reply(400, {})
        now = self._kernel.clock.now()
        busy = self._store.busy_until
        part = next(iter(parts))
        ready = max(now, busy.get(part, 0)) + COMMIT_MS
        if ready > now + PART_QUEUE_MS:
            return _http.json_reply(429, {})
        busy[part] = ready
        await self._kernel.sleep(ready - now)
        faults = self.faults
        if self._rng.random() < faults.late:
            self._kernel.clock.call_later(
                faults.late_ms, lambda: self._store.commit(change)
            )
            return _http.Reply(is_silent=True)
        reply = self._store.commit(change)
        if self._rng.random() < faults.lost:
            return _http.Reply(is_reset=True)
        return reply


def _is_valid(refs: tuple[_Ref, ...]) -> bool:
    """Return whether a transaction keeps the limits of the store."""
    return (
        0 < len(refs) <= MAX_ENTRIES
        and all(
            len(text.encode()) <= MAX_TEXT_BYTES
            for ref in refs
            for text in ref.row_id
        )
        and all(len(ref.value) * 3 // 4 <= MAX_ROW_BYTES for ref in refs)
    )


def _refuse(refusal: str) -> _http.Reply:
    """Return the reply of a store that refuses a call."""
    if refusal == 'reset':
        return _http.Reply(is_reset=True)
    if refusal == 'silent':
        return _http.Reply(is_silent=True)
    return _http.json_reply(int(refusal), {})
