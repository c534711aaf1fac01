"""Watch what batch tasks do to the services beside them."""

import collections

import oriolestand_core as core
from oriolestand_daemon.messages import exchange
from oriolestand_policy import dispatching
from oriolestand_policy import interference
from oriolestand_policy import tables


class TaskWatch:
    """Know the reserved tasks and report the slowdown of services."""

    def __init__(self) -> None:
        self._meter = interference.SlowdownMeter()
        self._residents: dict[str, dict[str, str]] = collections.defaultdict(
            dict
        )
        self._addresses: dict[str, str] = {}
        self._throttled: set[str] = set()

    def reserved(self, task: dispatching.Reservation) -> None:
        """Note that a task uses slots."""
        self._residents[task.address][task.key] = task.team
        self._addresses[task.key] = task.address

    def unreserved(self, key: str) -> None:
        """Note that a task has stopped."""
        self._throttled.discard(key)
        address = self._addresses.pop(key, '')
        residents = self._residents.get(address, {})
        residents.pop(key, None)
        if not residents:
            self._residents.pop(address, None)

    def throttled(self, key: str, is_on: bool) -> None:
        """Note that a task is slowed down, or no longer."""
        if is_on:
            self._throttled.add(key)
        else:
            self._throttled.discard(key)

    def finished(
        self,
        request: exchange.OpenExchange,
        address: str,
        latency_ms: float,
    ) -> None:
        """Measure a request that ended well at an upstream."""
        if request.ticket.kind is not tables.Kind.SERVICE:
            return
        self._meter.observe(
            address,
            request.head.route.name,
            latency_ms,
            has_tasks=address in self._residents,
        )

    def set_routes(self, generation: tables.Tables) -> None:
        """Forget routes that are no longer there."""
        self._meter.forget_routes({r.name: r for r in generation.routes})

    def report(self, now: core.Millis) -> list[interference.UsageReport]:
        """Return a report for each upstream with tasks and services."""
        return [
            interference.UsageReport(
                address=item.address,
                measured_at=now,
                slowdown=item.slowdown,
                services=item.services,
                residents=dict(self._residents[item.address]),
                throttled=frozenset(
                    self._throttled & set(self._residents[item.address])
                ),
            )
            for item in self._meter.collect(self._residents)
        ]
