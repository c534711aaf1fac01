"""Share a running cluster between failure tests."""

from collections.abc import Iterator

import pytest

from oriolestand_standins import _cluster


@pytest.fixture
def cluster() -> Iterator[_cluster.Cluster]:
    """Provide a cluster whose processes end with the test."""
    with _cluster.Cluster() as running:
        running.start_platform()
        yield running
