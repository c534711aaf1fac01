"""Define the messages of the platform service."""

import dataclasses

import oriolestand_platform as platform


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRow:
    """Request a row; the reply is ``Row | None``."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScanRows:
    """Request the rows of a table whose keys have a prefix."""

    table: str
    prefix: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """Request to apply a transaction; replies ``TransactionResult``."""

    transaction: platform.Transaction


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListInstances:
    """Request the instance list; the reply is an ``InstanceList``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallWorker:
    """Request to call a worker; the reply is a ``WorkerReply``."""

    address: str
    request: platform.WorkerRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadObject:
    """Request an object; the reply is its bytes, or None if missing."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteObject:
    """Request to store an object."""

    key: str
    data: bytes
