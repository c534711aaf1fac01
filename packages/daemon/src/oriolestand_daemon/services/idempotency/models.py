"""Validation and conversion of the stored rows of idempotency keys."""

import base64
import hashlib
from typing import Any

import pydantic

from oriolestand_daemon.services.idempotency import errors
import oriolestand_platform as platform
from oriolestand_policy import idempotency


class _Model(pydantic.BaseModel):
    """Immutable base model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ResponseModel(_Model):
    """A stored HTTP response with its body in base64."""

    status: int = pydantic.Field(ge=100, le=599)
    headers: tuple[tuple[str, str], ...] = ()
    body: pydantic.Base64Bytes = b''


class KeyModel(_Model):
    """The stored record of an idempotency key.

    ``request_id`` identifies the request that claimed the key. ``digest`` is
    the hex digest of the request body, empty unless the request ran.
    ``answer`` is the stored response, None unless the request ran and its
    response was small enough to store.
    """

    state: idempotency.KeyState
    request_id: str
    method: str
    target: str
    digest: str = ''
    answer: ResponseModel | None = None


def row_key(team: str, key: str) -> str:
    """Return the row key for a team's idempotency key.

    The row key includes the team, so that teams cannot use each other's
    idempotency keys.
    """
    return hashlib.sha256(f'{team}\0{key}'.encode()).hexdigest()


def parse_row(row: platform.Row) -> idempotency.VersionedRecord:
    """Return the record in a stored row and the version of the row.

    :raises MalformedRowError: if the value does not match ``KeyModel``.
    """
    try:
        model = KeyModel.model_validate(row.value)
    except pydantic.ValidationError as exc:
        raise errors.MalformedRowError(
            'malformed row of an idempotency key', key=row.key
        ) from exc
    answer = None
    if model.answer is not None:
        answer = idempotency.StoredAnswer(
            status=model.answer.status,
            headers=model.answer.headers,
            body=model.answer.body,
        )
    return idempotency.VersionedRecord(
        record=idempotency.KeyRecord(
            state=model.state,
            request_id=model.request_id,
            method=model.method,
            target=model.target,
            digest=model.digest,
            answer=answer,
        ),
        version=row.version,
    )


def dump_record(record: idempotency.KeyRecord) -> dict[str, Any]:
    """Return the row value for a record."""
    value: dict[str, Any] = {
        'state': record.state.value,
        'request_id': record.request_id,
        'method': record.method,
        'target': record.target,
        'digest': record.digest,
    }
    if record.answer is not None:
        value['answer'] = {
            'status': record.answer.status,
            'headers': [list(pair) for pair in record.answer.headers],
            'body': base64.b64encode(record.answer.body).decode(),
        }
    return value
