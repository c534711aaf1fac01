"""Define messages and events of membership."""

import dataclasses

import oriolestand_platform as platform
from oriolestand_policy import grants


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipChanged:
    """Announce the instances that are known.

    ``gone`` holds former starts of daemons that are proven to be over.
    """

    instances: tuple[platform.InstanceEntry, ...]
    live_peers: frozenset[str]
    gone_instances: frozenset[str]
    replaced: frozenset[grants.Holder]


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
