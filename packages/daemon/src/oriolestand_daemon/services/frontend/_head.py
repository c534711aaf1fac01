"""Check the head of a caller's request and split it into its parts."""

from collections.abc import Iterable
import dataclasses
import functools
import re

from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import routing

Pairs = Iterable[tuple[str, str]]

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_NAMES_CACHED = 256


@functools.lru_cache(_NAMES_CACHED)
def decode_name(raw: bytes) -> str:
    """Return a header's name in lower case; empty when it is malformed.

    >>> decode_name(b'X-Key'), decode_name(b'X Key')
    ('x-key', '')
    """
    return raw.decode('ascii').lower() if _TOKEN.fullmatch(raw) else ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Hold what is used of a request's head.

    ``headers`` are those to pass on, with names in lower case.
    ``timeout_ms`` is 0 when the caller named no deadline.
    """

    target: str
    facts: routing.RequestFacts
    headers: tuple[tuple[str, str], ...]
    timeout_ms: int = 0


def connection_options(values: Iterable[str]) -> frozenset[str]:
    """Return the options of Connection headers in lower case.

    >>> sorted(connection_options(['close, X-Trail', 'TE']))
    ['close', 'te', 'x-trail']
    """
    return frozenset(
        option.strip().lower() for v in values for option in v.split(',')
    )


def parse(method: bytes, uri: bytes, version: bytes, pairs: Pairs) -> Head:
    """Return the checked head of a request, or raise BadRequestError."""
    facts: dict[str, str] = {}
    forward = []
    dropped = const.HOP_BY_HOP
    for pair in pairs:
        name = pair[0]
        if name == 'host' and name in facts:
            raise errors.BadRequestError('more than one Host header')
        facts.setdefault(name, pair[1])
        if name == 'connection':
            dropped = dropped | connection_options([pair[1]]) - {'host'}
        if name != 'content-length' and not name.startswith(const.OWN_PREFIX):
            forward.append(pair)
    if version == b'HTTP/1.1' and 'host' not in facts:
        raise errors.BadRequestError('the Host header is missing')
    target, authority = _split_target(uri)
    host = authority or facts.get('host', '')
    if authority:
        forward = [h for h in forward if h[0] != 'host']
        forward.append(('host', authority))
    return Head(
        target=target,
        facts=routing.RequestFacts(
            host=_without_port(host),
            method=method.decode('ascii'),
            path=target.partition('?')[0],
            headers=facts,
        ),
        headers=tuple([h for h in forward if h[0] not in dropped]),
        timeout_ms=_timeout(facts.get(const.HEADER_DEADLINE, '')),
    )


def _split_target(uri: bytes) -> tuple[str, str]:
    """Return path with query, and the host of an absolute target."""
    try:
        target = uri.decode('ascii')
    except UnicodeDecodeError as exc:
        raise errors.BadRequestError('the target is not ASCII') from exc
    if '\x7f' in target:
        raise errors.BadRequestError('the target has a control character')
    if target.startswith('/'):
        return target, ''
    scheme, mark, rest = target.partition('://')
    if not mark or scheme.lower() not in ('http', 'https'):
        raise errors.BadRequestError('the target must begin with a slash')
    cut = min((i for i in map(rest.find, '/?') if i >= 0), default=len(rest))
    authority, path = rest[:cut], rest[cut:]
    if not authority:
        raise errors.BadRequestError('the target has no host')
    return path if path.startswith('/') else f'/{path}', authority


def _without_port(host: str) -> str:
    """Return a host without its port.

    >>> _without_port('[::1]:80'), _without_port('a:80'), _without_port('a')
    ('[::1]', 'a', 'a')
    """
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host


def _timeout(text: str) -> int:
    """Return the milliseconds of a deadline header; 0 without one."""
    if not text:
        return 0
    if not (text.isascii() and text.isdecimal()) or not int(text[:18]):
        raise errors.BadRequestError(
            'the deadline is not a positive number', value=text[:32]
        )
    return int(text[:18])
