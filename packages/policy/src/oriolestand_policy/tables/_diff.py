"""Compare two versions of the tables."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from oriolestand_policy.tables import _tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One change; ``before`` is empty if added, ``after`` if removed.

    ``path`` names the entry, not its index: ``pools.main.queue_limit``.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return the change as a readable line.

        >>> str(Change(path='routes.a.pool', before='x', after='y'))
        'routes.a.pool: x -> y'
        >>> str(Change(path='routes.a', before='', after='pool=x'))
        'routes.a: added (pool=x)'
        """
        if not self.before:
            return f'{self.path}: added ({self.after})'
        if not self.after:
            return f'{self.path}: removed'
        return f'{self.path}: {self.before} -> {self.after}'


def diff(old: _tables.Tables, new: _tables.Tables) -> list[Change]:
    """Return the changes from ``old`` to ``new``: pools first, each by name.

    The order of entries is ignored, because it has no effect.
    """
    return [
        *_diff_entries('pools', old.pools, new.pools),
        *_diff_entries(
            'routes',
            {route.name: route for route in old.routes},
            {route.name: route for route in new.routes},
        ),
    ]


def _diff_entries(
    table: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Change]:
    """Yield the changes of one table."""
    for name in sorted({*old, *new}):
        path = f'{table}.{name}'
        if name not in old:
            yield Change(path=path, before='', after=_format(new[name]))
        elif name not in new:
            yield Change(path=path, before=_format(old[name]), after='')
        else:
            yield from _diff_fields(path, old[name], new[name])


def _diff_fields(path: str, old: Any, new: Any) -> Iterator[Change]:
    """Yield the fields that differ, including those of nested classes."""
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        inner = f'{path}.{field.name}'
        if before == after:
            continue
        if dataclasses.is_dataclass(before):
            yield from _diff_fields(inner, before, after)
        elif field.name == 'upstreams':
            yield from _diff_entries(
                inner,
                {upstream.address: upstream for upstream in before},
                {upstream.address: upstream for upstream in after},
            )
        else:
            yield Change(
                path=inner, before=_format(before), after=_format(after)
            )


def _format(value: Any) -> str:
    """Return a value in a readable form."""
    if isinstance(value, enum.Enum):
        return str(value.value)
    if dataclasses.is_dataclass(value):
        return ', '.join(
            f'{field.name}={_format(getattr(value, field.name))}'
            for field in dataclasses.fields(value)
            if field.name != 'name'
        )
    if isinstance(value, frozenset):
        return ' '.join(sorted(value)) or 'any'
    if isinstance(value, tuple):
        return '[' + '; '.join(_format(item) for item in value) + ']'
    return str(value) if value != '' else 'any'
