"""Faults of workers."""

from collections.abc import Iterable
import random

from oriolestand_soak import _workers
from oriolestand_soak import messages
from oriolestand_soak.faults import _base


class _WorkerFault(_base.Fault):
    """A fault that some workers show to all daemons."""

    most = 0.5

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the workers and the other parameters."""
        self.workers = _base.draw_some(rng, site.workers, self.most)
        self.faults = self.draw_faults(rng)
        self.detail = str(self.faults)

    def draw_faults(self, rng: random.Random) -> _workers.WorkerFaults:
        """Draw the faults."""
        return _workers.WorkerFaults()

    def _order(self, faults: _workers.WorkerFaults | None) -> _base.Order:
        """Return the order to set or remove the faults."""
        return _base.Order(
            service=messages.WORKERS,
            message=messages.SetFaults(
                fault=self.number, targets=self.workers, faults=faults
            ),
        )

    def begin(self) -> Iterable[_base.Order]:
        """Set the faults."""
        return [self._order(self.faults)]

    def end(self) -> Iterable[_base.Order]:
        """Remove the faults."""
        return [self._order(None)]


class WorkerLosesResponses(_WorkerFault):
    """Workers carry out orders but lose responses."""

    kind = 'worker_loses_responses'

    def draw_faults(self, rng: random.Random) -> _workers.WorkerFaults:
        """Draw the share."""
        return _workers.WorkerFaults(lost=rng.uniform(0.1, 0.6))


class WorkerExecutesLate(_WorkerFault):
    """Workers carry out orders late, without a response."""

    kind = 'worker_executes_late'

    def draw_faults(self, rng: random.Random) -> _workers.WorkerFaults:
        """Draw the share and the delay."""
        return _workers.WorkerFaults(
            late=rng.uniform(0.1, 0.5), late_ms=rng.randint(300, 5_000)
        )


class WorkerUnhealthy(_WorkerFault):
    """Workers refuse starts."""

    kind = 'worker_unhealthy'

    def draw_faults(self, rng: random.Random) -> _workers.WorkerFaults:
        """Draw the status."""
        return _workers.WorkerFaults(refusal=rng.choice(('429', '503')))


class WorkerHangs(_WorkerFault):
    """Workers do not respond, but their tasks go on under the lease."""

    kind = 'worker_hangs'
    most = 0.34

    def draw_faults(self, rng: random.Random) -> _workers.WorkerFaults:
        """Return the fault."""
        return _workers.WorkerFaults(is_hanging=True)


class WorkerCrash(_base.Fault):
    """Workers crash and start again, under a new id or the same."""

    kind = 'worker_crash'
    most = 0.34

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the workers."""
        self.workers = _base.draw_some(rng, site.workers, self.most)
        self.keeps_id = rng.random() < 0.5
        self.detail = f'keeps_id={self.keeps_id}'

    def _crash(self) -> Iterable[_base.Order]:
        """Return the orders to crash the workers."""
        for worker in self.workers:
            yield _base.Order(
                service=messages.WORKERS,
                message=messages.CrashWorker(worker=worker),
            )

    def begin(self) -> Iterable[_base.Order]:
        """Crash the workers."""
        return self._crash()

    def end(self) -> Iterable[_base.Order]:
        """Start the workers."""
        for worker in self.workers:
            yield _base.Order(
                service=messages.WORKERS,
                message=messages.StartWorker(
                    worker=worker, keeps_id=self.keeps_id
                ),
            )


class WorkerFlaps(WorkerCrash):
    """Workers crash, start at once and crash again."""

    kind = 'worker_flaps'

    def begin(self) -> Iterable[_base.Order]:
        """Crash the workers and start them."""
        return [*self._crash(), *super().end()]

    def end(self) -> Iterable[_base.Order]:
        """Crash the workers and start them once more."""
        return self.begin()


class WorkerLeaves(WorkerCrash):
    """Workers announce that they leave, leave and are replaced."""

    kind = 'worker_leaves'
    is_planned = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the workers; their replacements have new ids."""
        super().draw(rng, site)
        self.keeps_id = False
        self.duration_ms = rng.randint(3_500, 8_000)

    def begin(self) -> Iterable[_base.Order]:
        """Announce that the workers leave."""
        for worker in self.workers:
            yield _base.Order(
                service=messages.WORKERS,
                message=messages.DrainWorker(worker=worker),
            )
