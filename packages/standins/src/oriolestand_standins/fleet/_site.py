"""Several daemons that run against the stand-ins, without sockets."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import daemon
from oriolestand_fleet import settings
from oriolestand_fleet.messages import jobs
from oriolestand_fleet.messages import lifecycle
from oriolestand_fleet.messages import store as store_messages
from oriolestand_fleet.messages import telemetry
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import _slow_clock
from oriolestand_standins.fleet import _store
from oriolestand_standins.fleet import _workers

POOL = 'pool'
ROUTE = 'route'
STEP_MS = 5
WORKER_CPU = 8_000


class _TelemetryTask(core.Task):
    """Telemetry service that stores counters and gauges, no latencies."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, telemetry.SERVICE)
        self.gauges: dict[tuple[str, str], int] = {}
        self.counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @core.handles(telemetry.Count)
    def _on_count(self, msg: telemetry.Count) -> None:
        """Add to a counter."""
        self.counters[(msg.name, msg.label)] += msg.amount

    @core.handles(telemetry.Observe)
    def _on_observe(self, msg: object) -> None:
        """Ignore an observation."""

    @core.handles(telemetry.SetGauge)
    def _on_gauge(self, msg: telemetry.SetGauge) -> None:
        """Store the value of a gauge."""
        self.gauges[(msg.name, msg.label)] = msg.value


@dataclasses.dataclass(slots=True, kw_only=True)
class Daemon:
    """A daemon without its frontend, and its stand-in services."""

    kernel: core.Kernel
    store: _store.StoreTask
    orders: _workers.OrdersTask

    @property
    def is_owner(self) -> bool:
        """Return whether the daemon owns the cell."""
        cell: Any = self.kernel.find('cell')
        return cell._owner_term is not None

    def disconnect(self) -> None:
        """Disconnect the daemon permanently from the store and workers."""
        self.store.faults.is_unresponsive = True
        self.orders.faults.unreachable = _UniversalSet()


class _UniversalSet(set[str]):
    """Set that contains every worker id."""

    def __contains__(self, item: object) -> bool:
        """Return True for every id."""
        return True


