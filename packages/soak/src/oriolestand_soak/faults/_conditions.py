"""Faults that change how a stand-in or a connection behaves for a while."""

import abc
import random
from typing import Any
from typing import ClassVar

from oriolestand_soak import _links
from oriolestand_soak import _store
from oriolestand_soak import _workers
from oriolestand_soak import messages
from oriolestand_soak.faults import _base

REFUSALS = ('503', '429', 'reset', 'silent')


class _Condition(_base.Fault):
    """Sets the faults of a service for some targets, and removes them."""

    service: ClassVar[str]
    peer = ''
    faults: Any = None

    @abc.abstractmethod
    def draw_faults(self, rng: random.Random) -> Any:
        """Draw the faults."""

    def _set(self, post: _base.Post, faults: Any) -> None:
        """Set the faults of the targets."""
        message = messages.SetFaults(
            fault=self.number,
            targets=self.workers or self.daemons,
            faults=faults,
            peer=self.peer,
        )
        post(self.service, message)

    def begin(self, post: _base.Post) -> None:
        """Set the faults."""
        self._set(post, self.faults)

    def end(self, post: _base.Post) -> None:
        """Remove the faults."""
        self._set(post, None)


class _StoreFault(_Condition):
    """A fault that the store shows to all daemons."""

    service = messages.STORE
    is_core = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Take all daemons and draw the faults."""
        self.daemons = site.daemons
        self.faults = self.draw_faults(rng)
        self.detail = str(self.faults)


class StoreDown(_StoreFault):
    """The store serves no daemon."""

    kind = 'store_down'

    def draw_faults(self, rng: random.Random) -> _store.StoreFaults:
        """Draw how calls are refused."""
        return _store.StoreFaults(refusal=rng.choice(REFUSALS))


class StoreTurnsAway(StoreDown):
    """The store serves some daemons only."""

    kind = 'store_turns_away'
    is_core = False

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons that it does not serve."""
        super().draw(rng, site)
        self.daemons = _base.draw_daemons(rng, site)


class StoreSlow(_StoreFault):
    """The store takes long for each call."""

    kind = 'store_slow'

    def draw_faults(self, rng: random.Random) -> _store.StoreFaults:
        """Draw the delay."""
        return _store.StoreFaults(delay_ms=rng.randint(100, 900))


class StoreLosesResponses(_StoreFault):
    """Responses are lost after the change took effect."""

    kind = 'store_loses_responses'

    def draw_faults(self, rng: random.Random) -> _store.StoreFaults:
        """Draw the share."""
        return _store.StoreFaults(lost=rng.uniform(0.1, 0.6))


class StoreAppliesLate(_StoreFault):
    """Some changes are applied late, without a response."""

    kind = 'store_applies_late'

    def draw_faults(self, rng: random.Random) -> _store.StoreFaults:
        """Draw the share and the delay."""
        return _store.StoreFaults(
            late=rng.uniform(0.1, 0.5), late_ms=rng.randint(500, 5_000)
        )


class StoreForgets(_base.Fault):
    """The store forgets its log of changes, twice."""

    kind = 'store_forgets'
    is_core = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Take all daemons."""
        self.daemons = site.daemons

    def begin(self, post: _base.Post) -> None:
        """Forget the log."""
        post(messages.STORE, messages.ForgetHistory())

    def end(self, post: _base.Post) -> None:
        """Forget the log once more."""
        self.begin(post)


class Delay(_Condition):
    """Connections of some daemons are slow."""

    kind = 'delay'
    service = messages.NETWORK

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons, the stand-in and the faults."""
        self.daemons = _base.draw_daemons(rng, site)
        self.peer = rng.choice(('', '', 'store', rng.choice(site.workers)))
        self.faults = self.draw_faults(rng)
        self.detail = f'{self.peer or "all"} {self.faults}'

    def draw_faults(self, rng: random.Random) -> _links.LinkFaults:
        """Draw the delay."""
        return _links.LinkFaults(delay_ms=rng.randint(50, 800))


class Cut(Delay):
    """Connections deliver nothing in one direction or both."""

    kind = 'cut'

    def draw_faults(self, rng: random.Random) -> _links.LinkFaults:
        """Draw the directions."""
        is_up_cut, is_down_cut = rng.choice(
            ((True, False), (False, True), (True, True))
        )
        return _links.LinkFaults(is_up_cut=is_up_cut, is_down_cut=is_down_cut)


class Reset(Delay):
    """Open connections are reset, at the start and the end of the fault."""

    kind = 'reset'
    is_silent = False

    def draw_faults(self, rng: random.Random) -> _links.LinkFaults:
        """Return no faults, as new connections work."""
        return _links.LinkFaults()

    def begin(self, post: _base.Post) -> None:
        """Disturb the open connections."""
        message = messages.DisturbConnections(
            daemons=self.daemons, peer=self.peer, is_silent=self.is_silent
        )
        post(messages.NETWORK, message)

    def end(self, post: _base.Post) -> None:
        """Disturb them once more."""
        self.begin(post)


class Silence(Reset):
    """Open connections deliver nothing any more; new ones work."""

    kind = 'silence'
    is_silent = True


class Narrow(_base.Fault):
    """The link that the daemons of the far region share is narrow."""

    kind = 'narrow'
    is_core = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the bandwidth."""
        self.daemons = site.daemons
        self.bytes_per_s = rng.choice((15_000, 40_000, 120_000))
        self.duration_ms = rng.randint(3_000, 10_000)
        self.detail = f'{self.bytes_per_s} bytes/s'

    def begin(self, post: _base.Post) -> None:
        """Limit the bandwidth."""
        message = messages.SetBandwidth(bytes_per_s=self.bytes_per_s)
        post(messages.NETWORK, message)

    def end(self, post: _base.Post) -> None:
        """Remove the limit."""
        post(messages.NETWORK, messages.SetBandwidth(bytes_per_s=0))


class _WorkerFault(_Condition):
    """A fault that some workers show to all daemons."""

    service = messages.WORKERS
    most = 0.5

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the workers and the faults."""
        self.workers = _base.draw_some(rng, site.workers, self.most)
        self.faults = self.draw_faults(rng)
        self.detail = str(self.faults)


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
