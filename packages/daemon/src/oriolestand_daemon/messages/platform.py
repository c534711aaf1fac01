"""Define questions to the platform service."""

import dataclasses

import oriolestand_platform as platform


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRow:
    """Ask for a row, as ``Row | None``."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScanRows:
    """Ask for the rows of a table, by key."""

    table: str
    prefix: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """Ask to apply a transaction, as ``TransactionResult``."""

    transaction: platform.Transaction


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListInstances:
    """Ask for the platform's list, as ``InstanceList``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallWorker:
    """Send a request to a worker, as ``WorkerReply``."""

    address: str
    request: platform.WorkerRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadObject:
    """Ask for an object's bytes or None."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteObject:
    """Ask to store an object."""

    key: str
    data: bytes
