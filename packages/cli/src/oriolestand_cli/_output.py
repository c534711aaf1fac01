"""Output of commands: tables, JSON and messages."""

from collections.abc import Sequence
import json
from typing import Any

import click

COLUMN_GAP = '  '


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2))


def format_table(
    headers: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Return rows as text with aligned columns.

    >>> print(format_table(['NAME', 'SLOTS'], [['main', 8], ['b', 16]]))
    NAME  SLOTS
    main  8
    b     16
    """
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def print_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows with aligned columns."""
    click.echo(format_table(headers, rows))


def print_message(text: str) -> None:
    """Print a message to standard error, separate from the result."""
    click.echo(text, err=True)
