"""Define the messages and events of the membership service."""

import dataclasses

import oriolestand_platform as platform


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChanged:
    """Event: the list of instances or their state has changed.

    ``live_peers`` are the ids of daemons with an active link,
    ``gone_instances`` the ids that the platform reports as gone, and
    ``leaving_upstreams`` the addresses that must not get new work.
    """

    instances: tuple[platform.InstanceEntry, ...]
    live_peers: frozenset[str]
    gone_instances: frozenset[str]
    leaving_upstreams: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerConnected:
    """Event: a link to a peer is active."""

    instance_id: str
    incarnation: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerDisconnected:
    """Event: the link to a peer was lost."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLeaving:
    """Event: an upstream is leaving and must not get new work."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetMembership:
    """Request the last ``MembershipChanged`` event."""
