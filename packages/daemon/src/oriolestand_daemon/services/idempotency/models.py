"""Define the validated form of a key's row."""

import base64
import hashlib
from typing import Any

import pydantic

from oriolestand_daemon.services.idempotency import errors
import oriolestand_platform as platform
from oriolestand_policy import idempotency


class _Model(pydantic.BaseModel):
    """Refuse unknown keys and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class AnswerModel(_Model):
    """Hold a small answer; the body is in base64."""

    status: int = pydantic.Field(ge=100, le=599)
    headers: tuple[tuple[str, str], ...] = ()
    body: pydantic.Base64Bytes = b''


class KeyModel(_Model):
    """Hold the record of a key."""

    state: idempotency.KeyState
    request_id: str
    method: str
    target: str
    digest: str = ''
    answer: AnswerModel | None = None


def row_key(team: str, key: str) -> str:
    """Return the key of the row; teams do not share keys."""
    return hashlib.sha256(f'{team}\0{key}'.encode()).hexdigest()


def parse_row(row: platform.Row) -> idempotency.VersionedRecord:
    """Return the record in a row, or raise MalformedRowError."""
    try:
        model = KeyModel.model_validate(row.value)
    except pydantic.ValidationError as exc:
        raise errors.MalformedRowError(
            'the row of a key is malformed', key=row.key
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
    """Return the value of a row."""
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
