"""Read what fleet daemons report about failure domains in their metrics."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import re

from oriolestand_cli import _client
from oriolestand_cli import _errors

_SERIES = re.compile(
    r'oriolestand_(\w+?)(?:\{kind="((?:[^"\\]|\\.)*)"\})? (\d+)'
)
_ESCAPED = re.compile(r'\\(.)')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Remaining:
    """Tasks that are left in an evacuated domain, and what they wait for."""

    domain: str
    kind: str
    wait: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetState:
    """State of the failure domains of a fleet.

    ``known_by`` are the daemons that know of the evacuation of a domain.
    ``workers`` is the number of workers by domain, None if no daemon owns the
    cell, and ``remaining`` are the tasks in evacuated domains; both are those
    of the owner. ``failures`` say why other daemons could not be read.
    """

    daemons: tuple[str, ...]
    known_by: dict[str, list[str]]
    workers: dict[str, int] | None
    remaining: tuple[Remaining, ...]
    failures: tuple[str, ...]

    def is_evacuated(self, domain: str) -> bool:
        """Return whether all daemons that answered know of an evacuation."""
        return len(self.known_by.get(domain, ())) == len(self.daemons)

    def is_in_use(self, domain: str) -> bool:
        """Return whether no daemon that answered knows of an evacuation."""
        return not self.known_by.get(domain)


def parse(text: str) -> Iterator[tuple[str, str, int]]:
    """Yield the name, the label and the value of each series with a kind.

    >>> list(parse('oriolestand_domain_evacuated{kind="a"} 1'))
    [('domain_evacuated', 'a', 1)]
    """
    for line in text.split('\n'):
        match = _SERIES.fullmatch(line)
        if match is not None:
            name, label, value = match.groups()
            yield name, _unescape(label or ''), int(value)


def _unescape(label: str) -> str:
    """Return the value of a label as it was before it was printed."""
    return _ESCAPED.sub(
        lambda match: '\n' if match[1] == 'n' else match[1], label
    )


def read(addresses: Sequence[str]) -> FleetState:
    """Return the state that the daemons at some metrics addresses report.

    :raises UnreachableError: if none of them answers.
    """
    series: dict[str, list[tuple[str, str, int]]] = {}
    failures: list[str] = []
    for address in addresses:
        try:
            body = _client.AdminClient([address]).send('GET', '/metrics')
        except _errors.CommandError as exc:
            failures.append('; '.join([exc.message, *exc.details]))
            continue
        series[address] = list(parse(body.decode(errors='replace')))
    if not series:
        raise _errors.UnreachableError(
            'no fleet daemon can be reached; set the metrics address of each '
            'with --metrics or ORIOLESTAND_METRICS',
            _errors.ExitCode.UNREACHABLE,
            failures,
        )
    known_by: dict[str, list[str]] = {}
    for address, found in series.items():
        for name, label, value in found:
            if name == 'domain_evacuated' and value:
                known_by.setdefault(label, []).append(address)
    owner = _owner_of(series)
    return FleetState(
        daemons=tuple(series),
        known_by=known_by,
        workers=_workers(series[owner]) if owner else None,
        remaining=tuple(_remaining(series[owner])) if owner else (),
        failures=tuple(failures),
    )


def _owner_of(series: dict[str, list[tuple[str, str, int]]]) -> str:
    """Return the daemon with the newest epoch, or an empty string.

    Former owners go on to show the gauges of their last term.
    """
    epochs = {
        address: value
        for address, found in series.items()
        for name, _, value in found
        if name == 'owner_epoch'
    }
    return max(epochs, key=lambda a: epochs[a]) if epochs else ''


def _workers(series: list[tuple[str, str, int]]) -> dict[str, int]:
    """Return the number of workers of each domain that has some."""
    return {
        label: value
        for name, label, value in series
        if name == 'domain_workers' and value
    }


def _remaining(series: list[tuple[str, str, int]]) -> Iterator[Remaining]:
    """Yield the tasks that are left in evacuated domains."""
    for name, label, value in series:
        if name == 'domain_evacuated_tasks' and value:
            kind, wait, domain = label.split(' ', 2)
            yield Remaining(domain=domain, kind=kind, wait=wait, count=value)
