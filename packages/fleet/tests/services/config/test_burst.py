"""Tests of many configurations in quick succession."""

import pytest

CONFIG_BYTES = 360_000
"""Size of a configuration with 1,500 routes in a response of the store."""

LINK_BYTES_PER_S = 1_250_000
"""Link of the smallest instances of the grown deployments, 10 Mbit/s."""

CONFIG_BOUND_S = 4.0
"""Time in which a change must be in force everywhere."""


def versions(daemons):
    return {d.kernel.find('config')._config.version for d in daemons}


@pytest.mark.parametrize('gap_ms', [60, 400])
def test_burst_of_large_configurations_fits_the_link(site, daemons, gap_ms):
    # The change feed sends every version. Daemons that read all of them were
    # 25 s behind after a burst of 25 versions.
    site.store.config_bytes = CONFIG_BYTES
    site.run(2_500)
    before = daemons[0].store.received_bytes
    for version in range(10, 35):
        site.set_config(version)
        site.run(gap_ms)
    burst_s = 25 * gap_ms / 1000
    site.run(1_500)
    assert versions(daemons) == {34}
    received = daemons[0].store.received_bytes - before
    assert received <= (burst_s + CONFIG_BOUND_S) * LINK_BYTES_PER_S


def test_single_change_is_read_from_the_feed(site, daemons):
    # Small changes must not cost a second read.
    site.store.config_bytes = 5_000
    site.run(2_500)
    before = daemons[0].store.received_bytes
    site.set_config(10)
    site.run(1_500)
    assert versions(daemons) == {10}
    assert daemons[0].store.received_bytes - before < 2 * 5_000


REGION_LINK_BYTES_PER_S = 3_750_000
"""Link between the regions of the grown deployments, 30 Mbit/s."""

REGION_DAEMONS = 20
"""Daemons of the grown deployments that share that link."""


@pytest.mark.parametrize('gap_ms', [400, 1_500])
def test_burst_of_large_configurations_fits_the_link_of_a_region(site, gap_ms):
    # Each daemon stayed within its own link, but all daemons of a region
    # together received more than twice what their common link carries.
    found = [site.add_daemon(f'front-{n}') for n in range(REGION_DAEMONS)]
    site.run(3_000)
    site.store.config_bytes = CONFIG_BYTES
    before = sum(daemon.store.received_bytes for daemon in found)
    for version in range(10, 35):
        site.set_config(version)
        site.run(gap_ms)
    burst_s = 25 * gap_ms / 1000
    site.run(1_500)
    received = sum(daemon.store.received_bytes for daemon in found) - before
    assert received <= (burst_s + CONFIG_BOUND_S) * REGION_LINK_BYTES_PER_S
