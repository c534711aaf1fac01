"""Follow one job or request through the logs of all daemons."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import sys
from typing import Any
from typing import TextIO

import click

from oriolestand_cli import _output

HIDDEN = ('timestamp', 'instance', 'event', 'part', 'level')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Hold one line of a log."""

    timestamp: str
    instance: str
    event: str
    values: dict[str, Any]

    def text(self) -> str:
        """Return the line for people."""
        rest = ' '.join(
            f'{name}={value}'
            for name, value in self.values.items()
            if value not in ('', None)
        )
        return f'{self.timestamp} {self.instance} {self.event} {rest}'.rstrip()


def parse_lines(lines: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines; what stands before a line is dropped.

    >>> [line.event for line in parse_lines(['x {"event": "a"}', 'other'])]
    ['a']
    """
    for text in lines:
        start = text.find('{')
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            # A line that was cut off, or of another program.
            continue
        if not isinstance(found, dict) or 'event' not in found:
            continue
        yield Line(
            timestamp=str(found.get('timestamp', '')),
            instance=str(found.get('instance', '-')),
            event=str(found['event']),
            values={k: v for k, v in found.items() if k not in HIDDEN},
        )


def select(lines: Iterable[Line], wanted: str) -> list[Line]:
    """Return the lines about an id in order of time.

    Lines about a worker that ran the job's tasks are not included; follow
    the worker by its own id.
    """
    found = [
        line
        for line in lines
        if any(_names(value, wanted) for value in line.values.values())
    ]
    return sorted(found, key=lambda line: line.timestamp)


def _names(value: object, wanted: str) -> bool:
    """Return whether a value names an id: itself, a task of it or a path."""
    text = str(value)
    return (
        text == wanted
        or text.startswith(f'{wanted}.')
        or text.endswith(f'/{wanted}')
    )


@click.command()
@click.argument('wanted', metavar='ID')
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
def logs(wanted: str, files: tuple[TextIO, ...]) -> None:
    """Show what the logs say of a job, task, worker or daemon.

    Reads FILES, or standard input, which may hold the logs of several
    daemons in any order.
    """
    sources = files or (sys.stdin,)
    lines = [line for source in sources for line in parse_lines(source)]
    found = select(lines, wanted)
    for line in found:
        click.echo(line.text())
    if not found:
        _output.note(f'No line of {len(lines)} names {wanted}.')
