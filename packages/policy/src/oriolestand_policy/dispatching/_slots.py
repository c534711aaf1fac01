"""Count the granted and used slots of all upstreams, by pool."""

from collections.abc import Mapping
import random

import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import health
from oriolestand_policy import placement
from oriolestand_policy.dispatching import _state


class Slots:
    """Slot accounting of all pools; each upstream is in exactly one pool."""

    def __init__(self, health_policy: health.Health) -> None:
        self._health = health_policy
        self.pools: dict[str, _state.PoolState] = {}
        self.upstreams: dict[str, placement.UpstreamState] = {}
        self._leaving: set[str] = set()

    def add_pool(
        self, name: str, queue: admission.AdmissionQueue
    ) -> _state.PoolState:
        """Add a pool with its queue and return it."""
        rng = random.Random(name)
        pool = self.pools[name] = _state.PoolState(name, queue, rng)
        return pool

    def set_limits(
        self, pool: _state.PoolState, limits: Mapping[str, int]
    ) -> None:
        """Replace the granted slots of a pool, by upstream address."""
        for address, limit in limits.items():
            upstream = self._assign(pool, address)
            upstream.limit = limit
            pool.update_index(upstream)
        for address in [a for a in pool.upstreams if a not in limits]:
            upstream = pool.upstreams[address]
            upstream.limit = 0
            pool.update_index(upstream)
            self._drop_unused(upstream)
        pool.granted = sum(limits.values())
        pool.update_total_slots()

    def _assign(
        self, pool: _state.PoolState, address: str
    ) -> placement.UpstreamState:
        """Return the state of an upstream, moved to the given pool if needed.

        Its slots in use move with it, since grants are per upstream,
        whatever its pool.
        """
        upstream = self.upstreams.get(address)
        if upstream is None:
            upstream = placement.UpstreamState(
                address=address,
                pool=pool.name,
                is_leaving=address in self._leaving,
            )
            self.upstreams[address] = upstream
        elif upstream.pool == pool.name:
            return upstream
        else:
            old = self.pools[upstream.pool]
            del old.upstreams[address]
            old.index.discard(address)
            old.in_use -= upstream.in_use
            self._health.remove(upstream)
            upstream.pool = pool.name
        pool.upstreams[address] = upstream
        pool.in_use += upstream.in_use
        self._health.add(upstream)
        return upstream

    def set_leaving(self, address: str, is_leaving: bool) -> None:
        """Stop or resume sending new work to an upstream."""
        if is_leaving:
            self._leaving.add(address)
        else:
            self._leaving.discard(address)
        upstream = self.upstreams.get(address)
        if upstream is not None:
            upstream.is_leaving = is_leaving
            self.pools[upstream.pool].update_index(upstream)

    def take(self, upstream: placement.UpstreamState, slots: int) -> None:
        """Take slots of an upstream and count a pending start."""
        upstream.in_use += slots
        upstream.starts += 1
        pool = self.pools[upstream.pool]
        pool.in_use += slots
        pool.index.update(upstream)

    def release(self, address: str, slots: int) -> None:
        """Release slots of an upstream."""
        upstream = self.upstreams[address]
        upstream.in_use -= slots
        pool = self.pools[upstream.pool]
        pool.in_use -= slots
        pool.index.update(upstream)
        self._drop_unused(upstream)

    def end_start(self, address: str) -> None:
        """Record that a start is no longer pending."""
        upstream = self.upstreams[address]
        upstream.starts -= 1
        if upstream.start_limit is not None:
            self.pools[upstream.pool].index.update(upstream)

    def record_result(
        self,
        address: str,
        source: str,
        origin: str,
        failed: bool,
        started: core.Millis,
        now: core.Millis,
    ) -> None:
        """Pass a result to the health policy and update the index."""
        upstream = self.upstreams[address]
        limit_before = upstream.start_limit
        self._health.record_result(
            upstream, source, origin, failed, started, now
        )
        if upstream.start_limit != limit_before:
            self.pools[upstream.pool].index.update(upstream)

    def tick(self, now: core.Millis) -> None:
        """Allow a probe of each ejected upstream that is due for one."""
        for upstream in self._health.allow_due_probes(now):
            self.pools[upstream.pool].update_index(upstream)

    def _drop_unused(self, upstream: placement.UpstreamState) -> None:
        """Delete an upstream that has no slots granted or in use."""
        if upstream.limit or upstream.in_use:
            return
        pool = self.pools[upstream.pool]
        pool.index.discard(upstream.address)
        del pool.upstreams[upstream.address]
        del self.upstreams[upstream.address]
        self._health.remove(upstream)