class FleetSimulation:
    """Simulated fleet: a clock, a store, workers and daemons."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = core.ManualClock(start=1_000, wall=1_700_000_000_000)
        self.store = _store.RowStore(self.clock)
        self.workers: dict[str, _workers.FleetWorker] = {}
        self.history: list[_workers.RunRecord] = []
        self.durations: dict[str, int] = {}
        self.payload = 'p'
        self.evacuate_ms: int | None = None
        self.outcome_of: Callable[[scheduling.TaskKey, int], str] = (
            lambda key, number: 'done'
        )
        self._seed = seed
        self.set_config(1)

    def set_config(self, version: int, max_attempts: int = 2) -> None:
        """Store a configuration with one route."""
        self.set_routes(version, [make_route(max_attempts=max_attempts)])

    def set_routes(
        self, version: int, routes: Iterable[store_messages.Route]
    ) -> None:
        """Store a configuration."""
        self.store.set_config(
            store_messages.FleetConfig(
                version=version,
                routes=tuple(routes),
                header_bytes=16_384,
                body_bytes=262_144,
                header_timeout_ms=3_000,
                idle_timeout_ms=15_000,
            )
        )

    def add_worker(
        self,
        name: str,
        process_start_ms: int = 1,
        failure_domain: str = 'd1',
        clock_ms: int | None = None,
        register_after_ms: int = 0,
        labels: frozenset[str] = frozenset(),
    ) -> None:
        """Start a worker and register it in the store.

        ``clock_ms``: what its clock shows, by default that of the site.
        ``register_after_ms``: when it writes its first entry; a worker that
        restarts under its id may do so with its next heartbeat.
        """
        info = scheduling.WorkerInfo(
            id=name,
            pool=POOL,
            address=f'{name}:1',
            failure_domain=failure_domain,
            cpu=WORKER_CPU,
            memory_mb=16_000,
            process_start_ms=process_start_ms,
            labels=labels,
        )
        self.workers[name] = _workers.FleetWorker(
            self.clock,
            info,
            self.history,
            lambda key: self.durations.get(key.job, 1_000),
            lambda key, number: self.outcome_of(key, number),
            clock_ms,
        )
        if register_after_ms:
            self.clock.call_later(
                register_after_ms, lambda: self.store.register_worker(info)
            )
        else:
            self.store.register_worker(info)

    def add_daemon(
        self, name: str, processors: float = 2.0, pass_ms: int = 0
    ) -> Daemon:
        """Start a daemon with its own connections to store and workers.

        ``pass_ms``: how long each pass of its reactor takes, 0 if no time.
        """
        self._seed += 1
        clock: core.Clock = self.clock
        if pass_ms:
            clock = _slow_clock.SlowClock(self.clock, pass_ms)
        kernel = core.Kernel(clock, core.IdSource(self._seed))
        store = _store.StoreTask(kernel, self.store)
        orders = _workers.OrdersTask(kernel, self.workers)
        for task in (_TelemetryTask(kernel), store, orders):
            kernel.register(task.name, task)
        names = [n for n in daemon.SERVICES if n in ('config', 'jobs', 'cell')]
        defer.ensureDeferred(
            kernel.load(
                daemon.SERVICES_PACKAGE,
                names,
                _settings(name, processors, self.evacuate_ms),
            )
        )
        return Daemon(kernel=kernel, store=store, orders=orders)

    def run(self, duration_ms: int) -> None:
        """Advance the clock in steps of STEP_MS."""
        for _ in range(0, duration_ms, STEP_MS):
            self.clock.advance(STEP_MS)

    def run_until(self, check: Callable[[], bool], limit_ms: int) -> None:
        """Advance the clock until a check is true.

        :raises AssertionError: if it is still false after ``limit_ms``.
        """
        for _ in range(0, limit_ms, STEP_MS):
            if check():
                return
            self.clock.advance(STEP_MS)
        raise AssertionError(f'condition not met within {limit_ms} ms')

    def submit(
        self,
        target: Daemon,
        job: str,
        steps: tuple[scheduling.StepSpec, ...] | None = None,
        duration_ms: int = 1_000,
        deadline_ms: int = 3_000,
        route: store_messages.Route | None = None,
    ) -> 'defer.Deferred[Any]':
        """Submit a job to a daemon; the Deferred fires with the answer."""
        self.durations[job] = duration_ms
        route = route or make_route()
        spec = scheduling.JobSpec(
            id=job,
            route=route.policy.name,
            payload=self.payload,
            steps=steps or (scheduling.StepSpec(count=2, cpu=1_000),),
            accepted_ms=self.clock.wall(),
        )
        return target.kernel.ask(
            jobs.SERVICE,
            jobs.SubmitJob(
                spec=spec,
                route=route,
                deadline_ms=self.clock.now() + deadline_ms,
            ),
        )

    def cancel(
        self,
        target: Daemon,
        job: str,
        route: store_messages.Route | None = None,
    ) -> 'defer.Deferred[Any]':
        """Send a request to a daemon to cancel a job."""
        return target.kernel.ask(
            jobs.SERVICE,
            jobs.CancelJob(
                job=job,
                route=route or make_route(),
                deadline_ms=self.clock.now() + 3_000,
            ),
        )

    def state(
        self,
        target: Daemon,
        job: str,
        route: store_messages.Route | None = None,
    ) -> str | None:
        """Return the state of a job as a daemon reports it, or None."""
        fut = target.kernel.ask(
            jobs.SERVICE,
            jobs.GetState(
                job=job,
                route=route or make_route(),
                deadline_ms=self.clock.now() + 3_000,
            ),
        )
        results: list[Any] = []
        fut.addBoth(results.append)
        self.run_until(lambda: bool(results), 3_000)
        state = results[0]
        return state.value if isinstance(state, jobs.JobState) else None

    def shut_down(self, target: Daemon) -> None:
        """Start the shutdown of a daemon and release its cell."""
        target.kernel.publish(lifecycle.ShutdownStarted(), is_state=True)
        target.kernel.ask('cell', lifecycle.ReleaseCell())

    def overlapping_runs(self) -> list[tuple[_workers.RunRecord, ...]]:
        """Return pairs of runs of the same task that overlap in time."""
        return [
            (first, second)
            for first in self.history
            for second in self.history
            if first.key == second.key
            and first.number < second.number
            and second.started_ms < _end_ms(first)
            and first.started_ms < _end_ms(second)
        ]

    def repeated_runs(self) -> list[tuple[_workers.RunRecord, ...]]:
        """Return pairs of a completed, acknowledged run and a later run."""
        return [
            (first, second)
            for first in self.history
            for second in self.history
            if first.key == second.key
            and first.outcome == 'done'
            and first.is_acknowledged
            and second.started_ms > first.ended_ms
        ]


def make_route(
    name: str = ROUTE,
    prefix: str = '/j/',
    pool: str = POOL,
    max_attempts: int = 2,
) -> store_messages.Route:
    """Return a route; the default values are those of ``set_config``."""
    return store_messages.Route(
        host='jobs.test',
        prefix=prefix,
        policy=scheduling.RoutePolicy(
            name=name, pool=pool, max_attempts=max_attempts
        ),
    )


def _end_ms(record: _workers.RunRecord) -> float:
    """Return the time at which a run ended; infinity while it runs."""
    return record.ended_ms if record.outcome else float('inf')


def _settings(
    name: str, processors: float, evacuate_ms: int | None
) -> settings.FleetSettings:
    """Return settings of a daemon; no port of them is opened."""
    unused_address = settings.Address(host='127.0.0.1', port=0)
    codec: Any = None
    return settings.FleetSettings(
        instance=name,
        failure_domain='d1',
        front=unused_address,
        ready=unused_address,
        metrics=unused_address,
        limits=settings.Limits(
            lease_max_ms=_workers.LEASE_MAX_MS,
            retention_ms=120_000,
            shutdown_ms=6_000,
            row_bytes=65_536,
            processors=processors,
            evacuate_ms=evacuate_ms,
        ),
        log=settings.LogSettings(),
        codec=codec,
    )
