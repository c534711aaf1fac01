"""Stream bodies between an exchange and a connection to an upstream."""

from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import iweb
import zope.interface

from oriolestand_daemon.services.upstreams import _body_owner


@zope.interface.implementer(iweb.IBodyProducer)
class RequestBody:
    """Writes the body of a request as its chunks arrive."""

    def __init__(
        self, attempt: _body_owner.BodyOwner, length: int | None
    ) -> None:
        self.length: Any = iweb.UNKNOWN_LENGTH if length is None else length
        self.is_ended = False
        self._attempt = attempt
        self._consumer: Any = None
        self._done: defer.Deferred[None] = defer.Deferred()

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> 'defer.Deferred[None]':
        """Start accepting chunks; the result fires at the end of the body."""
        self._consumer = consumer
        self._attempt.accept_body()
        return self._done

    def write(self, data: bytes) -> None:
        """Write a chunk of the body."""
        if self._consumer is not None:
            self._consumer.write(data)

    def end(self) -> None:
        """End the body."""
        self.is_ended = True
        self._consumer = None
        if not self._done.called:
            self._done.callback(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Withhold credit until the connection has drained."""
        self._attempt.set_credit_withheld(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Return the credit that was withheld."""
        self._attempt.set_credit_withheld(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Discard further chunks."""
        self._consumer = None


class ResponseReader(protocol.Protocol):
    """Passes the body of a response to its attempt."""

    def __init__(self, attempt: _body_owner.BodyOwner) -> None:
        self._attempt = attempt

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a chunk of the body to the attempt."""
        self._attempt.on_response_chunk(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Report the end of the body; the reason shows if it is complete."""
        self._attempt.on_response_end(reason)

    def set_paused(self, is_paused: bool) -> None:
        """Stop or resume reading the response."""
        transport: Any = self.transport
        if transport is None:
            return
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()
