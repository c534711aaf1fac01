"""Faults of the store."""

from collections.abc import Iterable
import random

from oriolestand_soak import _store
from oriolestand_soak import messages
from oriolestand_soak.faults import _base

REFUSALS = ('503', '429', 'reset', 'silent')


class _StoreFault(_base.Fault):
    """A fault that the store shows to some or all daemons."""

    is_core = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Take all daemons and draw the other parameters."""
        self.daemons = site.daemons
        self.faults = self.draw_faults(rng)
        self.detail = str(self.faults)

    def draw_faults(self, rng: random.Random) -> _store.StoreFaults:
        """Draw the faults."""
        return _store.StoreFaults()

    def _order(self, faults: _store.StoreFaults | None) -> _base.Order:
        """Return the order to set or remove the faults."""
        return _base.Order(
            service=messages.STORE,
            message=messages.SetFaults(
                fault=self.number, targets=self.daemons, faults=faults
            ),
        )

    def begin(self) -> Iterable[_base.Order]:
        """Set the faults."""
        return [self._order(self.faults)]

    def end(self) -> Iterable[_base.Order]:
        """Remove the faults."""
        return [self._order(None)]


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
    """The store forgets its log of changes."""

    kind = 'store_forgets'
    is_core = True

    def draw(self, rng: random.Random, site: _base.Site) -> None:
        """Take all daemons."""
        self.daemons = site.daemons

    def begin(self) -> Iterable[_base.Order]:
        """Forget the log."""
        return [
            _base.Order(
                service=messages.STORE, message=messages.ForgetHistory()
            )
        ]

    def end(self) -> Iterable[_base.Order]:
        """Forget the log once more."""
        return self.begin()
