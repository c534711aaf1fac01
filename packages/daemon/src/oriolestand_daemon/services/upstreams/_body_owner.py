"""Provide the interface of the attempt whose bodies are streamed."""

import abc

from twisted.python import failure


class BodyOwner(abc.ABC):
    """Receives the events of a request body and a response body."""

    @abc.abstractmethod
    def accept_body(self) -> None:
        """Allow the caller side to send the body."""

    @abc.abstractmethod
    def set_credit_withheld(self, is_withheld: bool) -> None:
        """Withhold or release credit, depending on back-pressure."""

    @abc.abstractmethod
    def on_response_chunk(self, data: bytes) -> None:
        """Send a chunk of the response to the caller side."""

    @abc.abstractmethod
    def on_response_end(self, reason: failure.Failure) -> None:
        """End the response; the reason shows if it is complete."""
