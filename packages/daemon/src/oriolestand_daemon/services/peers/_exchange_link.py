"""Provide the interface of the link that carries exchanges."""

import abc

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_policy import tables
import oriolestand_wire as wire


class ExchangeLink(core.Task, abc.ABC):
    """The link to a peer, as its exchanges use it.

    ``hello`` is that of the peer, None before the handshake; ``session`` is
    unique among all links.
    """

    hello: wire.Hello | None
    session: str

    @abc.abstractmethod
    def encode(self, message: wire.PeerMessage) -> bytes:
        """Return a message as a frame, or raise FrameTooLongError."""

    @abc.abstractmethod
    def admit_exchange(self, size: int) -> None:
        """Charge a new exchange to the budget for traffic between regions.

        Raise PeerUnreachableError if the link is not active and
        RegionBudgetError if the budget does not cover ``size`` bytes.
        """

    @abc.abstractmethod
    def send(self, message: wire.PeerMessage) -> None:
        """Send a message unless the link is closed."""

    @abc.abstractmethod
    def write(self, frame: bytes) -> None:
        """Write a frame unless the link is closed."""

    @abc.abstractmethod
    def grant_credit(self, receiver: exchange.Endpoint, size: int) -> None:
        """Grant credit, delayed while the region budget is overdrawn."""

    @abc.abstractmethod
    def get_route(self, generation: int, name: str) -> tables.Route:
        """Return a route by name from the tables of a generation.

        Raise UnknownGenerationError if the generation is not stored or has
        no such route.
        """
