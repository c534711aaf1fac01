"""Parse and validate the head of a caller's request."""

from collections.abc import Iterable
import dataclasses
import functools
import re

from oriolestand_daemon.services.frontend import const
from oriolestand_daemon.services.frontend import errors
from oriolestand_policy import routing

HeaderPairs = Iterable[tuple[str, str]]

_HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_NAME_CACHE_SIZE = 256


@functools.lru_cache(_NAME_CACHE_SIZE)
def decode_header_name(raw: bytes) -> str:
    """Return a header name in lower case, or an empty string if invalid.

    >>> decode_header_name(b'X-Key'), decode_header_name(b'X Key')
    ('x-key', '')
    """
    return raw.decode('ascii').lower() if _HEADER_NAME.fullmatch(raw) else ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The parsed head of a request.

    ``attributes`` are the values that routes are matched against.
    ``headers`` are the ones to forward, with names in lower case.
    ``timeout_ms`` is the timeout in the deadline header, 0 if it is absent.
    """

    target: str
    attributes: routing.RequestAttributes
    headers: tuple[tuple[str, str], ...]
    timeout_ms: int = 0


def connection_options(values: Iterable[str]) -> frozenset[str]:
    """Return the options listed in Connection headers, in lower case.

    >>> sorted(connection_options(['close, X-Trail', 'TE']))
    ['close', 'te', 'x-trail']
    """
    return frozenset(
        option.strip().lower() for v in values for option in v.split(',')
    )


def parse(
    method: bytes, uri: bytes, version: bytes, pairs: HeaderPairs
) -> Head:
    """Parse the head of a request.

    Raise BadRequestError if it is invalid.

    :param pairs: all headers, with names returned by ``decode_header_name``.
    """
    headers_by_name: dict[str, str] = {}
    forwarded = []
    dropped = const.HOP_BY_HOP_HEADERS
    for pair in pairs:
        name = pair[0]
        if name == 'host' and name in headers_by_name:
            raise errors.BadRequestError(
                'the request has more than one Host header'
            )
        headers_by_name.setdefault(name, pair[1])
        if name == 'connection':
            # Host is mandatory, so a Connection header cannot drop it.
            dropped = dropped | connection_options([pair[1]]) - {'host'}
        if name != 'content-length' and not name.startswith(
            const.PROJECT_HEADER_PREFIX
        ):
            forwarded.append(pair)
    if version == b'HTTP/1.1' and 'host' not in headers_by_name:
        raise errors.BadRequestError('the request has no Host header')
    target, authority = _split_target(uri)
    host = authority or headers_by_name.get('host', '')
    if authority:
        forwarded = [h for h in forwarded if h[0] != 'host']
        forwarded.append(('host', authority))
    return Head(
        target=target,
        attributes=routing.RequestAttributes(
            host=_strip_port(host),
            method=method.decode('ascii'),
            path=target.partition('?')[0],
            headers=headers_by_name,
        ),
        headers=tuple([h for h in forwarded if h[0] not in dropped]),
        timeout_ms=_parse_timeout(
            headers_by_name.get(const.HEADER_DEADLINE, '')
        ),
    )


def _split_target(uri: bytes) -> tuple[str, str]:
    """Return the origin-form target and the authority, if one is given.

    Raise BadRequestError for a malformed target.
    """
    try:
        target = uri.decode('ascii')
    except UnicodeDecodeError as exc:
        raise errors.BadRequestError(
            'the request target is not ASCII'
        ) from exc
    if '\x7f' in target:
        raise errors.BadRequestError(
            'the request target contains a control character'
        )
    if target.startswith('/'):
        return target, ''
    scheme, separator, rest = target.partition('://')
    if not separator or scheme.lower() not in ('http', 'https'):
        raise errors.BadRequestError(
            'the request target must start with a slash'
        )
    authority_end = min(
        (i for i in map(rest.find, '/?') if i >= 0), default=len(rest)
    )
    authority, path = rest[:authority_end], rest[authority_end:]
    if not authority:
        raise errors.BadRequestError('the request target has no host')
    return path if path.startswith('/') else f'/{path}', authority


def _strip_port(host: str) -> str:
    """Return a host without its port.

    >>> _strip_port('[::1]:80'), _strip_port('a:80'), _strip_port('a')
    ('[::1]', 'a', 'a')
    """
    name, separator, port = host.rpartition(':')
    return name if separator and port.isdigit() else host


def _parse_timeout(text: str) -> int:
    """Return the timeout in a deadline header in ms, 0 if it is absent.

    Raise BadRequestError if it is not a positive integer. Only the first 18
    digits are used, to bound the number. The timeout of the route is applied
    later as an upper limit.
    """
    if not text:
        return 0
    if not (text.isascii() and text.isdecimal()) or not int(text[:18]):
        raise errors.BadRequestError(
            'the timeout in the deadline header is not a positive integer',
            value=text[:32],
        )
    return int(text[:18])
