"""Define the data models of the platform's API."""

import enum
from typing import Any

import pydantic


class _StrictModel(pydantic.BaseModel):
    """Base of immutable models that reject unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Row(_StrictModel):
    """A row; its version counts the writes to its key, from 1."""

    table: str
    key: str
    version: int = pydantic.Field(ge=1)
    value: dict[str, Any]


class Check(_StrictModel):
    """A condition that a row has this version; 0 means it must not exist."""

    table: str
    key: str
    version: int = pydantic.Field(ge=0)


class Put(_StrictModel):
    """A write that sets the value of a row; None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


class Transaction(_StrictModel):
    """Writes that are applied atomically if all checks hold.

    ``request_id`` makes the transaction idempotent: when an applied
    transaction is repeated, the platform returns its first result again.
    """

    request_id: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()


class TransactionResult(_StrictModel):
    """Whether a transaction was applied, and the rows that conflicted."""

    applied: bool
    conflicts: tuple[Row, ...] = ()


class InstanceRole(enum.Enum):
    """Whether an instance runs a daemon (entry) or is an upstream."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class InstanceState(enum.Enum):
    """The state of an instance; a gone instance never comes back."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class InstanceEntry(_StrictModel):
    """An instance in the platform's list.

    ``address`` is ``ip:port``; ``peer_address`` and ``admin_address`` are
    set for entry instances.
    """

    id: str
    role: InstanceRole
    state: InstanceState
    address: str
    failure_domain: str
    region: str = ''
    rack: str = ''
    peer_address: str = ''
    admin_address: str = ''


class InstanceList(_StrictModel):
    """The instances as of ``as_of_ms``, Unix time in milliseconds.

    A client sends the digest of the list that it has. While that list is
    current, the response sets ``is_unchanged`` and omits the instances,
    which keeps most responses small.
    """

    as_of_ms: int
    instances: tuple[InstanceEntry, ...] = ()
    digest: str = ''
    is_unchanged: bool = False
