"""Simulate entry instances with real policy code in virtual time."""

import collections
from collections.abc import Callable
import dataclasses
import functools
import random
from typing import Any

from oriolestand_bench.policy import _batch
from oriolestand_bench.policy import _entry
from oriolestand_bench.policy import _fakes
from oriolestand_bench.policy import _record
from oriolestand_bench.policy import _workload
import oriolestand_core as core
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import tables

TICK_MS = 50
ADVERT_MS = 200
REPORT_MS = 1_000
POLL_MS = 200
QUEUE_LIMIT = 256
SLOTS = 8
ENTRIES = (3, 3, 2)
"""Number of entry instances in each failure domain."""
REFUSED_MS = 1
PROBE_MS = 1_000


class Simulation:
    """Simulation of entry instances and workers in virtual time.

    :param workers: number of workers, divided over three failure domains.
    :param event_ms: length of the event phase.
    :param task_ms: mean run time of batch tasks.
    :param make_dispatcher: returns a dispatcher for a seed.
    """

    def __init__(
        self,
        workers: int,
        pools: tuple[str, ...],
        event_ms: int,
        task_ms: float,
        seed: str,
        make_dispatcher: Callable[[str], Any],
    ) -> None:
        self.clock = core.ManualClock()
        self.record = _record.Record(event_ms)
        self.seed = seed
        self.rng = random.Random(f'{seed}/faults')
        self._balancer_rng = random.Random(f'{seed}/balancer')
        self._make_dispatcher = make_dispatcher
        self.workers: dict[str, _fakes.Worker] = {}
        self.domains: list[list[str]] = [[], [], []]
        for number in range(workers):
            address = f'w{number:02d}'
            self.workers[address] = _fakes.Worker(address, SLOTS, self.clock)
            self.domains[number * 3 // workers].append(address)
        self.requests: dict[str, _entry.Request] = {}
        self._forwarded: dict[str, tuple[_entry.Entry, str]] = {}
        self.running: dict[str, tuple[_entry.Entry, _fakes.Worker]] = {}
        self._effects: collections.deque[tuple[_entry.Entry, Any]] = (
            collections.deque()
        )
        self._is_applying = False
        self._pools = pools
        self._reports = _fakes.DelayedReports(random.Random(f'{seed}/reports'))
        self.entries = self._make_entries(task_ms)
        self._by_name = {entry.name: entry for entry in self.entries}
        self._repeat(TICK_MS, self._tick)
        self._repeat(ADVERT_MS, self._advertise)
        self._repeat(REPORT_MS, self._report)
        self._repeat(POLL_MS, self._poll)

    def _make_entries(self, task_ms: float) -> list[_entry.Entry]:
        """Create the entry instances with their granted slots."""
        entries = []
        for domain, count in enumerate(ENTRIES):
            for place in range(count):
                name = f'e{domain}{place}'
                entry = _entry.Entry(
                    name=name,
                    domain=domain,
                    dispatcher=None,
                    controller=None,  # type: ignore[arg-type]
                    limits=self._grants(domain, place, count),
                )
                entry.controller = _batch.Controller(
                    name,
                    self.clock,
                    self.record,
                    self.workers,
                    functools.partial(self.apply, entry),
                    self.seed,
                    task_ms,
                )
                entry.controller.pools = list(self._pools)
                self.start_incarnation(entry)
                entries.append(entry)
        return entries

    def _grants(
        self, domain: int, place: int, count: int
    ) -> dict[str, dict[str, int]]:
        """Return the granted slots of an entry instance.

        The slots of each worker are divided among the entry instances of
        its failure domain.
        """
        grants: dict[str, dict[str, int]] = {p: {} for p in self._pools}
        for number, address in enumerate(self.domains[domain]):
            extra = (place + number) % count < SLOTS % count
            pool = self._pools[number % len(self._pools)]
            grants[pool][address] = SLOTS // count + extra
        return grants

    def start_incarnation(self, entry: _entry.Entry) -> None:
        """Start an incarnation of an entry instance with a new dispatcher."""
        entry.dispatcher = self._make_dispatcher(f'{self.seed}/{entry.name}')
        entry.controller.dispatcher = entry.dispatcher
        for pool, limits in entry.limits.items():
            entry.dispatcher.set_pool(pool, QUEUE_LIMIT)
            entry.dispatcher.set_limits(pool, limits, self.clock.now())

    def _repeat(self, interval: int, func: Callable[[], None]) -> None:
        """Call a function now and then at an interval."""
        self.clock.call_later(interval, lambda: self._repeat(interval, func))
        func()

    def add_stream(self, stream: _workload.Stream) -> None:
        """Schedule the arrivals of a stream."""
        slots = SLOTS * len(self.workers) // len(self._pools)
        source = _workload.arrivals(stream, slots, self.record.end, self.seed)
        self._schedule_next(source)

    def _schedule_next(self, source: Any) -> None:
        """Schedule the next arrival of a stream."""
        arrival = next(source, None)
        if arrival is None:
            return

        def arrive() -> None:
            self._submit(arrival)
            self._schedule_next(source)

        self.clock.call_later(arrival.at - self.clock.now(), arrive)

    def _submit(self, arrival: _workload.Arrival) -> None:
        """Submit a request to a random entry instance that is up."""
        stream = arrival.stream
        now = self.clock.now()
        request_id = f'{stream.team}{stream.pool}{arrival.number}'
        phase = self.record.at(now)
        phase.requests += 1
        phase.demand_ms[stream.team, stream.kind] += arrival.work_ms
        self.requests[request_id] = _entry.Request(arrival=arrival)
        ticket = admission.Ticket(
            id=request_id,
            pool=stream.pool,
            team=stream.team,
            kind=stream.kind,
            priority=stream.priority,
            arrived=now,
            deadline=core.Millis(now + stream.timeout_ms),
        )
        entry = self._balancer_rng.choice(self.entries)
        while not entry.is_up:
            entry = self._balancer_rng.choice(self.entries)
        self.apply(entry, entry.dispatcher.submit(ticket, now))

    def apply(self, entry: _entry.Entry, effects: list[Any]) -> None:
        """Apply the effects of a dispatcher, in order and never nested."""
        self._effects.extend((entry, effect) for effect in effects)
        if self._is_applying:
            return
        self._is_applying = True
        while self._effects:
            self._apply_effect(*self._effects.popleft())
        self._is_applying = False

    def _apply_effect(self, entry: _entry.Entry, effect: Any) -> None:
        """Apply one effect."""
        if isinstance(effect, dispatching.SendToUpstream):
            self._start_attempt(entry, effect.ticket, effect.upstream)
        elif isinstance(effect, dispatching.ForwardToPeer):
            self._forward(entry, effect.ticket, effect.peer)
        elif isinstance(effect, dispatching.Fail):
            self._end_request(entry, effect.ticket, effect.error)
        elif isinstance(effect, dispatching.Finish):
            self._end_request(entry, effect.ticket, None)
        elif isinstance(effect, dispatching.Evict):
            entry.controller.evict(effect.key)
        elif isinstance(effect, dispatching.Throttle):
            entry.controller.throttle(effect.key, effect.is_on)
        elif isinstance(effect, dispatching.TaskSlotsAvailable):
            entry.controller.poll()

    def _forward(
        self, entry: _entry.Entry, ticket: admission.Ticket, peer: str
    ) -> None:
        """Forward a request to a peer."""
        other = self._by_name[peer]
        now = self.clock.now()
        copy = dataclasses.replace(ticket, id=f'{ticket.id}@{peer}', hops=1)
        self._forwarded[copy.id] = (entry, ticket.id)
        self.apply(other, other.dispatcher.submit(copy, now))

    def _start_attempt(
        self, entry: _entry.Entry, ticket: admission.Ticket, address: str
    ) -> None:
        """Start an attempt of a request on a worker."""
        request = self.requests[ticket.id.partition('@')[0]]
        worker = self.workers[address]
        now = self.clock.now()
        request.attempts += 1
        if request.attempts > 1:
            self.record.at(now).retries += 1
        request.started = now
        worker.occupy(1)
        self.running[ticket.id] = (entry, worker)
        if worker.is_down or worker.is_failing:
            worker.failed_starts.append(now)
            self.clock.call_later(
                REFUSED_MS,
                lambda: self.fail_attempt(ticket, is_safe=worker.is_down),
            )
            return
        worker.served += ticket.kind is tables.Kind.SERVICE
        service_ms = max(1, round(request.arrival.work_ms * worker.slowdown()))
        self.clock.call_later(
            service_ms, lambda: self._on_response(ticket, service_ms)
        )

    def _on_response(self, ticket: admission.Ticket, service_ms: int) -> None:
        """Handle a complete response."""
        outcome = dispatching.Outcome(
            verdict=core.Verdict.RAN, latency_ms=float(service_ms)
        )
        self.finish_attempt(ticket.id, outcome)

    def fail_attempt(self, ticket: admission.Ticket, is_safe: bool) -> None:
        """Handle a request that the worker refused or failed.

        :param is_safe: whether the request did not run.
        """
        verdict = core.Verdict.DID_NOT_RUN if is_safe else core.Verdict.RAN
        outcome = dispatching.Outcome(
            verdict=verdict,
            error=_entry.SimulatedError('worker failed', verdict=verdict),
            upstream_failed=True,
        )
        self.finish_attempt(ticket.id, outcome)

    def finish_attempt(
        self, ticket_id: str, outcome: dispatching.Outcome
    ) -> None:
        """Release the slot of an attempt and report it to its dispatcher."""
        running = self.running.pop(ticket_id, None)
        if running is None:
            return
        entry, worker = running
        worker.release(1)
        now = self.clock.now()
        self.apply(
            entry, entry.dispatcher.attempt_finished(ticket_id, outcome, now)
        )

    def _end_request(
        self,
        entry: _entry.Entry,
        ticket: admission.Ticket,
        error: core.OriolestandError | None,
    ) -> None:
        """Record the end of a request.

        A forwarded request is reported to the peer that forwarded it.
        """
        now = self.clock.now()
        if ticket.hops:
            origin, request_id = self._forwarded.pop(ticket.id)
            verdict = core.Verdict.RAN if error is None else error.verdict
            outcome = dispatching.Outcome(verdict=verdict, error=error)
            self.apply(
                origin,
                origin.dispatcher.attempt_finished(request_id, outcome, now),
            )
            return
        request = self.requests.pop(ticket.id)
        arrival = request.arrival
        phase = self.record.at(now)
        team = (arrival.stream.team, arrival.stream.kind)
        if arrival.stream.kind is tables.Kind.SERVICE:
            self.record.series.append((now, now - arrival.at, error is None))
        if error is None:
            if not arrival.is_slow:
                phase.latencies[team].append(now - arrival.at)
            phase.done[team] += 1
            phase.useful_ms[team] += now - request.started
            return
        phase.failed += 1
        if error.verdict is core.Verdict.DID_NOT_RUN:
            phase.refusal_delays.append(now - arrival.at)

    def _tick(self) -> None:
        """Call the periodic tick of all dispatchers."""
        now = self.clock.now()
        down = sum(w.is_down for w in self.workers.values())
        self.record.at(now).down_ms += down * SLOTS * TICK_MS
        for entry in self.entries:
            self.apply(entry, entry.dispatcher.tick(now))
            entry.controller.record_slot_time(TICK_MS)

    def _advertise(self) -> None:
        """Advertise the free slots of each entry instance to the others."""
        now = self.clock.now()
        for pool in self._pools:
            loads = [
                (e, _entry.advertised_slots(e.dispatcher, pool))
                for e in self.entries
            ]
            for entry in self.entries:
                for other, free in loads:
                    if other is entry or not entry.is_up:
                        continue
                    effects = entry.dispatcher.set_peer(
                        pool,
                        other.name,
                        free if other.is_up else 0,
                        _entry.distance(entry.domain, other.domain),
                        now,
                    )
                    self.apply(entry, effects)

    def _report(self) -> None:
        """Measure the workers and deliver the reports that are due."""
        now = self.clock.now()
        self._reports.measure(list(self.workers.values()), now)
        for report in self._reports.due(now):
            for entry in self.entries:
                if report.address in self.domains[entry.domain]:
                    effects = entry.dispatcher.report_usage(report, now)
                    self.apply(entry, effects)

    def _poll(self) -> None:
        """Let the batch controllers start tasks."""
        for entry in self.entries:
            if entry.is_up:
                entry.controller.poll()

    def is_busy(self, entry: _entry.Entry) -> bool:
        """Return whether an entry instance has requests in progress."""
        return any(e is entry for e, _ in self.running.values()) or any(
            e is entry for e, _ in self._forwarded.values()
        )

    def run(self) -> _record.Record:
        """Run to the end and return the record."""
        self.clock.advance(self.record.end)
        workers = self.workers.values()
        self.record.over_limit = sum(w.over_limit for w in workers)
        for worker in workers:
            if worker.is_failing:
                starts = worker.failed_starts
                self.record.failed_starts.append(len(starts))
                # Later starts may be probes, which begin a second after the
                # ejection.
                early = [at for at in starts if at < starts[0] + PROBE_MS]
                self.record.early_failed_starts.append(len(early))
        self.record.impossible_jobs_reported = sum(
            len(e.controller.rejection_reasons) for e in self.entries
        )
        return self.record
