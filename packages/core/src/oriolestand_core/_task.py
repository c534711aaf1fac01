"""Provide the base of all tasks, which own state and get messages."""

import collections
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar
from typing import Generic
from typing import TypeVar

from twisted.internet import defer

from oriolestand_core import _errors
from oriolestand_core import _inbox

if TYPE_CHECKING:
    from oriolestand_core._kernel import Kernel

T = TypeVar('T')
Handler = TypeVar('Handler', bound=Callable[..., Any])

DEFAULT_INBOX_LIMIT = 4096


def handles(message_type: type) -> Callable[[Handler], Handler]:
    """Mark a method of a Task as the handler of a message type."""

    def mark(func: Handler) -> Handler:
        func.__dict__.setdefault('_handled_types', []).append(message_type)
        return func

    return mark


class RunQueue:
    """Run the handlers of all tasks of a process one after another.

    A handler that posts a message never runs the receiver inside itself;
    the message waits until the handler has returned.
    """

    def __init__(self) -> None:
        self._ready: collections.deque[Task] = collections.deque()
        self._is_draining = False

    def schedule(self, task: 'Task') -> None:
        """Queue one message of a task and drain unless draining already."""
        ready = self._ready
        ready.append(task)
        if self._is_draining:
            return
        self._is_draining = True
        take = ready.popleft
        try:
            while ready:
                take().run_one()
        finally:
            self._is_draining = False


class Envelope(Generic[T]):
    """Hold a message and, for a question, where its reply goes."""

    __slots__ = ('message', 'reply')

    def __init__(
        self, message: T, reply: 'defer.Deferred[Any] | None' = None
    ) -> None:
        self.message = message
        self.reply = reply


class Task:
    """Own state and sockets; receive typed messages in a bounded inbox.

    Subclasses mark handlers with ``handles``. A handler's return value is
    the reply to a question; it may be a Deferred.
    """

    inbox_limit: ClassVar[int] = DEFAULT_INBOX_LIMIT
    _handlers: ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Collect the handlers of the class and its bases."""
        super().__init_subclass__(**kwargs)
        found = dict(cls._handlers)
        for name, member in vars(cls).items():
            for message_type in getattr(member, '_handled_types', ()):
                found[message_type] = name
        cls._handlers = found

    def __init__(self, kernel: 'Kernel', name: str) -> None:
        self.kernel = kernel
        self.name = name
        self.is_stopped = False
        self._inbox: _inbox.Inbox[Any] = _inbox.Inbox(name, self.inbox_limit)
        self._schedule = kernel.run_queue.schedule
        # Bound once: a look-up by name for each message shows in profiles.
        self._bound: dict[type, Callable[[Any], Any]] = {
            kind: getattr(self, method)
            for kind, method in self._handlers.items()
        }

    def post(self, message: object) -> None:
        """Deliver a message; raise InboxFullError when there is no room."""
        if self.is_stopped:
            return
        self._inbox.put(message)
        self._schedule(self)

    def ask(self, message: object) -> 'defer.Deferred[Any]':
        """Deliver a question; the Deferred fires with the reply."""
        reply: defer.Deferred[Any] = defer.Deferred()
        if self.is_stopped:
            return defer.fail(
                _errors.NotReadyError('the task stopped', task=self.name)
            )
        try:
            self._inbox.put(Envelope(message, reply))
        except _errors.InboxFullError:
            return defer.fail()
        self._schedule(self)
        return reply

    def run_one(self) -> None:
        """Handle the oldest message; called by the run queue only."""
        try:
            item = self._inbox.take()
        except IndexError:
            # The task stopped, which cleared its inbox.
            return
        kind = type(item)
        if kind is Envelope:
            self._answer(item)
            return
        try:
            method = self._bound.get(kind)
            if method is None:
                method = self._find(item)
            method(item)
        except Exception as exc:
            self._log_fault(item, exc)

    def _find(self, message: object) -> Callable[[Any], Any]:
        """Return the handler of a message, or raise UnknownMessageError."""
        method = self._bound.get(type(message))
        if method is None:
            raise _errors.UnknownMessageError(
                'no handler for the message',
                task=self.name,
                type=type(message).__name__,
            )
        return method

    def _answer(self, envelope: Envelope[Any]) -> None:
        """Handle a question and send its reply, or its error."""
        assert envelope.reply is not None
        try:
            result = self._find(envelope.message)(envelope.message)
        except Exception as exc:
            envelope.reply.errback(exc)
            return
        if isinstance(result, defer.Deferred):
            result.chainDeferred(envelope.reply)
        else:
            envelope.reply.callback(result)

    def _log_fault(self, message: object, exc: Exception) -> None:
        """Log the error of a handler that nobody asked."""
        self.kernel.log.error(
            'Handler failed',
            task=self.name,
            message=type(message).__name__,
            exc_info=exc,
        )

    def start(self) -> object:
        """Begin work once all dependencies are set up; may be async."""
        return None

    def stop(self) -> object:
        """Release all sockets and timers; may return a Deferred."""
        self.is_stopped = True
        self._inbox.clear()
        return None
