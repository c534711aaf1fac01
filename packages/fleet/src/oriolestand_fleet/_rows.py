"""Decode and check the JSON of rows of the store."""

import json
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

_T = TypeVar('_T')


class RowDecoder(Generic[_T]):
    """Decode rows to one type, without conversions such as text to number.

    >>> RowDecoder(dict[str, int]).decode(b'{"a": 1}')
    {'a': 1}
    >>> RowDecoder(dict[str, int]).decode(b'{"a": "1"}')
    Traceback (most recent call last):
    ...
    msgspec.ValidationError: Expected `int`, got `str` - at `$[...]`
    """

    def __init__(self, expected: Any) -> None:
        self._decoder: msgspec.json.Decoder[_T] = msgspec.json.Decoder(
            expected
        )

    def decode(self, value: bytes) -> _T:
        """Return the decoded row; raise ValueError if it is malformed."""
        try:
            # The decoder does not check the encoding of unknown fields.
            return self._decoder.decode(value.decode())
        except RecursionError as exc:
            raise ValueError('the row is nested too deeply') from exc


def load_json(value: bytes) -> Any:
    """Return a row as plain data; raise ValueError if it is no JSON."""
    try:
        return json.loads(value)
    except RecursionError as exc:
        raise ValueError('the row is nested too deeply') from exc
