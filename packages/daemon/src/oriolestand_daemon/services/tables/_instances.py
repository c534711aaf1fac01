"""Tracking of the version that each entry instance has in force."""

import dataclasses

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import membership
import oriolestand_platform as platform
from oriolestand_policy import tables


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Peer:
    """The last connection event of a peer and the version it reported."""

    hello: membership.PeerConnected
    stamp: tables.Stamp = tables.Stamp()
    is_connected: bool = True


class InstanceTracker:
    """Tracks the versions of peers and the listed entry instances.

    A daemon sends its document to a peer when they connect and after each
    change, and sends only documents that it has in force. A received
    document therefore shows which version the sender has in force.
    """

    def __init__(
        self, cfg: settings.Settings, incarnation: core.Incarnation
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._peers: dict[str, _Peer] = {}
        self._listed: dict[str, platform.InstanceEntry] = {}

    def add_peer(self, msg: membership.PeerConnected) -> None:
        """Add a connected peer; a new incarnation starts without a version."""
        peer = self._peers.get(msg.instance_id)
        if peer and peer.hello.incarnation == msg.incarnation:
            self._peers[msg.instance_id] = dataclasses.replace(
                peer, is_connected=True
            )
            return
        self._peers[msg.instance_id] = _Peer(hello=msg)

    def mark_disconnected(self, instance_id: str) -> None:
        """Mark a peer as disconnected."""
        peer = self._peers.get(instance_id)
        if peer is not None:
            self._peers[instance_id] = dataclasses.replace(
                peer, is_connected=False
            )

    def record_version(self, instance_id: str, stamp: tables.Stamp) -> None:
        """Record the version that a peer has in force."""
        peer = self._peers.get(instance_id)
        if peer is not None and stamp.version >= peer.stamp.version:
            self._peers[instance_id] = dataclasses.replace(peer, stamp=stamp)

    def set_listed(self, msg: membership.MembershipChanged) -> None:
        """Replace the listed entry instances."""
        self._listed = {
            entry.id: entry
            for entry in msg.instances
            if entry.role is platform.InstanceRole.ENTRY
        }

    def statuses(
        self, in_force: tables.Stamp
    ) -> tuple[config.InstanceStatus, ...]:
        """Return the statuses of all instances, sorted by id.

        Listed instances that are gone are included only while connected.
        """
        gone = platform.InstanceState.GONE
        ids = {self._cfg.instance_id}
        ids.update(i for i, e in self._listed.items() if e.state is not gone)
        ids.update(
            i
            for i, peer in self._peers.items()
            if peer.is_connected or i not in self._listed
        )
        return tuple(self._status(i, in_force) for i in sorted(ids))

    def _status(
        self, instance_id: str, in_force: tables.Stamp
    ) -> config.InstanceStatus:
        """Return the status of one instance."""
        entry = self._listed.get(instance_id)
        state = entry.state.value if entry is not None else ''
        admin = entry.admin_address if entry is not None else ''
        if instance_id == self._cfg.instance_id:
            return config.InstanceStatus(
                instance_id=instance_id,
                incarnation=self._incarnation,
                failure_domain=self._cfg.failure_domain,
                region=self._cfg.region,
                version=in_force.version,
                digest=in_force.digest,
                is_connected=True,
                is_self=True,
                state=state,
                admin_address=admin,
            )
        peer = self._peers.get(instance_id)
        hello = peer.hello if peer is not None else None
        stamp = peer.stamp if peer is not None else tables.Stamp()
        location = hello or entry
        return config.InstanceStatus(
            instance_id=instance_id,
            incarnation=hello.incarnation if hello is not None else '',
            failure_domain=location.failure_domain if location else '',
            region=location.region if location else '',
            version=stamp.version,
            digest=stamp.digest,
            is_connected=peer is not None and peer.is_connected,
            is_self=False,
            state=state,
            admin_address=admin,
        )
