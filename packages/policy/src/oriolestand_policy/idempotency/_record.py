"""Define what is recorded for an idempotency key."""

import dataclasses
import enum

import oriolestand_core as core

Headers = tuple[tuple[str, str], ...]


class KeyState(enum.Enum):
    """Name how far the request of a key has come."""

    STARTED = 'started'
    RAN = 'ran'
    DID_NOT_RUN = 'did_not_run'

    @property
    def verdict(self) -> core.Verdict:
        """Return what can be told to a caller.

        >>> KeyState.STARTED.verdict
        <Verdict.MAY_HAVE_RUN: 'may_have_run'>
        """
        if self is KeyState.RAN:
            return core.Verdict.RAN
        if self is KeyState.DID_NOT_RUN:
            return core.Verdict.DID_NOT_RUN
        return core.Verdict.MAY_HAVE_RUN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """Hold an answer that is small enough to be kept."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """Record one key; ``request_id`` names the request that holds it.

    ``digest`` is the hex digest of the whole body, empty until it is known.
    """

    state: KeyState
    request_id: str
    method: str
    target: str
    digest: str = ''
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionedRecord:
    """Hold a record and the version of its row."""

    record: KeyRecord
    version: int
