"""Reserve slots for batch tasks and evict tasks to free them."""

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
"""Running time after which a task no longer counts against the start limit
that the health policy sets."""
SERVICE_DEFICIT_DELAY_MS = 500
"""Time for which services must be below their share before a task is evicted,
as most slots become free by themselves within a request's duration."""
MAX_EVICTING_SHARE = 0.1
"""Maximum fraction of the batch slots that may be evicting at a time."""
URGENT_DELAY_MS = 1_000
URGENT_TTL_MS = 2_000
MAX_LOSS_SHARE = 0.05
"""Maximum fraction of the batch running time that evictions may lose."""
EVICTION_LOSS_MS = 2_000
"""Running time assumed lost by an eviction. The task writes a checkpoint
first, so the loss is the time until it has stopped. A younger task loses at
most its age."""
TRIAL_MS = 5_000
"""Time for which a team without measurements may run only one task here.
Reports lag by 2 s; if none has arrived by then, reporting is assumed off."""
MAX_NOISY_SHARE = 0.05
"""Maximum fraction of a pool's slots for a team whose tasks slow services."""
MAX_FAILED_TASKS = 4_096

_BATCH = tables.Kind.BATCH


@dataclasses.dataclass(slots=True, kw_only=True)
class _Task:
    """Reservation of a batch task and its state.

    ``origin`` is its job or team, for the health policy.
    """

    reservation: _state.Reservation
    pool: _state.PoolState
    origin: str
    started: core.Millis
    is_starting: bool
    is_evicting: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _PoolTasks:
    """Tasks of a pool that may be evicted, and its eviction budget.

    ``budget`` and losses are in slot milliseconds. ``deficit_ms`` measures
    for how long services have been below their share. The ``urgent``
    fields describe the most urgent task that could not be placed.
    """

    by_priority: dict[int, dict[str, _Task]] = dataclasses.field(
        default_factory=dict
    )
    teams: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    slots: int = 0
    evicting: int = 0
    budget: float = 0.0
    budget_updated_at: int = 0
    deficit_ms: int = 0
    deficit_updated_at: int = 0
    urgent_priority: int | None = None
    urgent_slots: int = 0
    urgent_since: int = 0
    urgent_seen_at: int = 0


