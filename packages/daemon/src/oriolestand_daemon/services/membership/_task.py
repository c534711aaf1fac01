"""Merge the platform's list of instances with links to peers."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import membership as contracts
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.membership import const
import oriolestand_platform as platform
from oriolestand_policy import membership


class MembershipTask(core.Task):
    """Own what is known of other instances."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._log = core.get_logger(const.DOMAIN)
        self._instances: dict[str, platform.InstanceEntry] = {}
        self._live_peers: set[str] = set()
        self._trust = membership.ListTrust()
        self._leaving = membership.LeavingUpstreams()
        self._announced: contracts.MembershipChanged | None = None
        self._timer: Any = None

    def start(self) -> object:
        """Read the list and begin to poll."""
        for event in (
            contracts.PeerConnected,
            contracts.PeerDisconnected,
            contracts.UpstreamLeaving,
        ):
            self.kernel.subscribe(event, self)
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
        """Take over what the list may say; gone instances stay gone."""
        use = self._trust.judge(listed.as_of_ms, self.kernel.clock.wall())
        if use is membership.ListUse.GONE:
            self._log.warning('Instance list is old', as_of=listed.as_of_ms)
        gone = platform.InstanceState.GONE
        for entry in listed.instances:
            known = self._instances.get(entry.id)
            if known is not None and known.state is gone:
                continue
            if use is membership.ListUse.ALL or entry.state is gone:
                self._instances[entry.id] = entry
        if use is membership.ListUse.ALL:
            self._merge_upstreams(listed)
        self._announce()

    def _merge_upstreams(self, listed: platform.InstanceList) -> None:
        """Take over which upstreams are live and which are leaving."""
        by_state: dict[platform.InstanceState, set[str]] = {
            state: set() for state in platform.InstanceState
        }
        for entry in listed.instances:
            if entry.role is not platform.InstanceRole.UPSTREAM:
                continue
            state = self._instances[entry.id].state
            by_state[state].add(entry.address)
        live = by_state[platform.InstanceState.LIVE]
        # A new instance may have got the address of one that is gone.
        gone = by_state[platform.InstanceState.GONE] - live
        leaving = by_state[platform.InstanceState.LEAVING] | gone
        self._leaving.merge(listed.as_of_ms, live, leaving)

    @core.handles(contracts.UpstreamLeaving)
    def _on_leaving(self, msg: contracts.UpstreamLeaving) -> None:
        """Note what an upstream said, here or to a peer."""
        if self._leaving.signal(msg.address, self.kernel.clock.wall()):
            self._log.info('Upstream is leaving', address=msg.address)
        self._announce()

    @core.handles(contracts.PeerConnected)
    def _on_connected(self, msg: contracts.PeerConnected) -> None:
        """Note that the peer is live."""
        self._live_peers.add(msg.instance_id)
        self._announce()

    @core.handles(contracts.PeerDisconnected)
    def _on_disconnected(self, msg: contracts.PeerDisconnected) -> None:
        """Note that the link is lost, which proves nothing."""
        self._live_peers.discard(msg.instance_id)
        self._announce()

    @core.handles(contracts.GetMembers)
    def _on_get(
        self, msg: contracts.GetMembers
    ) -> contracts.MembershipChanged:
        """Return what is known."""
        return self._state()

    def _state(self) -> contracts.MembershipChanged:
        """Return the event that describes the present state."""
        gone = platform.InstanceState.GONE
        return contracts.MembershipChanged(
            instances=tuple(self._instances.values()),
            live_peers=frozenset(self._live_peers),
            gone_instances=frozenset(
                e.id for e in self._instances.values() if e.state is gone
            ),
            leaving_upstreams=self._leaving.addresses,
        )

    def _announce(self) -> None:
        """Publish the present state if it is new."""
        state = self._state()
        if state != self._announced:
            self._announced = state
            self.kernel.publish(state, is_state=True)

    def stop(self) -> object:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()
