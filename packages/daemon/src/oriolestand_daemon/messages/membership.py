"""Define messages and events of membership."""

import dataclasses

import oriolestand_platform as platform


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChanged:
    """Announce the instances that are known.

    ``live_peers`` holds the ids of daemons that a link is up to,
    ``gone_instances`` ids that the platform says are gone, and
    ``leaving_upstreams`` addresses that must get no new work.
    """

    instances: tuple[platform.InstanceEntry, ...]
    live_peers: frozenset[str]
    gone_instances: frozenset[str]
    leaving_upstreams: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerConnected:
    """Announce a link to a peer, after its hello."""

    instance_id: str
    incarnation: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerDisconnected:
    """Announce the loss of a link to a peer."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLeaving:
    """Announce that an upstream must get no new work."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetMembers:
    """Ask for the last MembershipChanged."""
