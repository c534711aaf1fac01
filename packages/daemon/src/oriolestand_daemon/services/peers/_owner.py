"""Provide the interface of the task that links to peers belong to."""

import abc
from typing import Any
from typing import Generic
from typing import TypeVar

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_policy import tables

LinkT = TypeVar('LinkT')


class LinkOwner(core.Task, abc.ABC, Generic[LinkT]):
    """The task that runs the links to peers."""

    cfg: settings.Settings
    log: Any
    is_leaving: bool

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Return the listening address as host:port, empty if closed."""

    @abc.abstractmethod
    def next_session(self) -> str:
        """Return an id for a new link that is unique across restarts."""

    @abc.abstractmethod
    def is_linked(self, address: str, instance_id: str) -> bool:
        """Return whether there is an active link to a peer."""

    @abc.abstractmethod
    def may_activate(self, link: LinkT) -> bool:
        """Return whether a new link to a peer may be activated."""

    @abc.abstractmethod
    def on_link_up(self, link: LinkT) -> None:
        """Register an active link and send the current state to the peer."""

    @abc.abstractmethod
    def on_link_down(self, link: LinkT, was_active: bool) -> None:
        """Remove a closed link and reconnect."""

    @abc.abstractmethod
    def get_route(self, generation: int, name: str) -> tables.Route:
        """Return a route by name from the tables of a generation.

        Raise UnknownGenerationError if the generation is not stored or has
        no such route.
        """

    @abc.abstractmethod
    def publish_load(self, link: LinkT) -> None:
        """Publish the last load of a peer."""

    @abc.abstractmethod
    def pause_remote_peers(self) -> None:
        """Stop forwarding to other regions until the budget recovers."""