class TaskReservations:
    """Slot reservations of batch tasks, with eviction and throttling."""

    def __init__(
        self,
        slots: _slots.Slots,
        placement_policy: placement.Placement,
        interference_policy: interference.Interference,
    ) -> None:
        self._slots = slots
        self._placement = placement_policy
        self._interference = interference_policy
        self._tasks: dict[str, _Task] = {}
        self._pools: dict[str, _PoolTasks] = {}
        self._start_deadlines: list[tuple[int, str]] = []
        self._start_throttled: list[str] = []
        self._trial_until: dict[str, int] = {}
        self._failed_addresses: dict[str, str] = {}
        self.now = core.Millis(0)

    def __contains__(self, key: str) -> bool:
        """Return whether a task holds slots."""
        return key in self._tasks

    def reserve(
        self, wanted: _state.Reservation, origin: str
    ) -> _state.Reservation | None:
        """Reserve slots of one upstream.

        :param wanted: the reservation, without an address.
        :param origin: job or team for the health policy.
        """
        pool = self._slots.pools[wanted.pool]
        pool_tasks = self._tasks_of_pool(pool.name)
        if self._would_slow_services(pool, pool_tasks, wanted.team):
            pool.queue.clear_unmet_demand(wanted.team)
            return None
        upstream = None
        if (
            not self._must_yield_to_urgent_task(pool_tasks, wanted.priority)
            and pool.free >= wanted.slots
            and pool.queue.may_reserve(wanted.team, wanted.slots, pool.free)
        ):
            upstream = self._placement.choose_for_task(
                pool.index,
                wanted.slots,
                self._placement_cost(wanted.team),
                self._failed_addresses.get(wanted.key, ''),
            )
        if upstream is None:
            pool.queue.record_unmet_demand(wanted.team, wanted.slots)
            pool.has_waiting_task = True
            self._record_urgent_task(pool_tasks, wanted)
            return None
        if (
            pool_tasks.urgent_priority is not None
            and wanted.priority >= pool_tasks.urgent_priority
        ):
            pool_tasks.urgent_priority = None
        return self._place(wanted, upstream, origin, is_starting=True)

    def adopt(
        self, wanted: _state.Reservation, origin: str
    ) -> _state.Reservation | None:
        """Reserve slots of the upstream on which a task already runs."""
        upstream = self._slots.upstreams.get(wanted.address)
        if upstream is None or wanted.key in self._tasks:
            return None
        if upstream.limit - upstream.in_use < wanted.slots:
            return None
        wanted = dataclasses.replace(wanted, pool=upstream.pool)
        return self._place(wanted, upstream, origin, is_starting=False)

    def release(
        self, key: str, failed: bool | None, now: core.Millis
    ) -> _state.PoolState | None:
        """Release the slots of a task; return its pool, or None if unknown."""
        task = self._tasks.pop(key, None)
        if task is None:
            return None
        reservation = task.reservation
        pool_tasks = self._tasks_of_pool(task.pool.name)
        self._accrue_budget(pool_tasks, now)
        if task.is_evicting:
            pool_tasks.evicting -= reservation.slots
        else:
            self._remove_candidate(pool_tasks, task)
        pool_tasks.slots -= reservation.slots
        pool_tasks.teams[reservation.team] -= reservation.slots
        self._end_start(task)
        if failed:
            # Another failure of the same task on this upstream would be no
            # new evidence against it, and the task may succeed elsewhere.
            self._failed_addresses[key] = reservation.address
            if len(self._failed_addresses) > MAX_FAILED_TASKS:
                del self._failed_addresses[next(iter(self._failed_addresses))]
        if failed is not None:
            self._slots.record_result(
                reservation.address,
                key,
                task.origin,
                failed,
                task.started,
                now,
            )
        self._slots.release(reservation.address, reservation.slots)
        task.pool.queue.record_end(
            _BATCH, reservation.team, reservation.slots, 0.0
        )
        self._interference.forget(key)
        return task.pool

    def tick(self, now: core.Millis) -> list[_effects.Effect]:
        """End the start phase of tasks; throttle and evict where needed."""
        self.now = now
        while self._start_deadlines and self._start_deadlines[0][0] <= now:
            task = self._tasks.get(heapq.heappop(self._start_deadlines)[1])
            if task is not None:
                self._end_start(task)
        effects: list[_effects.Effect] = [
            _effects.Throttle(key=key, is_on=True)
            for key in self._start_throttled
            if key in self._tasks
        ]
        self._start_throttled.clear()
        for name, pool_tasks in self._pools.items():
            if pool_tasks.slots:
                effects += self._evict_for_services(name, pool_tasks, now)
                effects += self._evict_for_urgent(pool_tasks, now)
        return effects

    def handle_usage(
        self, usage: interference.UsageReport, now: core.Millis
    ) -> list[_effects.Effect]:
        """Throttle, unthrottle or move tasks that slow services."""
        effects: list[_effects.Effect] = []
        for advice in self._interference.observe(usage, self._tasks, now):
            task = self._tasks.get(advice.key)
            if task is None or task.is_evicting:
                continue
            if advice.step is interference.Step.MOVE:
                pool_tasks = self._tasks_of_pool(task.pool.name)
                self._accrue_budget(pool_tasks, now)
                effects += self._evict(pool_tasks, task, now)
                continue
            is_on = advice.step is interference.Step.THROTTLE
            effects.append(_effects.Throttle(key=advice.key, is_on=is_on))
        return effects

    def _tasks_of_pool(self, pool: str) -> _PoolTasks:
        """Return the tasks of a pool, created on first use."""
        pool_tasks = self._pools.get(pool)
        if pool_tasks is None:
            pool_tasks = self._pools[pool] = _PoolTasks(
                budget_updated_at=self.now
            )
        return pool_tasks

    def _would_slow_services(
        self, pool: _state.PoolState, pool_tasks: _PoolTasks, team: str
    ) -> bool:
        """Return whether another task of a team might slow services.

        Unlike an eviction, a delayed start loses no work, and other teams
        may use the slots.
        """
        running = pool_tasks.teams[team]
        if not running:
            return False
        if (
            self._interference.expected_slowdown(team)
            >= interference.NOISY_SLOWDOWN
        ):
            return running >= MAX_NOISY_SHARE * pool.granted
        if self._interference.is_measured(team):
            return False
        until = self._trial_until.setdefault(team, self.now + TRIAL_MS)
        return self.now < until

    def _placement_cost(self, team: str) -> placement.TaskCost:
        """Return the cost function that places a team's tasks.

        For tasks that slow services it is a hash of the address, so that all
        daemons pack them onto the same upstreams: an upstream full of such
        tasks runs no services that they could slow.
        """
        if (
            self._interference.expected_slowdown(team)
            >= interference.NOISY_SLOWDOWN
        ):
            return lambda upstream: zlib.crc32(upstream.address.encode())
        return lambda upstream: 0.0

    def _place(
        self,
        wanted: _state.Reservation,
        upstream: placement.UpstreamState,
        origin: str,
        is_starting: bool,
    ) -> _state.Reservation:
        """Take slots of an upstream for a task and record its reservation."""
        reservation = dataclasses.replace(wanted, address=upstream.address)
        pool = self._slots.pools[reservation.pool]
        task = _Task(
            reservation=reservation,
            pool=pool,
            origin=origin,
            started=self.now,
            is_starting=True,
        )
        pool_tasks = self._tasks_of_pool(reservation.pool)
        self._accrue_budget(pool_tasks, self.now)
        self._slots.take(upstream, reservation.slots)
        pool.queue.record_start(_BATCH, reservation.team, reservation.slots)
        self._tasks[reservation.key] = task
        pool_tasks.by_priority.setdefault(reservation.priority, {})[
            reservation.key
        ] = task
        pool_tasks.slots += reservation.slots
        pool_tasks.teams[reservation.team] += reservation.slots
        if is_starting:
            due = self.now + START_GRACE_MS
            heapq.heappush(self._start_deadlines, (due, reservation.key))
            if self._interference.should_start_throttled(
                reservation.key, reservation.team
            ):
                self._start_throttled.append(reservation.key)
        else:
            self._end_start(task)
        return reservation

    def _end_start(self, task: _Task) -> None:
        """End the start phase of a task, if it has not ended."""
        if task.is_starting:
            task.is_starting = False
            self._slots.end_start(task.reservation.address)

    def _remove_candidate(self, pool_tasks: _PoolTasks, task: _Task) -> None:
        """Remove a task from the candidates for eviction."""
        reservation = task.reservation
        level = pool_tasks.by_priority[reservation.priority]
        del level[reservation.key]
        if not level:
            del pool_tasks.by_priority[reservation.priority]

    def _accrue_budget(self, pool_tasks: _PoolTasks, now: core.Millis) -> None:
        """Credit the loss budget for the slot time since the last update."""
        slot_ms = max(0, now - pool_tasks.budget_updated_at) * pool_tasks.slots
        pool_tasks.budget += MAX_LOSS_SHARE * slot_ms
        pool_tasks.budget_updated_at = now

    def _evict(
        self, pool_tasks: _PoolTasks, task: _Task, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict a task if the loss budget allows it."""
        reservation = task.reservation
        loss = reservation.slots * min(now - task.started, EVICTION_LOSS_MS)
        if loss > pool_tasks.budget:
            return []
        pool_tasks.budget -= loss
        task.is_evicting = True
        pool_tasks.evicting += reservation.slots
        self._remove_candidate(pool_tasks, task)
        return [_effects.Evict(key=reservation.key)]

    def _evict_for_services(
        self, name: str, pool_tasks: _PoolTasks, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict a task while services stay below their share."""
        pool = self._slots.pools.get(name)
        elapsed = now - pool_tasks.deficit_updated_at
        pool_tasks.deficit_updated_at = now
        if pool is None or not pool.queue.is_underserved(tables.Kind.SERVICE):
            pool_tasks.deficit_ms = max(0, pool_tasks.deficit_ms - 2 * elapsed)
            return []
        # Service queues are short and may be empty at some ticks, so the
        # deficit decays instead of being reset.
        pool_tasks.deficit_ms = min(
            SERVICE_DEFICIT_DELAY_MS, pool_tasks.deficit_ms + elapsed
        )
        if pool_tasks.deficit_ms < SERVICE_DEFICIT_DELAY_MS:
            return []
        if pool_tasks.evicting > pool_tasks.slots * MAX_EVICTING_SHARE:
            return []
        self._accrue_budget(pool_tasks, now)
        return self._evict_below(pool_tasks, None, now)

    def _evict_for_urgent(
        self, pool_tasks: _PoolTasks, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict tasks of lower priority for an urgent task without slots."""
        if pool_tasks.urgent_priority is None:
            return []
        if pool_tasks.urgent_seen_at + URGENT_TTL_MS < now:
            pool_tasks.urgent_priority = None
            return []
        if now - pool_tasks.urgent_since < URGENT_DELAY_MS:
            return []
        if pool_tasks.evicting >= pool_tasks.urgent_slots:
            return []
        self._accrue_budget(pool_tasks, now)
        return self._evict_below(pool_tasks, pool_tasks.urgent_priority, now)

    def _evict_below(
        self, pool_tasks: _PoolTasks, priority: int | None, now: core.Millis
    ) -> list[_effects.Effect]:
        """Evict the newest task of the lowest priority.

        :param priority: evict only tasks below it; None for any.
        """
        if not pool_tasks.by_priority:
            return []
        lowest = min(pool_tasks.by_priority)
        if priority is not None and lowest >= priority:
            return []
        # The newest task has the least work to lose.
        task = next(reversed(pool_tasks.by_priority[lowest].values()))
        return self._evict(pool_tasks, task, now)

    def _must_yield_to_urgent_task(
        self, pool_tasks: _PoolTasks, priority: int
    ) -> bool:
        """Return whether a more urgent task recently failed to get slots."""
        if (
            pool_tasks.urgent_priority is None
            or priority >= pool_tasks.urgent_priority
        ):
            return False
        return pool_tasks.urgent_seen_at + URGENT_TTL_MS >= self.now

    def _record_urgent_task(
        self, pool_tasks: _PoolTasks, wanted: _state.Reservation
    ) -> None:
        """Record the most urgent task that could not be placed."""
        if not pool_tasks.by_priority:
            return
        if (
            pool_tasks.urgent_priority is None
            or wanted.priority > pool_tasks.urgent_priority
        ):
            if wanted.priority <= min(pool_tasks.by_priority):
                return
            pool_tasks.urgent_priority = wanted.priority
            pool_tasks.urgent_slots = wanted.slots
            pool_tasks.urgent_since = self.now
        if wanted.priority == pool_tasks.urgent_priority:
            pool_tasks.urgent_seen_at = self.now
