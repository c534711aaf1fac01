"""Task that merges the platform's instance list with peer connections."""

from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon.messages import membership as contracts
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.membership import const
import oriolestand_platform as platform
from oriolestand_policy import membership


class MembershipTask(core.Task):
    """Tracks the state of other instances and publishes its changes."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._log = core.get_logger(const.DOMAIN)
        self._instances: dict[str, platform.InstanceEntry] = {}
        self._live_peers: set[str] = set()
        self._list_freshness = membership.ListFreshness()
        self._leaving_upstreams = membership.LeavingUpstreams()
        self._last_published: contracts.MembershipChanged | None = None
        self._timer: Any = None

    def start(self) -> object:
        """Subscribe to events and start to poll the instance list."""
        for event in (
            contracts.PeerConnected,
            contracts.PeerDisconnected,
            contracts.UpstreamLeaving,
        ):
            self.kernel.subscribe(event, self)
        return defer.ensureDeferred(self._poll())

    async def _poll(self) -> None:
        """Read the platform's instance list and schedule the next poll."""
        try:
            listed = await self.kernel.ask('platform', store.ListInstances())
            self._merge(listed)
        except core.OriolestandError as exc:
            self._log.warning('Cannot read the instance list', reason=str(exc))
        if not self.is_stopped:
            self._timer = self.kernel.clock.call_later(
                const.POLL_INTERVAL_MS,
                lambda: defer.ensureDeferred(self._poll()),
            )

    def _merge(self, listed: platform.InstanceList) -> None:
        """Merge a list; from an outdated one, apply only the gone instances.

        An instance that is gone stays gone.
        """
        use = self._list_freshness.classify(
            listed.as_of_ms, self.kernel.clock.wall()
        )
        if use is membership.ListUse.GONE:
            self._log.warning(
                'Instance list is outdated, using only its gone instances',
                as_of=listed.as_of_ms,
            )
        gone = platform.InstanceState.GONE
        for entry in listed.instances:
            current = self._instances.get(entry.id)
            if current is not None and current.state is gone:
                continue
            if use is membership.ListUse.ALL or entry.state is gone:
                self._instances[entry.id] = entry
        if use is membership.ListUse.ALL:
            self._merge_upstreams(listed)
        self._publish_changes()

    def _merge_upstreams(self, listed: platform.InstanceList) -> None:
        """Apply the live and leaving upstreams of a list."""
        by_state: dict[platform.InstanceState, set[str]] = {
            state: set() for state in platform.InstanceState
        }
        for entry in listed.instances:
            if entry.role is not platform.InstanceRole.UPSTREAM:
                continue
            state = self._instances[entry.id].state
            by_state[state].add(entry.address)
        live = by_state[platform.InstanceState.LIVE]
        # A new instance may reuse the address of a gone one.
        gone = by_state[platform.InstanceState.GONE] - live
        leaving = by_state[platform.InstanceState.LEAVING] | gone
        self._leaving_upstreams.apply_list(listed.as_of_ms, live, leaving)

    @core.handles(contracts.UpstreamLeaving)
    def _on_upstream_leaving(self, msg: contracts.UpstreamLeaving) -> None:
        """Record an upstream's leaving signal, received here or by a peer."""
        if self._leaving_upstreams.record_signal(
            msg.address, self.kernel.clock.wall()
        ):
            self._log.info('Upstream is leaving', address=msg.address)
        self._publish_changes()

    @core.handles(contracts.PeerConnected)
    def _on_peer_connected(self, msg: contracts.PeerConnected) -> None:
        """Record that a peer is live."""
        self._live_peers.add(msg.instance_id)
        self._publish_changes()

    @core.handles(contracts.PeerDisconnected)
    def _on_peer_disconnected(self, msg: contracts.PeerDisconnected) -> None:
        """Record a lost connection; the peer is not necessarily gone."""
        self._live_peers.discard(msg.instance_id)
        self._publish_changes()

    @core.handles(contracts.GetMembership)
    def _on_get_membership(
        self, msg: contracts.GetMembership
    ) -> contracts.MembershipChanged:
        """Return the current state."""
        return self._current_event()

    def _current_event(self) -> contracts.MembershipChanged:
        """Return the event that describes the current state."""
        gone = platform.InstanceState.GONE
        return contracts.MembershipChanged(
            instances=tuple(self._instances.values()),
            live_peers=frozenset(self._live_peers),
            gone_instances=frozenset(
                e.id for e in self._instances.values() if e.state is gone
            ),
            leaving_upstreams=self._leaving_upstreams.addresses,
        )

    def _publish_changes(self) -> None:
        """Publish the current state if it changed."""
        state = self._current_event()
        if state != self._last_published:
            self._last_published = state
            self.kernel.publish(state, is_state=True)

    def stop(self) -> object:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        return super().stop()
