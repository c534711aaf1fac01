"""Fixtures with daemons, a store and workers on a simulated clock."""

import pytest

from oriolestand_standins import fleet


@pytest.fixture
def site() -> fleet.FleetSimulation:
    """Return a site with three workers and no daemon."""
    site = fleet.FleetSimulation()
    for number in range(3):
        site.add_worker(f'w{number}')
    return site


@pytest.fixture
def daemons(site: fleet.FleetSimulation) -> list[fleet.Daemon]:
    """Return three daemons, one of which owns the cell."""
    found = [site.add_daemon(f'front-{number}') for number in range(3)]
    site.run_until(lambda: any(d.is_owner for d in found), 5_000)
    site.run(500)
    return found
