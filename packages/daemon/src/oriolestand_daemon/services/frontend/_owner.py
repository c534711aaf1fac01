"""Provide the interfaces of the task that callers' connections belong to."""

import abc
from typing import Generic
from typing import TypeVar

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.frontend import _head

RequestT = TypeVar('RequestT')
ChannelT = TypeVar('ChannelT')


class RequestOwner(core.Task, abc.ABC, Generic[RequestT]):
    """The task that runs the exchanges of requests."""

    cfg: settings.Settings
    is_leaving: bool

    @abc.abstractmethod
    def open_exchange(self, req: RequestT, parsed: _head.Head) -> int:
        """Start an exchange for a request; return its local id.

        Raise NoRouteError if no route matches.
        """

    @abc.abstractmethod
    def report_end(
        self,
        req: RequestT,
        verdict: core.Verdict,
        has_left: bool = False,
    ) -> None:
        """Report the end of a request to telemetry."""

    @abc.abstractmethod
    def remove_exchange(self, xid: int) -> None:
        """Stop tracking an exchange that has ended."""


class ChannelOwner(RequestOwner[RequestT], Generic[RequestT, ChannelT]):
    """The task that tracks the connections of callers and their requests."""

    channels: set[ChannelT]

    @abc.abstractmethod
    def on_channel_lost(self, channel: ChannelT) -> None:
        """Stop tracking a connection that is closed."""
