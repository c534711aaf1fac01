"""Define the scenarios: loads and faults during the event phase."""

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
FLOOD = 10.0


class Scenario(abc.ABC):
    """Describe the streams, and the faults in the event phase."""

    name = ''
    pools: tuple[str, ...] = ('main',)
    event_ms = 10_000
    task_ms = 3_000.0
    scale = 1.0
    off = 0.0
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
                        self.load_of, team, load * self.scale
                    ),
                    off=self.off,
                )
            )
        return streams

    def load_of(self, team: str, load: float, now: int) -> float:
        """Return the load of a team at a time."""
        if team in self.flooding and self.is_event(now):
            return load * FLOOD
        return load

    def is_event(self, now: int) -> bool:
        """Return whether a time is in the event phase."""
        return CALM_END <= now < CALM_END + self.event_ms

    @abc.abstractmethod
    def prepare(self, sim: _simulation.Simulation) -> None:
        """Schedule the faults."""

    def repeat(
        self,
        sim: _simulation.Simulation,
        interval: int,
        func: Callable[[], None],
    ) -> None:
        """Call a function at an interval during the event phase."""
        for at in range(CALM_END, CALM_END + self.event_ms, interval):
            sim.clock.call_later(at, func)


class Calm(Scenario):
    """Change nothing."""

    name = 'calm'

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Schedule nothing."""


class BatchFlood(Calm):
    """Multiply the least urgent work by ten."""

    name = 'batch_flood'
    flooding = ('ledger',)


class ServiceFlood(Calm):
    """Multiply the most urgent work by ten."""

    name = 'service_flood'
    flooding = ('quick',)


class LoadShift(Calm):
    """Move most load from one pool to another."""

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
    """Start waves of tasks that slow services."""

    name = 'noise'

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Submit a wave each 3 s."""
        self.repeat(sim, 3_000, lambda: self._wave(sim))

    def _wave(self, sim: _simulation.Simulation) -> None:
        """Submit noisy tasks at each entry instance."""
        for entry in sim.entries:
            controller = entry.controller
            for _ in range(3):
                work = _workload.draw_work(sim.rng, 4_000.0)
                controller.add('noisy', 1, work, 'noisy')


class Cancellations(Scenario):
    """Cancel a part of requests and tasks each second."""

    name = 'cancellations'

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Cancel each second."""
        self.repeat(sim, 1_000, lambda: self._cancel(sim))

    def _cancel(self, sim: _simulation.Simulation) -> None:
        """Cancel a tenth of the requests and half of the tasks."""
        _faults.cancel_some(sim, 0.1)
        for entry in sim.entries:
            for key in list(entry.controller.running):
                if sim.rng.random() < 0.5:
                    entry.controller.stop(key, goes_on=False)


class NeverRun(Scenario):
    """Submit jobs that need more than any worker has."""

    name = 'never_run'
    jobs = 5

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Submit such jobs each second."""
        self.repeat(sim, 1_000, lambda: self._submit(sim))

    def _submit(self, sim: _simulation.Simulation) -> None:
        """Submit jobs of 64 slots."""
        for entry in sim.entries:
            for number in range(self.jobs):
                entry.controller.add('reshuffle', 64, 1e3, f'huge{number}')


class FastFailer(Scenario):
    """Let two workers fail all that they start, at once."""

    name = 'fast_failer'

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Break two workers for the rest of the run."""
        sim.clock.call_later(CALM_END, lambda: self._break(sim))

    def _break(self, sim: _simulation.Simulation) -> None:
        """Break one worker in each of two failure domains."""
        for domain in sim.domains[:2]:
            sim.workers[domain[0]].is_failing = True


class WrongSizes(Calm):
    """Let a tenth of the requests run ten times as long as others."""

    name = 'wrong_sizes'
    off = 0.1
    scale = 0.53
    """The longer requests make up for it: 0.53 * 1.9 is about 1."""
    task_ms = 10_000.0


class UpstreamLoss(Scenario):
    """Lose one failure domain's workers, then get them back."""

    name = 'upstream_loss'

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Lose a third of the workers for 6 s."""
        lost = sim.domains[1]
        clock = sim.clock
        for at, is_down in ((0, True), (6_000, False)):
            clock.call_later(
                CALM_END + at,
                functools.partial(_faults.set_down, sim, lost, is_down),
            )


class StoreDown(Scenario):
    """Start no tasks for ten minutes, then a burst."""

    name = 'store_down'
    event_ms = 600_000
    scale = 0.25

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Cut the controllers off from the store."""
        clock = sim.clock
        clock.call_later(CALM_END, lambda: self._set(sim, False))
        end = CALM_END + self.event_ms
        clock.call_later(end, lambda: self._set(sim, True))

    def _set(self, sim: _simulation.Simulation, has_store: bool) -> None:
        """Cut off or connect; each controller then has a burst of tasks."""
        for entry in sim.entries:
            entry.controller.has_store = has_store
            for number in range(100 if has_store else 0):
                entry.controller.add('reshuffle', 1, 3e3, f'late{number % 7}')


class ReplaceEntries(Scenario):
    """Replace the entry instances one after another."""

    name = 'replace_entries'
    event_ms = 16_000

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Drain each entry for 1.5 s, then start the next incarnation."""
        for number, entry in enumerate(sim.entries):
            at = CALM_END + 2_000 * number
            sim.clock.call_later(
                at, functools.partial(_replacing.begin, entry)
            )
            sim.clock.call_later(
                at + 1_500, functools.partial(_replacing.end, sim, entry)
            )


class FloodAndLoss(UpstreamLoss):
    """Lose a failure domain's workers in a flood of urgent work."""

    name = 'flood_and_loss'
    flooding = ('quick',)


class NoiseAndFailer(Noise):
    """Let workers fail all they start during waves of noisy tasks."""

    name = 'noise_and_failer'

    def prepare(self, sim: _simulation.Simulation) -> None:
        """Schedule both."""
        super().prepare(sim)
        FastFailer().prepare(sim)


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
