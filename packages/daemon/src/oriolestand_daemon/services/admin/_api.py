"""Define what a part of the admin interface gets and returns."""

import abc
from collections.abc import Mapping
import dataclasses
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.services.admin import errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Hold a request; ``path`` has the segments after the part's name."""

    method: str
    path: tuple[str, ...]
    args: Mapping[str, str]
    body: bytes = b''

    def text(self, name: str, default: str = '') -> str:
        """Return a query parameter."""
        return self.args.get(name, default)

    def number(self, name: str, default: int | None = None) -> int | None:
        """Return a query parameter that is a number, 0 or more."""
        text = self.args.get(name)
        if text is None:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            raise errors.BadRequestError(
                'the parameter is not a number', parameter=name, value=text
            )
        return int(text)

    def required(self, name: str) -> int:
        """Return a query parameter that must be given."""
        value = self.number(name)
        if value is None:
            raise errors.BadRequestError(
                'the parameter is missing', parameter=name
            )
        return value


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Hold an answer that is not made from a JSON value."""

    body: bytes
    content_type: str = 'application/json'
    status: int = 200


class Api(abc.ABC):
    """Answer the requests below one first path segment."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel

    @abc.abstractmethod
    async def handle(self, call: Call) -> Any:
        """Return a Reply, or a value or data class to send as JSON."""

    async def ask(self, service: str, message: object) -> Any:
        """Return the reply of a service, or raise ServiceNotLoadedError."""
        if service not in self._kernel.services:
            raise errors.ServiceNotLoadedError(
                'this daemon does not run the service', service=service
            )
        return await self._kernel.ask(service, message)


def refuse(call: Call, *methods: str) -> core.OriolestandError:
    """Return the error for a call that no case of an Api took."""
    if methods and call.method not in methods:
        return errors.UnknownMethodError(
            'the resource does not know the method',
            method=call.method,
            known=', '.join(methods),
        )
    return errors.UnknownPathError(
        'no resource has this path', path='/'.join(call.path)
    )
