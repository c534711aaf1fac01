"""Provide tasks: actors that handle messages one at a time."""

from collections.abc import Callable
from typing import Any
from typing import ClassVar
from typing import Generic
from typing import TypeVar

from twisted.internet import defer

from oriolestand_core import _actor
from oriolestand_core import _errors
from oriolestand_core import _inbox
from oriolestand_core import _kernel

T = TypeVar('T')
Handler = TypeVar('Handler', bound=Callable[..., Any])

DEFAULT_INBOX_LIMIT = 4096


def handles(message_type: type) -> Callable[[Handler], Handler]:
    """Return a decorator that makes a method the handler of a type."""

    def decorate(func: Handler) -> Handler:
        func.__dict__.setdefault('_handled_types', []).append(message_type)
        return func

    return decorate


class Envelope(Generic[T]):
    """Pair a request with the Deferred that receives its reply."""

    __slots__ = ('message', 'reply')

    def __init__(
        self, message: T, reply: 'defer.Deferred[Any] | None' = None
    ) -> None:
        self.message = message
        self.reply = reply


class Task(_actor.Actor):
    """Base class of actors, which handle typed messages from an inbox.

    A task owns its state and sockets. Subclasses decorate handlers with
    ``handles``. What a handler returns, possibly a Deferred, is the reply
    if the message was sent with ``ask``.
    """

    inbox_limit: ClassVar[int] = DEFAULT_INBOX_LIMIT
    _handlers: ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Collect the handlers of the class and its bases."""
        super().__init_subclass__(**kwargs)
        handlers = dict(cls._handlers)
        for name, member in vars(cls).items():
            for message_type in getattr(member, '_handled_types', ()):
                handlers[message_type] = name
        cls._handlers = handlers

    def __init__(self, kernel: _kernel.Kernel, name: str) -> None:
        self.kernel = kernel
        self.name = name
        self.is_stopped = False
        self._inbox: _inbox.Inbox[Any] = _inbox.Inbox(name, self.inbox_limit)
        self._schedule = kernel.run_queue.schedule
        # Bind handlers once, because a look-up by name for each message
        # shows up in profiles.
        self._bound_handlers: dict[type, Callable[[Any], Any]] = {
            message_type: getattr(self, method)
            for message_type, method in self._handlers.items()
        }

    def post(self, message: object) -> None:
        """Queue a message, or raise InboxFullError.

        Messages to a stopped task are dropped.
        """
        if self.is_stopped:
            return
        self._inbox.put(message)
        self._schedule(self)

    def ask(self, message: object) -> 'defer.Deferred[Any]':
        """Queue a request; the Deferred fires with its reply or error."""
        reply: defer.Deferred[Any] = defer.Deferred()
        if self.is_stopped:
            return defer.fail(
                _errors.NotReadyError('the task is stopped', task=self.name)
            )
        try:
            self._inbox.put(Envelope(message, reply))
        except _errors.InboxFullError:
            return defer.fail()
        self._schedule(self)
        return reply

    def handle_next(self) -> None:
        """Handle the oldest queued message; only the run queue calls this."""
        try:
            item = self._inbox.take()
        except IndexError:
            # Stopping the task cleared its inbox.
            return
        message_type = type(item)
        if message_type is Envelope:
            self._handle_request(item)
            return
        try:
            method = self._bound_handlers.get(message_type)
            if method is None:
                method = self._find_handler(item)
            method(item)
        except Exception as exc:
            self._log_handler_error(item, exc)

    def _find_handler(self, message: object) -> Callable[[Any], Any]:
        """Return the handler of a message, or raise UnknownMessageError."""
        method = self._bound_handlers.get(type(message))
        if method is None:
            raise _errors.UnknownMessageError(
                'no handler for the message',
                task=self.name,
                type=type(message).__name__,
            )
        return method

    def _handle_request(self, envelope: Envelope[Any]) -> None:
        """Handle a request and fire its Deferred with the reply or error."""
        assert envelope.reply is not None
        try:
            result = self._find_handler(envelope.message)(envelope.message)
        except Exception as exc:
            envelope.reply.errback(exc)
            return
        if isinstance(result, defer.Deferred):
            result.chainDeferred(envelope.reply)
        else:
            envelope.reply.callback(result)

    def _log_handler_error(self, message: object, exc: Exception) -> None:
        """Log an error in a handler whose sender expects no reply."""
        self.kernel.log.error(
            'Handler failed',
            task=self.name,
            message=type(message).__name__,
            exc_info=exc,
        )

    def start(self) -> object:
        """Start work once all dependencies have started; may be async."""
        return None

    def stop(self) -> object:
        """Release all sockets and timers; may return a Deferred."""
        self.is_stopped = True
        self._inbox.clear()
        return None
