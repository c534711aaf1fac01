"""Define the stored record of an idempotency key."""

import dataclasses
import enum

import oriolestand_core as core

Headers = tuple[tuple[str, str], ...]


class KeyState(enum.Enum):
    """Progress of the request that claimed a key."""

    STARTED = 'started'
    RAN = 'ran'
    DID_NOT_RUN = 'did_not_run'

    @property
    def verdict(self) -> core.Verdict:
        """Return the verdict for a caller that repeats the request.

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
    """Response stored for replay, if it is small enough."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """Stored record of one key.

    ``request_id`` is the id of the request that claimed the key. ``digest``
    is the hex digest of the whole request body, empty until it was read.
    """

    state: KeyState
    request_id: str
    method: str
    target: str
    digest: str = ''
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionedRecord:
    """A record with the version of its stored row."""

    record: KeyRecord
    version: int
