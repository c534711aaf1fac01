"""Faults of the connections between daemons and stand-ins."""

from collections.abc import Iterable
import random

from oriolestand_soak import _links
from oriolestand_soak import messages
from oriolestand_soak.faults import _base


class _LinkFault(_base.Fault):
    """A fault of all links of some daemons, or those to one stand-in."""

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Draw the daemons and the stand-in."""
        self.daemons = _base.draw_daemons(rng, site)
        self.peer = rng.choice(('', '', 'store', rng.choice(site.workers)))
        self.faults = self.draw_faults(rng)
        self.detail = f'{self.peer or "all"} {self.faults}'

    def draw_faults(self, rng: random.Random) -> _links.LinkFaults:
        """Draw the faults."""
        return _links.LinkFaults()

    def _order(self, faults: _links.LinkFaults | None) -> _base.Order:
        """Return the order to set or remove the faults."""
        return _base.Order(
            service=messages.NETWORK,
            message=messages.SetFaults(
                fault=self.number,
                targets=self.daemons,
                faults=faults,
                peer=self.peer,
            ),
        )

    def begin(self) -> Iterable[_base.Order]:
        """Set the faults."""
        return [self._order(self.faults)]

    def end(self) -> Iterable[_base.Order]:
        """Remove the faults."""
        return [self._order(None)]


class Delay(_LinkFault):
    """Connections are slow."""

    kind = 'delay'

    def draw_faults(self, rng: random.Random) -> _links.LinkFaults:
        """Draw the delay."""
        return _links.LinkFaults(delay_ms=rng.randint(50, 800))


class Cut(_LinkFault):
    """Connections deliver nothing in one direction or both."""

    kind = 'cut'

    def draw_faults(self, rng: random.Random) -> _links.LinkFaults:
        """Draw the directions."""
        is_up_cut, is_down_cut = rng.choice(
            ((True, False), (False, True), (True, True))
        )
        return _links.LinkFaults(is_up_cut=is_up_cut, is_down_cut=is_down_cut)


class Reset(_LinkFault):
    """Open connections are reset, at the start and the end of the fault."""

    kind = 'reset'
    is_silent = False

    def begin(self) -> Iterable[_base.Order]:
        """Disturb the open connections."""
        return [
            _base.Order(
                service=messages.NETWORK,
                message=messages.DisturbConnections(
                    daemons=self.daemons,
                    peer=self.peer,
                    is_silent=self.is_silent,
                ),
            )
        ]

    def end(self) -> Iterable[_base.Order]:
        """Disturb them once more."""
        return self.begin()


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

    def begin(self) -> Iterable[_base.Order]:
        """Limit the bandwidth."""
        return [self._order(self.bytes_per_s)]

    def end(self) -> Iterable[_base.Order]:
        """Remove the limit."""
        return [self._order(0)]

    def _order(self, bytes_per_s: int) -> _base.Order:
        """Return the order to set the bandwidth."""
        return _base.Order(
            service=messages.NETWORK,
            message=messages.SetBandwidth(bytes_per_s=bytes_per_s),
        )
