"""Measurement of how batch tasks slow services on shared upstreams."""

import collections

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_policy import dispatching
from oriolestand_policy import interference
from oriolestand_policy import tables


class InterferenceMonitor:
    """Tracks batch tasks and the slowdown of services on their upstreams."""

    def __init__(self) -> None:
        self._meter = interference.SlowdownMeter()
        self._tasks_by_address: dict[str, dict[str, str]] = (
            collections.defaultdict(dict)
        )
        self._address_by_task: dict[str, str] = {}
        self._throttled: set[str] = set()

    def add_task(self, task: dispatching.Reservation) -> None:
        """Add a task that has reserved slots."""
        self._tasks_by_address[task.address][task.key] = task.team
        self._address_by_task[task.key] = task.address

    def remove_task(self, key: str) -> None:
        """Remove a task that has released its slots."""
        self._throttled.discard(key)
        address = self._address_by_task.pop(key, '')
        residents = self._tasks_by_address.get(address, {})
        residents.pop(key, None)
        if not residents:
            self._tasks_by_address.pop(address, None)

    def set_throttled(self, key: str, is_on: bool) -> None:
        """Record whether a task is throttled."""
        if is_on:
            self._throttled.add(key)
        else:
            self._throttled.discard(key)

    def record_request(
        self,
        request: exchange.OpenExchange,
        address: str,
        latency_ms: float,
    ) -> None:
        """Record the latency of a successful request of a service."""
        if request.ticket.kind is not tables.Kind.SERVICE:
            return
        self._meter.observe(
            address,
            request.head.route.name,
            latency_ms,
            has_tasks=address in self._tasks_by_address,
        )

    def set_tables(self, new_tables: tables.Tables) -> None:
        """Drop the measurements of routes that no longer exist."""
        self._meter.forget_routes({r.name: r for r in new_tables.routes})

    def report(self, now: core.Millis) -> list[interference.UsageReport]:
        """Return a usage report for each upstream with tasks and services."""
        return [
            interference.UsageReport(
                address=item.address,
                measured_at=now,
                slowdown=item.slowdown,
                services=item.services,
                residents=dict(self._tasks_by_address[item.address]),
                throttled=frozenset(
                    self._throttled & set(self._tasks_by_address[item.address])
                ),
            )
            for item in self._meter.collect(self._tasks_by_address)
        ]
