"""Track which failure domains the operator has evacuated."""

from typing import Any

from oriolestand_fleet.messages import config as messages
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.config import const


class Evacuations:
    """Failure domains that are evacuated, as of the newest page applied."""

    def __init__(self, log: Any) -> None:
        self._log = log
        self._cursor = -1
        self._failure_domains: set[str] = set()
        self._returned_ms: dict[str, int] = {}

    def apply(self, page: store.ConfigPage, now_ms: int) -> None:
        """Apply a page; what is older than an applied page is ignored."""
        changes = [e for e in page.evacuations if e.version > self._cursor]
        if page.is_complete and page.cursor >= self._cursor:
            listed = {
                e.failure_domain for e in page.evacuations if e.is_requested
            }
            for failure_domain in sorted(self._failure_domains - listed):
                self._take_back(failure_domain, page.cursor, now_ms)
        for change in changes:
            if change.is_requested:
                self._evacuate(change)
            else:
                self._take_back(change.failure_domain, change.version, now_ms)
        self._cursor = max(self._cursor, page.cursor)
        self._returned_ms = {
            failure_domain: returned_ms
            for failure_domain, returned_ms in self._returned_ms.items()
            if now_ms - returned_ms < const.RETURN_KEPT_MS
        }

    def _evacuate(self, change: store.Evacuation) -> None:
        """Apply a request to evacuate a failure domain."""
        failure_domain = change.failure_domain
        if failure_domain in self._failure_domains:
            self._log.info(
                'Failure domain is evacuated already',
                failure_domain=failure_domain,
                version=change.version,
            )
            return
        self._failure_domains.add(failure_domain)
        self._returned_ms.pop(failure_domain, None)
        self._log.warning(
            'Failure domain evacuated',
            failure_domain=failure_domain,
            version=change.version,
        )

    def _take_back(
        self, failure_domain: str, version: int, now_ms: int
    ) -> None:
        """Apply the end of a request."""
        if failure_domain not in self._failure_domains:
            self._log.info(
                'Failure domain was not evacuated',
                failure_domain=failure_domain,
                version=version,
            )
            return
        self._failure_domains.remove(failure_domain)
        self._returned_ms[failure_domain] = now_ms
        self._log.warning(
            'Failure domain taken back',
            failure_domain=failure_domain,
            version=version,
        )

    def event(self, known_at_ms: int) -> messages.EvacuationsRead:
        """Return the event for a state that was read at a time."""
        return messages.EvacuationsRead(
            failure_domains=frozenset(self._failure_domains),
            known_at_ms=known_at_ms,
            returned_ms=dict(self._returned_ms),
        )
