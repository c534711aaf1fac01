"""Faults of daemon processes and of the processes of workers."""

import random

from oriolestand_soak import messages
from oriolestand_soak.faults import _base


class _Signals(_base.Fault):
    """Some daemons get a signal at the start and one at the end.

    ``is_final``: whether the first signal ends them; then they are started.
    """

    first = ''
    last = ''
    is_final = False

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons."""
        self.daemons = _base.draw_daemons(rng, site)

    def begin(self, post: _base.Post) -> None:
        """Send the first signal."""
        for daemon in self.daemons:
            message = messages.SignalDaemon(
                daemon=daemon, signal=self.first, is_final=self.is_final
            )
            post(messages.DAEMONS, message)

    def end(self, post: _base.Post) -> None:
        """Send the last signal, or start the daemons."""
        for daemon in self.daemons:
            message: object = messages.StartDaemon(daemon=daemon)
            if self.last:
                message = messages.SignalDaemon(
                    daemon=daemon, signal=self.last
                )
            post(messages.DAEMONS, message)


class Kill(_Signals):
    """Some daemons are killed and started again."""

    kind = 'kill'
    first = 'SIGKILL'
    is_final = True


class KillAll(Kill):
    """All daemons are killed at once, for a short time."""

    kind = 'kill_all'

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Take all daemons."""
        self.daemons = site.daemons
        self.duration_ms = rng.randint(300, 2_500)


class Terminate(_Signals):
    """Some daemons shut down gracefully and are started again."""

    kind = 'terminate'
    is_planned = True
    first = 'SIGTERM'
    is_final = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons; the fault lasts longer than their exit."""
        super().draw(rng, site)
        self.duration_ms = rng.randint(6_200, 8_000)


class Pause(_Signals):
    """Some daemons are suspended, in part for longer than a lease."""

    kind = 'pause'
    first = 'SIGSTOP'
    last = 'SIGCONT'

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons and the duration."""
        super().draw(rng, site)
        if rng.random() < 0.3:
            self.duration_ms = rng.randint(6_000, 12_000)


class Reload(_Signals):
    """Some daemons are told twice to read their settings again."""

    kind = 'reload'
    is_planned = True
    first = 'SIGHUP'
    last = 'SIGHUP'


class WorkerCrash(_base.Fault):
    """Workers crash and start again, under a new id or the same."""

    kind = 'worker_crash'

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the workers."""
        self.workers = _base.draw_some(rng, site.workers, 0.34)
        self.keeps_id = rng.random() < 0.5
        self.detail = f'keeps_id={self.keeps_id}'

    def steer(self, post: _base.Post, action: str) -> None:
        """Send an order to the workers."""
        for worker in self.workers:
            message = messages.SteerWorker(
                worker=worker, action=action, keeps_id=self.keeps_id
            )
            post(messages.WORKERS, message)

    def begin(self, post: _base.Post) -> None:
        """Crash the workers."""
        self.steer(post, 'crash')

    def end(self, post: _base.Post) -> None:
        """Start the workers."""
        self.steer(post, 'start')


class WorkerFlaps(WorkerCrash):
    """Workers crash and start at once, twice."""

    kind = 'worker_flaps'

    def begin(self, post: _base.Post) -> None:
        """Crash the workers and start them."""
        self.steer(post, 'crash')
        self.steer(post, 'start')

    def end(self, post: _base.Post) -> None:
        """Crash the workers and start them once more."""
        self.begin(post)


class WorkerLeaves(WorkerCrash):
    """Workers announce that they leave, leave and are replaced."""

    kind = 'worker_leaves'
    is_planned = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the workers; their replacements have new ids."""
        super().draw(rng, site)
        self.keeps_id = False
        self.detail = ''
        self.duration_ms = rng.randint(3_500, 8_000)

    def begin(self, post: _base.Post) -> None:
        """Announce that the workers leave."""
        self.steer(post, 'drain')
