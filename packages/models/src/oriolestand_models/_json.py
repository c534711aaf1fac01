"""Read JSON strictly and list what validation found."""

from collections.abc import Sequence
import json
from typing import Any

import pydantic


def parse(data: bytes) -> Any:
    """Return the JSON value in UTF-8 bytes, or raise ValueError.

    A repeated key is refused, because the value that came first would be
    lost without notice; so are NaN and infinity.

    >>> parse(b'{"a": 1, "a": 2}')
    Traceback (most recent call last):
    ...
    ValueError: the key 'a' occurs twice in one object
    """
    try:
        return json.loads(
            data.decode(),
            object_pairs_hook=_refuse_repeats,
            parse_constant=_refuse_constant,
        )
    except RecursionError:
        raise ValueError('the value is nested too deeply') from None


def _refuse_repeats(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object without repeated keys."""
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f'the key {key!r} occurs twice in one object')
        result[key] = value
    return result


def _refuse_constant(name: str) -> Any:
    """Refuse a number that JSON does not know."""
    raise ValueError(f'{name} is not a JSON number')


def list_problems(exc: pydantic.ValidationError) -> list[str]:
    """Return each problem with the path of its field."""
    return [
        f'{".".join(str(part) for part in item["loc"]) or "."}: {item["msg"]}'
        for item in exc.errors(include_url=False)
    ]
