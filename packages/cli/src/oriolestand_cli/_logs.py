"""Command that finds the log lines about one id in the logs of daemons."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import sys
from typing import Any
from typing import TextIO

import click

from oriolestand_cli import _output

NON_VALUE_FIELDS = ('timestamp', 'instance', 'event', 'part', 'level')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """A structured log line."""

    timestamp: str
    instance: str
    event: str
    values: dict[str, Any]

    def format(self) -> str:
        """Return the line as readable text."""
        pairs = ' '.join(
            f'{name}={value}'
            for name, value in self.values.items()
            if value not in ('', None)
        )
        return (
            f'{self.timestamp} {self.instance} {self.event} {pairs}'.rstrip()
        )


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines; text before the JSON and other lines are skipped.

    >>> [line.event for line in parse_lines(['x {"event": "a"}', 'other'])]
    ['a']
    """
    for text in lines:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            # The line is truncated or was written by another program.
            continue
        if not isinstance(fields, dict) or 'event' not in fields:
            continue
        yield LogLine(
            timestamp=str(fields.get('timestamp', '')),
            instance=str(fields.get('instance', '-')),
            event=str(fields['event']),
            values={
                k: v for k, v in fields.items() if k not in NON_VALUE_FIELDS
            },
        )


def select(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Return the lines that refer to an id, ordered by timestamp.

    Lines about a worker that ran tasks of a job are not included; select
    them by the id of the worker.
    """
    matches = [
        line
        for line in lines
        if any(_refers_to(value, wanted) for value in line.values.values())
    ]
    return sorted(matches, key=lambda line: line.timestamp)


def _refers_to(value: object, wanted: str) -> bool:
    """Return whether a value is an id, a task of it or a path to it."""
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
    """Show the log lines about a job, task, worker or daemon.

    Reads FILES, or standard input. The lines may come from several
    daemons, in any order.
    """
    sources = files or (sys.stdin,)
    lines = [line for source in sources for line in parse_lines(source)]
    matches = select(lines, wanted)
    for line in matches:
        click.echo(line.format())
    if not matches:
        _output.print_message(
            f'None of the {len(lines)} log lines refers to {wanted}.'
        )
