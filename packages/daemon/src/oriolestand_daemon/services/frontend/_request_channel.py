"""Provide the interface of the connection that a request arrives on."""

import abc

from twisted.web import http


class RequestChannel(http.HTTPChannel, abc.ABC):
    """A connection that pauses reading while a body has no credit."""

    @abc.abstractmethod
    def set_body_paused(self, is_paused: bool) -> None:
        """Stop or resume reading a body, depending on credit."""
