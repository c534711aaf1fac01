"""Measure the processor time of a daemon that owns a cell, without sockets.

The daemon runs with stand-ins for the store and the workers on a simulated
clock. The total includes the stand-ins; the profile tells them apart.
"""

import collections
import cProfile
import os
import pathlib
import pstats
import time

import click

from oriolestand_bench import _results
from oriolestand_bench import owner
import oriolestand_core as core
from oriolestand_fleet import _logs
from oriolestand_policy import scheduling
from oriolestand_standins import fleet

LOG_LINES_PER_S = 150
SERVICE_RUN_MS = 1_000_000_000
START_MS = 10_000
WARM_UP_MS = 4_000
MEASURED_MS = 5_000
STEP_MS = 5
GROUPS_SHOWN = 24


class DaemonSimulation:
    """A daemon that owns the workers and jobs of ``owner``."""

    def __init__(self) -> None:
        self._site = fleet.FleetSimulation()
        self._jobs = 0
        clock = self._site.clock
        log_writer = _logs.NonBlockingLineWriter(
            os.open(os.devnull, os.O_WRONLY),
            LOG_LINES_PER_S,
            clock.now,
            clock.call_later,
        )
        core.configure_logs(
            'json', 'INFO', clock.now, stream=log_writer, repeat_limit=None
        )
        for number in range(owner.WORKERS):
            self._site.add_worker(f'w{number:03}')
        self._daemon = self._site.add_daemon('front-0')
        self._site.run_until(lambda: self._daemon.is_owner, START_MS)
        for number in range(owner.SERVICE_JOBS):
            spec = scheduling.StepSpec(
                count=owner.SERVICE_TASKS,
                cpu=400,
                memory_mb=10,
                is_service=True,
                image=f's{number % owner.SERVICE_IMAGES}',
                target_ms=100,
            )
            self._submit(spec, SERVICE_RUN_MS)
        self._site.run(START_MS)

    def _submit(self, spec: scheduling.StepSpec, duration_ms: int) -> None:
        """Submit a job of one step."""
        self._jobs += 1
        self._site.submit(
            self._daemon,
            f'{self._jobs:016x}',
            steps=(spec,),
            duration_ms=duration_ms,
        )

    def _submit_quick(self) -> None:
        """Submit a quick job."""
        spec = scheduling.StepSpec(
            count=16, cpu=100, memory_mb=10, estimate_ms=owner.QUICK_MS
        )
        self._submit(spec, owner.QUICK_MS)

    def _submit_batch(self) -> None:
        """Submit a batch job."""
        spec = scheduling.StepSpec(
            count=40,
            cpu=300,
            memory_mb=10,
            estimate_ms=owner.BATCH_MS,
            is_filling=True,
            image=f'f{self._jobs % owner.FILLING_IMAGES}',
        )
        self._submit(spec, owner.BATCH_MS)

    def run(self, duration_ms: int) -> None:
        """Run for some simulated time with the rates of ``owner``."""
        begin_ms = self._site.clock.now()
        quick = batch = 0
        while (elapsed_ms := self._site.clock.now() - begin_ms) < duration_ms:
            if quick * 1_000 <= elapsed_ms * owner.QUICK_JOBS_PER_S:
                quick += 1
                self._submit_quick()
            if batch * 1_000 <= elapsed_ms * owner.BATCH_JOBS_PER_S:
                batch += 1
                self._submit_batch()
            self._site.run(STEP_MS)

    def started(self) -> int:
        """Return the number of runs that workers have started."""
        return len(self._site.history)


def run() -> list[_results.Result]:
    """Measure the processor time per simulated second."""
    simulation = DaemonSimulation()
    simulation.run(WARM_UP_MS)
    started = simulation.started()
    began_ns = time.process_time_ns()
    simulation.run(MEASURED_MS)
    spent_ns = time.process_time_ns() - began_ns
    seconds = MEASURED_MS / 1_000
    starts = (simulation.started() - started) / seconds
    click.echo(f'owner_daemon: {starts:g} starts/s')
    return [
        _results.Result(
            name='owner_daemon/with_stand_ins',
            unit='cores',
            value=spent_ns / 1e9 / seconds,
        )
    ]


def _print_profile() -> None:
    """Print the share of processor time of each module."""
    simulation = DaemonSimulation()
    simulation.run(WARM_UP_MS)
    profile = cProfile.Profile()
    profile.runcall(simulation.run, MEASURED_MS)
    spent: collections.Counter[str] = collections.Counter()
    stats = pstats.Stats(profile)
    for (file, _, _), row in stats.stats.items():  # type: ignore[attr-defined]
        path = pathlib.Path(file)
        if 'oriolestand' not in file:
            path = path.parent
        spent['/'.join(path.parts[-3:])] += row[2]
    total = sum(spent.values())
    for name, share in spent.most_common(GROUPS_SHOWN):
        click.echo(f'{100 * share / total:5.1f}% {name}')


@click.command()
@click.option('--profile', is_flag=True, help='Print shares by module.')
def main(profile: bool) -> None:
    """Print the processor time, or the share of each module."""
    if profile:
        _print_profile()
        return
    click.echo(_results.to_table(run()))


if __name__ == '__main__':
    main()
