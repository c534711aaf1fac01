"""Define the validated models of the platform's protocol."""

import enum
from typing import Any

import pydantic


class _Model(pydantic.BaseModel):
    """Refuse unknown keys and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Row(_Model):
    """Hold one row; a version counts the writes to its key from 1."""

    table: str
    key: str
    version: int = pydantic.Field(ge=1)
    value: dict[str, Any]


class Check(_Model):
    """Require a row to be at a version; 0 means that it must not exist."""

    table: str
    key: str
    version: int = pydantic.Field(ge=0)


class Put(_Model):
    """Replace a row's value, or delete the row when the value is None."""

    table: str
    key: str
    value: dict[str, Any] | None


class Transaction(_Model):
    """Apply all puts if all checks hold.

    ``request_id`` identifies the write: the service answers a repeat of
    an applied transaction as it answered the first time.
    """

    request_id: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()


class TransactionResult(_Model):
    """Hold the new rows, or the current rows whose checks failed."""

    applied: bool
    conflicts: tuple[Row, ...] = ()


class InstanceRole(enum.Enum):
    """Name what runs on an instance."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class InstanceState(enum.Enum):
    """Name the state of an instance; a gone one never comes back."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class InstanceEntry(_Model):
    """Describe one instance of the platform's list.

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


class InstanceList(_Model):
    """Hold the instances as they were at ``as_of_ms``, Unix time.

    A reader that names the digest of the list it has gets no instances but
    ``is_unchanged`` while they are the same: most polls stay small.
    """

    as_of_ms: int
    instances: tuple[InstanceEntry, ...] = ()
    digest: str = ''
    is_unchanged: bool = False
