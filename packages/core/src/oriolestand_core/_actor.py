"""Provide the interface of tasks that the kernel and its queue use."""

import abc
from typing import Any

from twisted.internet import defer


class Actor(abc.ABC):
    """A service of a process, which handles one message at a time."""

    @abc.abstractmethod
    def post(self, message: object) -> None:
        """Queue a message, or raise InboxFullError."""

    @abc.abstractmethod
    def ask(self, message: object) -> 'defer.Deferred[Any]':
        """Queue a request; the Deferred fires with its reply or error."""

    @abc.abstractmethod
    def handle_next(self) -> None:
        """Handle the oldest queued message; only the run queue calls this."""

    @abc.abstractmethod
    def start(self) -> object:
        """Start work once all dependencies have started; may be async."""

    @abc.abstractmethod
    def stop(self) -> object:
        """Release all sockets and timers; may return a Deferred."""
