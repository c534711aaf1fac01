"""The scenarios: load and faults during the event phase."""

import abc
from collections.abc import Callable
import functools

from oriolestand_bench.policy import _faults
from oriolestand_bench.policy import _record
from oriolestand_bench.policy import _replacing
from oriolestand_bench.policy import _simulation
from oriolestand_bench.policy import _workload
from oriolestand_policy import tables

CALM_END = _record.WARM_UP_MS + _record.CALM_MS
FLOOD_FACTOR = 10.0


class Scenario(abc.ABC):
    """Base class of scenarios: the load, and the faults of the event phase.

    ``load_scale`` multiplies the load, ``slow_fraction`` is the fraction of
    slow requests, and ``flooding`` are the teams whose load rises in the
    event phase.
    """

    name = ''
    pools: tuple[str, ...] = ('main',)
    event_ms = 10_000
    task_ms = 3_000.0
    load_scale = 1.0
    slow_fraction = 0.0
    flooding: tuple[str, ...] = ()

    def __init__(self, has_batch: bool = True) -> None:
        self.has_batch = has_batch

    def streams(self) -> list[_workload.Stream]:
        """Return the streams of requests."""
        streams = []
        for team, kind, load in (
            ('quick', tables.Kind.SERVICE, 0.3),
            ('roster', tables.Kind.SERVICE, 0.1),
            ('ledger', tables.Kind.BATCH, 0.1),
        ):
            if kind is tables.Kind.BATCH and not self.has_batch:
                continue
            is_service = kind is tables.Kind.SERVICE
            streams.append(
                _workload.Stream(
                    team=team,
                    kind=kind,
                    mean_ms=100.0 if is_service else 400.0,
                    timeout_ms=2_000 if is_service else 8_000,
                    load=functools.partial(
                        self.load_at, team, load * self.load_scale
                    ),
                    slow_fraction=self.slow_fraction,
                )
            )
        return streams

    def load_at(self, team: str, load: float, now: int) -> float:
        """Return the load of a team at a time."""
        if team in self.flooding and self.is_event(now):
            return load * FLOOD_FACTOR
        return load

    def is_event(self, now: int) -> bool:
        """Return whether a time is in the event phase."""
        return CALM_END <= now < CALM_END + self.event_ms

    @abc.abstractmethod
    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule the faults."""

    def repeat_in_event(
        self,
        sim: _simulation.Simulation,
        interval: int,
        func: Callable[[], None],
    ) -> None:
        """Call a function at an interval during the event phase."""
        for at in range(CALM_END, CALM_END + self.event_ms, interval):
            sim.clock.call_later(at, func)


class Calm(Scenario):
    """No faults and constant load."""

    name = 'calm'

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule no faults."""


class BatchFlood(Calm):
    """The load of batch requests rises tenfold."""

    name = 'batch_flood'
    flooding = ('ledger',)


class ServiceFlood(Calm):
    """The load of a service rises tenfold."""

    name = 'service_flood'
    flooding = ('quick',)


class LoadShift(Calm):
    """Most load moves from one pool to another."""

    name = 'load_shift'
    pools = ('main', 'side')

    def streams(self) -> list[_workload.Stream]:
        """Return the streams of both pools."""
        streams = []
        for pool, before, during in (
            ('main', 0.6, 0.15),
            ('side', 0.15, 0.6),
        ):
            for team, part in (('quick', 0.75), ('roster', 0.25)):
                streams.append(
                    _workload.Stream(
                        team=team,
                        kind=tables.Kind.SERVICE,
                        mean_ms=100.0,
                        timeout_ms=2_000,
                        pool=pool,
                        load=functools.partial(
                            self._load, before * part, during * part
                        ),
                    )
                )
        return streams

    def _load(self, before: float, during: float, now: int) -> float:
        """Return the load of a pool at a time."""
        return during if self.is_event(now) else before


class Noise(Scenario):
    """Waves of tasks that slow services down."""

    name = 'noise'

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule a wave every 3 s."""
        self.repeat_in_event(sim, 3_000, lambda: self._submit_wave(sim))

    def _submit_wave(self, sim: _simulation.Simulation) -> None:
        """Submit three noisy tasks at each entry instance."""
        for entry in sim.entries:
            controller = entry.controller
            for _ in range(3):
                work = _workload.draw_work(sim.rng, 4_000.0)
                controller.submit('noisy', 1, work, 'noisy')


class Cancellations(Scenario):
    """Some requests and tasks are cancelled every second."""

    name = 'cancellations'

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule cancellations every second."""
        self.repeat_in_event(sim, 1_000, lambda: self._cancel_some(sim))

    def _cancel_some(self, sim: _simulation.Simulation) -> None:
        """Cancel a tenth of the requests and half of the tasks."""
        _faults.cancel_some(sim, 0.1)
        for entry in sim.entries:
            for key in list(entry.controller.running):
                if sim.rng.random() < 0.5:
                    entry.controller.stop(key, requeue=False)


