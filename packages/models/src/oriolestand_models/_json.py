"""Parse JSON strictly and format validation errors."""

from collections.abc import Sequence
import json
from typing import Any

import pydantic


def parse(data: bytes) -> Any:
    """Decode UTF-8 encoded JSON, or raise ValueError.

    Duplicate keys are rejected, because the standard parser silently drops
    all but the last value. NaN and infinity are rejected as well.

    >>> parse(b'{"a": 1, "a": 2}')
    Traceback (most recent call last):
    ...
    ValueError: the key 'a' occurs twice in one object
    """
    try:
        return json.loads(
            data.decode(),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except RecursionError:
        raise ValueError('the value is nested too deeply') from None


def _reject_duplicate_keys(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    """Return the object as a dict; raise ValueError for a duplicate key."""
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise ValueError(f'the key {key!r} occurs twice in one object')
        result[key] = value
    return result


def _reject_constant(name: str) -> Any:
    """Raise ValueError for NaN and infinity, which are not valid JSON."""
    raise ValueError(f'{name} is not a valid JSON number')


def format_problems(exc: pydantic.ValidationError) -> list[str]:
    """Return a message for each problem, prefixed with the field's path."""
    return [
        f'{".".join(str(part) for part in item["loc"]) or "."}: {item["msg"]}'
        for item in exc.errors(include_url=False)
    ]
