"""Read all rows of parts of the store, page by page."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from twisted.internet import defer
from twisted.python import failure

import oriolestand_core as core
from oriolestand_fleet.messages import jobs as messages
from oriolestand_fleet.messages import store


class PartReader:
    """Read the rows of one part; continue after the last page on failure.

    ``version`` is the oldest version among the pages, from which changes of
    the part must be followed.
    """

    def __init__(
        self,
        kernel: core.Kernel,
        table: str,
        part: str,
        on_page: Callable[[], None],
    ) -> None:
        self._kernel = kernel
        self._table = table
        self._part = part
        self._on_page = on_page
        self._start = ''
        self.rows: list[store.Row] = []
        self.version: int | None = None
        self.is_complete = False

    async def read(self, is_closed: Callable[[], bool]) -> None:
        """Read the missing pages; raise LoadEndedError when closed."""
        while not self.is_complete:
            if is_closed():
                raise messages.LoadEndedError('the owner view is closed')
            page: store.RowPage = await self._kernel.ask(
                store.SERVICE,
                store.ReadRows(
                    table=self._table, part=self._part, start=self._start
                ),
            )
            self._apply(page)

    def _apply(self, page: store.RowPage) -> None:
        """Add the rows of a page."""
        self.rows += page.rows
        if self.version is None:
            self.version = page.version
        self.version = min(self.version, page.version)
        if not page.has_more or not page.rows:
            self.is_complete = True
        else:
            self._start = page.rows[-1].key + '\0'
        self._on_page()


async def read_missing(
    readers: Sequence[PartReader], is_closed: Callable[[], bool]
) -> None:
    """Read the missing pages of all parts at the same time.

    Return or raise once no read is in progress, so that a retry repeats no
    unfinished transfer. Unexpected errors go before those of the store.
    """
    results: list[Any] = await defer.DeferredList(
        [
            defer.ensureDeferred(reader.read(is_closed))
            for reader in readers
            if not reader.is_complete
        ],
        consumeErrors=True,
    )
    failures: list[failure.Failure] = [
        result for is_success, result in results if not is_success
    ]
    failures.sort(key=lambda reason: bool(reason.check(core.OriolestandError)))
    for reason in failures:
        reason.raiseException()
