"""Merge the platform's list of instances with links to peers."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import membership
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.membership import const
import oriolestand_platform as platform
from oriolestand_policy import grants


class MembershipTask(core.Task):
    """Own what is known of other instances."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._log = core.get_logger(const.DOMAIN)
        self._instances: dict[str, platform.InstanceEntry] = {}
        self._incarnations: dict[str, str] = {}
        self._replaced: set[grants.Holder] = set()
        self._live_peers: set[str] = set()
        self._timer: Any = None

    def start(self) -> object:
        """Read the list and begin to poll."""
        self.kernel.subscribe(membership.PeerConnected, self)
        self.kernel.subscribe(membership.PeerDisconnected, self)
        return defer.ensureDeferred(self._poll())

    async def _poll(self) -> None:
        """Read the platform's list and schedule the next poll."""
        try:
            listed = await self.kernel.ask('platform', store.ListInstances())
            self._merge(listed)
        except core.OriolestandError as exc:
            self._log.warning('Instance list not read', reason=str(exc))
        if not self.is_stopped:
            self._timer = self.kernel.clock.call_later(
                const.POLL_INTERVAL_MS,
                lambda: defer.ensureDeferred(self._poll()),
            )

    def _merge(self, listed: platform.InstanceList) -> None:
        """Take over the list; an instance that is gone stays gone."""
        for entry in listed.instances:
            known = self._instances.get(entry.id)
            if known and known.state is platform.InstanceState.GONE:
                continue
            self._instances[entry.id] = entry
        self._announce()

    @core.handles(membership.PeerConnected)
    def _on_connected(self, msg: membership.PeerConnected) -> None:
        """Note the peer; its former start at the address is over."""
        former = self._incarnations.get(msg.instance_id)
        if former is not None and former != msg.incarnation:
            self._replaced.add(
                grants.Holder(instance_id=msg.instance_id, incarnation=former)
            )
        self._incarnations[msg.instance_id] = msg.incarnation
        self._live_peers.add(msg.instance_id)
        self._announce()

    @core.handles(membership.PeerDisconnected)
    def _on_disconnected(self, msg: membership.PeerDisconnected) -> None:
        """Note that the link is lost, which proves nothing."""
        self._live_peers.discard(msg.instance_id)
        self._announce()

    @core.handles(membership.GetMembers)
    def _on_get(
        self, msg: membership.GetMembers
    ) -> membership.MembershipChanged:
        """Return what is known."""
        return self._state()

    def _state(self) -> membership.MembershipChanged:
        """Return the event that describes the present state."""
        gone = platform.InstanceState.GONE
        return membership.MembershipChanged(
            instances=tuple(self._instances.values()),
            live_peers=frozenset(self._live_peers),
            gone_instances=frozenset(
                e.id for e in self._instances.values() if e.state is gone
            ),
            replaced=frozenset(self._replaced),
        )

    def _announce(self) -> None:
        """Publish the present state."""
        self.kernel.publish(self._state(), is_state=True)

    def stop(self) -> object:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()
