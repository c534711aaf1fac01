"""Measure a daemon with seven peers, idle and under load.

Reports CPU, resident memory and control traffic.
"""

import dataclasses
import json
import pathlib
import signal
import tempfile
import time

from oriolestand_bench import _counted
from oriolestand_bench import _load
from oriolestand_bench import _path
from oriolestand_bench import _process
from oriolestand_bench import _results
from oriolestand_standins import _cluster

ENTRIES = 8
SETTLE_S = 5.0
IDLE_S = 20.0
LOAD_S = 10.0
UPSTREAMS = 8

MAX_CORE_PERCENT = 1.9
MAX_RESIDENT_MIB = 256.0
MAX_CONTROL_KIB_S = 8.0
KIB = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Sample:
    """CPU time and control traffic of a daemon at one time."""

    at_s: float
    cpu_s: float
    control_bytes: int


class _UsageProbe:
    """Reads the resource usage of one daemon.

    ``path`` is the file to which the daemon writes its control bytes.
    """

    def __init__(self, pid: int, path: pathlib.Path) -> None:
        self.pid = pid
        self._path = path

    def sample(self) -> _Sample:
        """Return the current usage."""
        return _Sample(
            at_s=time.monotonic(),
            cpu_s=_process.cpu_seconds(self.pid),
            control_bytes=int(self._path.read_text(encoding='ascii') or 0),
        )

    def results(self, name: str, first: _Sample) -> list[_results.Result]:
        """Return the usage since the sample ``first``."""
        last = self.sample()
        seconds = last.at_s - first.at_s
        sent = last.control_bytes - first.control_bytes
        is_idle = name == 'idle'
        return [
            _results.Result(
                name=f'{name}/core',
                unit='%',
                value=100 * (last.cpu_s - first.cpu_s) / seconds,
                target=MAX_CORE_PERCENT if is_idle else None,
            ),
            _results.Result(
                name=f'{name}/resident',
                unit='MiB',
                value=_process.resident_mib(self.pid),
                target=MAX_RESIDENT_MIB,
            ),
            _results.Result(
                name=f'{name}/control',
                unit='KiB/s',
                value=sent / KIB / seconds,
                target=MAX_CONTROL_KIB_S,
            ),
        ]


def _sleep(seconds: float) -> None:
    """Sleep while the daemons run."""
    signal.sigtimedwait([], seconds)


def _start(
    cluster: _cluster.Cluster, path: pathlib.Path, entries: int
) -> _UsageProbe:
    """Start the daemons and return a probe of the first."""
    cluster.start_platform()
    ups = _path.start_upstreams(cluster, UPSTREAMS)
    names = [f'entry-{number}' for number in range(entries)]
    for name in names:
        cluster.add_entry(name, 'a', 'north')
    ports = [entry.peer_port for entry in cluster.entries.values()]
    assert cluster.platform is not None
    ports.append(cluster.platform.port)
    env = {
        _counted.PORTS_VARIABLE: json.dumps(ports),
        _counted.FILE_VARIABLE: str(path),
    }
    first = cluster.start_daemon(
        names[0], module='oriolestand_bench._counted', env=env
    )
    for name in names[1:]:
        cluster.start_daemon(name)
    _path.put_tables(cluster, names[0], ups)
    for name in names:
        cluster.wait_ready(name)
    _cluster.wait_until(
        lambda: (
            sum(cluster.held_slots(name, 'main') for name in names)
            == UPSTREAMS * _path.SLOTS
        ),
        'all slots granted',
    )
    return _UsageProbe(first.popen.pid, path)


def measure_idle(entries: int) -> list[_results.Result]:
    """Return the usage of one of ``entries`` idle daemons."""
    with (
        tempfile.TemporaryDirectory() as folder,
        _cluster.Cluster() as cluster,
    ):
        probe = _start(cluster, pathlib.Path(folder) / 'bytes', entries)
        _sleep(SETTLE_S)
        first_sample = probe.sample()
        _sleep(IDLE_S)
        return probe.results('idle', first_sample)


def run() -> list[_results.Result]:
    """Return the usage of one of eight daemons, idle and under load."""
    with (
        tempfile.TemporaryDirectory() as folder,
        _cluster.Cluster() as cluster,
    ):
        probe = _start(cluster, pathlib.Path(folder) / 'bytes', ENTRIES)
        _sleep(SETTLE_S)
        first_sample = probe.sample()
        _sleep(IDLE_S)
        results = probe.results('idle', first_sample)
        first_sample = probe.sample()
        # Stay within its own slots so that it forwards nothing to peers.
        connections = max(1, cluster.held_slots('entry-0', 'main') // 2)
        port = cluster.entries['entry-0'].caller_port
        _load.run(port, connections, LOAD_S, _path.REQUEST)
        return results + probe.results('loaded', first_sample)
