"""Define the base class and the call and reply types of admin APIs."""

import abc
from collections.abc import Mapping
import dataclasses
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.services.admin import errors


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A request to an API.

    ``path`` has the segments after the first one, which selects the API.
    """

    method: str
    path: tuple[str, ...]
    args: Mapping[str, str]
    body: bytes = b''

    def text(self, name: str, default: str = '') -> str:
        """Return a query parameter as text."""
        return self.args.get(name, default)

    def number(self, name: str, default: int | None = None) -> int | None:
        """Return a query parameter as a non-negative integer.

        Raise BadRequestError if it is not one.
        """
        text = self.args.get(name)
        if text is None:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            raise errors.BadRequestError(
                'the parameter is not a non-negative integer',
                parameter=name,
                value=text,
            )
        return int(text)

    def required_number(self, name: str) -> int:
        """Return a mandatory parameter as ``number`` does.

        Raise BadRequestError if it is missing.
        """
        value = self.number(name)
        if value is None:
            raise errors.BadRequestError(
                'a required parameter is missing', parameter=name
            )
        return value


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A response with an encoded body."""

    body: bytes
    content_type: str = 'application/json'
    status: int = 200


class Api(abc.ABC):
    """Base class of the APIs; each handles one first path segment."""

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel

    @abc.abstractmethod
    async def handle(self, call: Call) -> Any:
        """Return a Reply, JSON as bytes, or a value to encode as JSON."""

    async def ask(self, service: str, message: object) -> Any:
        """Return the reply of a service, or raise ServiceNotLoadedError."""
        if service not in self._kernel.services:
            raise errors.ServiceNotLoadedError(
                'this daemon does not run the service', service=service
            )
        return await self._kernel.ask(service, message)


def unsupported_call(call: Call, *methods: str) -> core.OriolestandError:
    """Return the error for an unsupported path or method.

    ``methods`` are those that the resource supports; none means that there
    is no such resource.
    """
    if methods and call.method not in methods:
        return errors.UnknownMethodError(
            'the resource does not support the method',
            method=call.method,
            known=', '.join(methods),
        )
    return errors.UnknownPathError(
        'no resource has this path', path='/'.join(call.path)
    )
