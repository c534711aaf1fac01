"""Give slots to batch tasks and take them back."""

import collections
import dataclasses
import heapq
import zlib

import oriolestand_core as core
from oriolestand_policy import interference
from oriolestand_policy import placement
from oriolestand_policy import tables
from oriolestand_policy.dispatching import _effects
from oriolestand_policy.dispatching import _slots
from oriolestand_policy.dispatching import _state

START_GRACE_MS = 3_000
"""A task that runs this long counts as started for health."""
OWED_PATIENCE_MS = 500
"""Services must lack their share this long before a task is evicted, as
most slots come back by themselves within a request's time."""
EVICTING_SHARE = 0.1
"""Part of the batch slots that may be in eviction at a time."""
URGENT_PATIENCE_MS = 1_000
URGENT_MEMORY_MS = 2_000
LOSS_SHARE = 0.05
"""Part of the batch time that evictions may lose."""
LOSS_MS = 2_000
"""Assumed work lost by an eviction, which takes a checkpoint first: the time
until the task has stopped. A younger task loses no more than its age."""
TRIAL_MS = 5_000
"""Time in which a team that was never measured runs one task here. Reports
lag by 2 s; if none has come by then, there are no reports."""
HARMFUL_SHARE = 0.05
"""Part of the slots that tasks known to slow services may hold."""
MAX_FAILED = 4_096

_BATCH = tables.Kind.BATCH


@dataclasses.dataclass(slots=True, kw_only=True)
class _Task:
    """Hold a reservation and its state."""

    reservation: _state.Reservation
    pool: _state.PoolState
    origin: str
    started: core.Millis
    is_open: bool
    is_evicting: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _PoolTasks:
    """Hold the tasks of a pool that may be evicted, and the budget."""

    by_priority: dict[int, dict[str, _Task]] = dataclasses.field(
        default_factory=dict
    )
    teams: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    slots: int = 0
    evicting: int = 0
    budget: float = 0.0
    counted: int = 0
    owed_ms: int = 0
    owed_at: int = 0
    urgent: int | None = None
    urgent_slots: int = 0
    urgent_since: int = 0
    urgent_seen: int = 0


