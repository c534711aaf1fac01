"""Faults of daemon processes, by signals."""

from collections.abc import Iterable
import random

from oriolestand_soak import messages
from oriolestand_soak.faults import _base


class _Signals(_base.Fault):
    """A fault that consists of signals to daemons."""

    def _signal(self, name: str) -> Iterable[_base.Order]:
        """Return the orders to send a signal."""
        for daemon in self.daemons:
            yield _base.Order(
                service=messages.DAEMONS,
                message=messages.SignalDaemon(daemon=daemon, signal=name),
            )

    def _end_processes(self, name: str) -> Iterable[_base.Order]:
        """Return the orders to end the processes by a signal."""
        for daemon in self.daemons:
            yield _base.Order(
                service=messages.DAEMONS,
                message=messages.EndDaemon(daemon=daemon, signal=name),
            )

    def _start(self) -> Iterable[_base.Order]:
        """Return the orders to start the daemons."""
        for daemon in self.daemons:
            yield _base.Order(
                service=messages.DAEMONS,
                message=messages.StartDaemon(daemon=daemon),
            )


class Kill(_Signals):
    """Some daemons are killed and started again."""

    kind = 'kill'
    most = 0.5

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons."""
        self.daemons = _base.draw_daemons(rng, site, self.most)

    def begin(self) -> Iterable[_base.Order]:
        """Kill the daemons."""
        return self._end_processes('SIGKILL')

    def end(self) -> Iterable[_base.Order]:
        """Start the daemons."""
        return self._start()


class KillAll(Kill):
    """All daemons are killed at once."""

    kind = 'kill_all'

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Take all daemons; the outage is short."""
        self.daemons = site.daemons
        self.duration_ms = rng.randint(300, 2_500)


class Terminate(Kill):
    """Some daemons shut down gracefully and are started again."""

    kind = 'terminate'
    is_planned = True
    least_ms = 6_500
    """Longer than a daemon may take to exit."""

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons."""
        super().draw(rng, site)
        self.duration_ms = self.least_ms + rng.randint(0, 2_000)

    def begin(self) -> Iterable[_base.Order]:
        """Ask the daemons to exit."""
        return self._end_processes('SIGTERM')


class Pause(_Signals):
    """Some daemons are suspended for a while."""

    kind = 'pause'

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons; some pauses are longer than a lease."""
        self.daemons = _base.draw_daemons(rng, site)
        if rng.random() < 0.3:
            self.duration_ms = rng.randint(6_000, 12_000)

    def begin(self) -> Iterable[_base.Order]:
        """Suspend the daemons."""
        return self._signal('SIGSTOP')

    def end(self) -> Iterable[_base.Order]:
        """Resume the daemons."""
        return self._signal('SIGCONT')


class Reload(_Signals):
    """Some daemons are told to read their settings again."""

    kind = 'reload'
    is_planned = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons."""
        self.daemons = _base.draw_daemons(rng, site, 1.0)
        self.duration_ms = 500

    def begin(self) -> Iterable[_base.Order]:
        """Send the signal."""
        return self._signal('SIGHUP')

    def end(self) -> Iterable[_base.Order]:
        """Send the signal once more."""
        return self._signal('SIGHUP')
