"""Validate IP addresses; host names are not resolved and thus rejected."""

import ipaddress
from typing import Annotated

import pydantic

MAX_PORT = 65_535


def _check_host(text: str) -> str:
    """Return the text, or raise ValueError unless it is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise ValueError(f'{text} is not an IP address') from None
    return text


def _check_address(text: str) -> str:
    """Return the text, or raise ValueError unless it is ``ip:port``.

    An IPv6 address is enclosed in brackets.
    """
    host, _, port = text.rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        ipaddress.IPv6Address(_check_host(host[1:-1]))
    else:
        ipaddress.IPv4Address(_check_host(host))
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{port} is not a valid port')
    return text


Host = Annotated[
    str,
    pydantic.Field(pattern=r'^[0-9a-fA-F.:]+$'),
    pydantic.AfterValidator(_check_host),
]
Address = Annotated[
    str,
    pydantic.Field(pattern=r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$'),
    pydantic.AfterValidator(_check_address),
]