class TaskBook:
    """Own the reservations of batch tasks."""

    def __init__(
        self,
        slots: _slots.Slots,
        choice: placement.Placement,
        noise: interference.Interference,
    ) -> None:
        self._slots = slots
        self._choice = choice
        self._noise = noise
        self._tasks: dict[str, _Task] = {}
        self._pools: dict[str, _PoolTasks] = {}
        self._opened: list[tuple[int, str]] = []
        self._slow: list[str] = []
        self._trial_until: dict[str, int] = {}
        self._failed_at: dict[str, str] = {}
        self.now = core.Millis(0)

    def __contains__(self, key: str) -> bool:
        """Return whether a task holds slots."""
        return key in self._tasks

    def reserve(
        self, wanted: _state.Reservation, origin: str
    ) -> _state.Reservation | None:
        """Take slots of one upstream; ``wanted`` has no address yet."""
        pool = self._slots.pools[wanted.pool]
        held = self._held(pool.name)
        if self._is_too_noisy(pool, held, wanted.team):
            pool.queue.clear_unmet(wanted.team)
            return None
        upstream = None
        if (
            not self._is_outranked(held, wanted.priority)
            and pool.free >= wanted.slots
            and pool.queue.may_reserve(wanted.team, wanted.slots, pool.free)
        ):
            upstream = self._choice.choose_for_task(
                pool.index,
                wanted.slots,
                self._cost(wanted.team),
                self._failed_at.get(wanted.key, ''),
            )
        if upstream is None:
            pool.queue.record_unmet(wanted.team, wanted.slots)
            pool.wants_room = True
            self._note_urgent(held, wanted)
            return None
        if held.urgent is not None and wanted.priority >= held.urgent:
            held.urgent = None
        return self._place(wanted, upstream, origin, is_open=True)

    def adopt(
        self, wanted: _state.Reservation, origin: str
    ) -> _state.Reservation | None:
        """Take slots of the upstream where a task runs already."""
        upstream = self._slots.upstreams.get(wanted.address)
        if upstream is None or wanted.key in self._tasks:
            return None
        if upstream.limit - upstream.in_use < wanted.slots:
            return None
        wanted = dataclasses.replace(wanted, pool=upstream.pool)
        return self._place(wanted, upstream, origin, is_open=False)

    def release(
        self, key: str, failed: bool | None, now: core.Millis
    ) -> _state.PoolState | None:
        """Give the slots of a task back; return its pool."""
        task = self._tasks.pop(key, None)
        if task is None:
            return None
        one = task.reservation
        held = self._held(task.pool.name)
        self._count(held, now)
        if task.is_evicting:
            held.evicting -= one.slots
        else:
            self._unlist(held, task)
        held.slots -= one.slots
        held.teams[one.team] -= one.slots
        self._close(task)
        if failed:
            # The same task is no new evidence there, and may be luckier
            # elsewhere.
            self._failed_at[key] = one.address
            if len(self._failed_at) > MAX_FAILED:
                del self._failed_at[next(iter(self._failed_at))]
        if failed is not None:
            self._slots.note(
                one.address, key, task.origin, failed, task.started, now
            )
        self._slots.give(one.address, one.slots)
        task.pool.queue.record_end(_BATCH, one.team, one.slots, 0.0)
        self._noise.forget(key)
        return task.pool

    def tick(self, now: core.Millis) -> list[_effects.Effect]:
        """Close starts that lasted and evict what others are owed."""
        self.now = now
        while self._opened and self._opened[0][0] <= now:
            task = self._tasks.get(heapq.heappop(self._opened)[1])
            if task is not None:
                self._close(task)
        effects: list[_effects.Effect] = [
            _effects.Throttle(key=key, is_on=True)
            for key in self._slow
            if key in self._tasks
        ]
        self._slow.clear()
        for name, held in self._pools.items():
            if held.slots:
                effects += self._evict_for_services(name, held, now)
                effects += self._evict_for_urgent(held, now)
        return effects

    def report(
        self, usage: interference.UsageReport, now: core.Millis
    ) -> list[_effects.Effect]:
        """Throttle, release or move a task that slows services."""
        effects: list[_effects.Effect] = []
        for advice in self._noise.observe(usage, self._tasks, now):
            task = self._tasks.get(advice.key)
            if task is None or task.is_evicting:
                continue
            if advice.step is interference.Step.MOVE:
                held = self._held(task.pool.name)
                self._count(held, now)
                effects += self._evict(held, task, now)
                continue
            is_on = advice.step is interference.Step.THROTTLE
            effects.append(_effects.Throttle(key=advice.key, is_on=is_on))
        return effects

    def _held(self, pool: str) -> _PoolTasks:
        """Return the tasks of a pool."""
        held = self._pools.get(pool)
        if held is None:
            held = self._pools[pool] = _PoolTasks(counted=self.now)
        return held

    def _is_too_noisy(
        self, pool: _state.PoolState, held: _PoolTasks, team: str
    ) -> bool:
        """Return whether more tasks of a team would slow services.

        Not starting a task loses no work, and others may use the slots.
        """
        running = held.teams[team]
        if not running:
            return False
        if self._noise.harm(team) >= interference.HARMFUL:
            return running >= HARMFUL_SHARE * pool.granted
        if self._noise.is_known(team):
            return False
        until = self._trial_until.setdefault(team, self.now + TRIAL_MS)
        return self.now < until

    def _cost(self, team: str) -> placement.TaskCost:
        """Return the order in which a team's tasks prefer upstreams.

        Tasks that slow services are packed onto the same upstreams by all
        daemons, as a full upstream has no service to slow.
        """
        if self._noise.harm(team) >= interference.HARMFUL:
            return lambda upstream: zlib.crc32(upstream.address.encode())
        return lambda upstream: 0.0

    def _place(
        self,
        wanted: _state.Reservation,
        upstream: placement.UpstreamState,
        origin: str,
        is_open: bool,
    ) -> _state.Reservation:
        """Count slots of an upstream as used by a task."""
        one = dataclasses.replace(wanted, address=upstream.address)
        pool = self._slots.pools[one.pool]
        task = _Task(
            reservation=one,
            pool=pool,
            origin=origin,
            started=self.now,
            is_open=True,
        )
        held = self._held(one.pool)
        self._count(held, self.now)
        self._slots.take(upstream, one.slots)
        pool.queue.record_start(_BATCH, one.team, one.slots)
        self._tasks[one.key] = task
        held.by_priority.setdefault(one.priority, {})[one.key] = task
        held.slots += one.slots
        held.teams[one.team] += one.slots
        if is_open:
            due = self.now + START_GRACE_MS
            heapq.heappush(self._opened, (due, one.key))
            if self._noise.should_start_slow(one.key, one.team):
                self._slow.append(one.key)
        else:
            self._close(task)
        return one

    def _close(self, task: _Task) -> None:
        """Count the start of a task as over."""
        if task.is_open:
            task.is_open = False
            self._slots.end_start(task.reservation.address)

    def _unlist(self, held: _PoolTasks, task: _Task) -> None:
        """Make a task no candidate for eviction."""
        one = task.reservation
        step = held.by_priority[one.priority]
        del step[one.key]
        if not step:
            del held.by_priority[one.priority]

    def _count(self, held: _PoolTasks, now: core.Millis) -> None:
        """Add the batch time since the last count to the loss budget."""
        spent = max(0, now - held.counted) * held.slots
        held.budget += LOSS_SHARE * spent
        held.counted = now

    def _evict(
        self, held: _PoolTasks, task: _Task, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict a task if the budget of lost work allows it."""
        one = task.reservation
        loss = one.slots * min(now - task.started, LOSS_MS)
        if loss > held.budget:
            return []
        held.budget -= loss
        task.is_evicting = True
        held.evicting += one.slots
        self._unlist(held, task)
        return [_effects.Evict(key=one.key)]

    def _evict_for_services(
        self, name: str, held: _PoolTasks, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict the newest task of least priority while services lack."""
        pool = self._slots.pools.get(name)
        passed = now - held.owed_at
        held.owed_at = now
        if pool is None or not pool.queue.is_underserved(tables.Kind.SERVICE):
            held.owed_ms = max(0, held.owed_ms - 2 * passed)
            return []
        # Queues of services are short, so a look may find them empty.
        held.owed_ms = min(OWED_PATIENCE_MS, held.owed_ms + passed)
        if held.owed_ms < OWED_PATIENCE_MS:
            return []
        if held.evicting > held.slots * EVICTING_SHARE:
            return []
        self._count(held, now)
        return self._evict_below(held, None, now)

    def _evict_for_urgent(
        self, held: _PoolTasks, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict tasks of less priority for a task that found no place."""
        if held.urgent is None:
            return []
        if held.urgent_seen + URGENT_MEMORY_MS < now:
            held.urgent = None
            return []
        if now - held.urgent_since < URGENT_PATIENCE_MS:
            return []
        if held.evicting >= held.urgent_slots:
            return []
        self._count(held, now)
        return self._evict_below(held, held.urgent, now)

    def _evict_below(
        self, held: _PoolTasks, priority: int | None, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict the newest task of the least priority, if low enough."""
        if not held.by_priority:
            return []
        least = min(held.by_priority)
        if priority is not None and least >= priority:
            return []
        # The newest task has the least work to lose.
        task = next(reversed(held.by_priority[least].values()))
        return self._evict(held, task, now)

    def _is_outranked(self, held: _PoolTasks, priority: int) -> bool:
        """Return whether a more urgent task waits for these slots."""
        if held.urgent is None or priority >= held.urgent:
            return False
        return held.urgent_seen + URGENT_MEMORY_MS >= self.now

    def _note_urgent(
        self, held: _PoolTasks, wanted: _state.Reservation
    ) -> None:
        """Remember the most urgent task that found no place."""
        if not held.by_priority:
            return
        if held.urgent is None or wanted.priority > held.urgent:
            if wanted.priority <= min(held.by_priority):
                return
            held.urgent = wanted.priority
            held.urgent_slots = wanted.slots
            held.urgent_since = self.now
        if wanted.priority == held.urgent:
            held.urgent_seen = self.now