class NeverRun(Scenario):
    """Jobs that need more slots than any worker has."""

    name = 'never_run'
    jobs = 5

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule the submission of such jobs every second."""
        self.repeat_in_event(sim, 1_000, lambda: self._submit(sim))

    def _submit(self, sim: _simulation.Simulation) -> None:
        """Submit jobs of 64 slots at each entry instance."""
        for entry in sim.entries:
            for number in range(self.jobs):
                entry.controller.submit('reshuffle', 64, 1e3, f'huge{number}')


class FastFailer(Scenario):
    """Two workers fail all requests and tasks immediately."""

    name = 'fast_failer'

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule the failure of two workers until the end of the run."""
        sim.clock.call_later(CALM_END, lambda: self._break_workers(sim))

    def _break_workers(self, sim: _simulation.Simulation) -> None:
        """Make one worker fail in each of two failure domains."""
        for domain in sim.domains[:2]:
            sim.workers[domain[0]].is_failing = True


class WrongSizes(Calm):
    """A tenth of the requests run ten times as long as the others."""

    name = 'wrong_sizes'
    slow_fraction = 0.1
    load_scale = 0.53
    """Keeps the total load despite slow requests: 0.53 * 1.9 is about 1."""
    task_ms = 10_000.0


class UpstreamLoss(Scenario):
    """The workers of one failure domain are down for some time."""

    name = 'upstream_loss'

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule the loss of a third of the workers for 6 s."""
        lost = sim.domains[1]
        clock = sim.clock
        for at, is_down in ((0, True), (6_000, False)):
            clock.call_later(
                CALM_END + at,
                functools.partial(_faults.set_down, sim, lost, is_down),
            )


class StoreDown(Scenario):
    """The store is down for ten minutes, then there is a burst of tasks."""

    name = 'store_down'
    event_ms = 600_000
    load_scale = 0.25

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule the outage of the store."""
        clock = sim.clock
        clock.call_later(CALM_END, lambda: self._set_store(sim, False))
        end = CALM_END + self.event_ms
        clock.call_later(end, lambda: self._set_store(sim, True))

    def _set_store(
        self, sim: _simulation.Simulation, is_store_reachable: bool
    ) -> None:
        """Disconnect or reconnect the store.

        After a reconnect, each controller gets a burst of 100 tasks.
        """
        for entry in sim.entries:
            entry.controller.is_store_reachable = is_store_reachable
            for number in range(100 if is_store_reachable else 0):
                entry.controller.submit(
                    'reshuffle', 1, 3e3, f'late{number % 7}'
                )


class ReplaceEntries(Scenario):
    """The entry instances are restarted one after another."""

    name = 'replace_entries'
    event_ms = 16_000

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule for each entry a drain of 1.5 s and then its restart."""
        for number, entry in enumerate(sim.entries):
            at = CALM_END + 2_000 * number
            sim.clock.call_later(
                at, functools.partial(_replacing.start_draining, entry)
            )
            sim.clock.call_later(
                at + 1_500,
                functools.partial(_replacing.restart_when_idle, sim, entry),
            )


class FloodAndLoss(UpstreamLoss):
    """A failure domain's workers are lost during a flood of a service."""

    name = 'flood_and_loss'
    flooding = ('quick',)


class NoiseAndFailer(Noise):
    """Two workers fail everything during waves of noisy tasks."""

    name = 'noise_and_failer'

    def schedule_faults(self, sim: _simulation.Simulation) -> None:
        """Schedule the waves and the failures."""
        super().schedule_faults(sim)
        FastFailer().schedule_faults(sim)


SCENARIOS: tuple[type[Scenario], ...] = (
    Calm,
    BatchFlood,
    ServiceFlood,
    LoadShift,
    Noise,
    Cancellations,
    NeverRun,
    FastFailer,
    WrongSizes,
    UpstreamLoss,
    StoreDown,
    ReplaceEntries,
    FloodAndLoss,
    NoiseAndFailer,
)
