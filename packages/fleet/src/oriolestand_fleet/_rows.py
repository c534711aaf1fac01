"""Decode and check the JSON of rows of the store."""

import json
from typing import Annotated
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

import oriolestand_core as core

MAX_INTEGER = 2**53 - 1
"""Largest whole number that all JSON decoders read exactly."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""An amount, a number in a sequence or a time."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]

_T = TypeVar('_T')


class MalformedRowError(core.OriolestandError, ValueError):
    """Raised for a row that is not of the expected type or out of range."""

    code = 'malformed_row'


class RowDecoder(Generic[_T]):
    """Decode rows to one type, without conversions such as text to number.

    >>> RowDecoder(dict[str, int]).decode(b'{"a": 1}')
    {'a': 1}
    >>> RowDecoder(dict[str, int]).decode(b'{"a": "1"}')
    Traceback (most recent call last):
    ...
    oriolestand_fleet._rows.MalformedRowError: ...
    """

    def __init__(self, expected: Any) -> None:
        self._decoder: msgspec.json.Decoder[_T] = msgspec.json.Decoder(
            expected
        )

    def decode(self, value: bytes) -> _T:
        """Return the decoded row; raise MalformedRowError if malformed."""
        try:
            # The decoder does not check the encoding of unknown fields.
            return self._decoder.decode(value.decode())
        except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
            # Deeply nested JSON exceeds the limit of recursion.
            raise MalformedRowError(
                'the row cannot be read', why=str(exc)
            ) from exc


def load_json(value: bytes) -> Any:
    """Return a row as plain data; raise MalformedRowError if no JSON."""
    try:
        return json.loads(value)
    except (RecursionError, ValueError) as exc:
        raise MalformedRowError(
            'the row cannot be read', why=str(exc)
        ) from exc
