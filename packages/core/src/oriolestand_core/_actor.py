"""Provide the interface of tasks and the queue that runs them."""

import abc
import collections
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


class RunQueue:
    """Run the message handlers of all tasks of a process one at a time.

    Handlers never nest: a message that a handler posts stays queued until
    that handler has returned.
    """

    def __init__(self) -> None:
        self._ready: collections.deque[Actor] = collections.deque()
        self._is_draining = False

    def schedule(self, task: Actor) -> None:
        """Schedule one message of a task, and run the queue if idle."""
        ready = self._ready
        ready.append(task)
        if self._is_draining:
            return
        self._is_draining = True
        take = ready.popleft
        try:
            while ready:
                take().handle_next()
        finally:
            self._is_draining = False
