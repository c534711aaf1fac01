"""Measure how long tasks wait when workers restart while the store is away.

A third of the workers, without runs, restart under their ids during the
outage. They write their entries with their next heartbeat after it. A job that
was accepted before gets to its second step meanwhile. The clock is simulated.
"""

import dataclasses

import click

from oriolestand_policy import scheduling
from oriolestand_standins import fleet

WORKERS = 24
RESTARTED = 8
SLOTS = WORKERS * 8
JOB = 'a' * 16
WARM_UP_MS = 3_000
SUBMITTED_BEFORE_MS = 200
STORE_DOWN_MS = 4_500
CRASH_AFTER_MS = 1_500
"""Early in the outage the owner notes for its successor that a worker is
silent, and starts nothing there until it has written the row again."""

DOWN_MS = 800
HEARTBEAT_MS = 1_500
TASK_MS = 2_500
FIRST_STEP = scheduling.StepSpec(count=16, cpu=1_000, label='a')
"""It runs on workers that do not restart, and ends in the outage."""
RUN_MS = 25_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Tasks of the second step, and what they require."""

    name: str
    count: int
    label: str = ''


LOADS = (
    Load(name='half of all slots', count=96),
    Load(name='all slots', count=192),
    Load(name='all slots for 10 s', count=768),
    Load(name='label of restarted workers', count=64, label='b'),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waits:
    """How long the tasks of the second step wait in ms, and when all are done.

    ``starts_in_outage`` counts those on restarted workers.
    """

    mean_ms: int
    p99_ms: int
    longest_ms: int
    all_done_ms: int
    starts_in_outage: int
    unfinished: int


def measure(load: Load, seed: int) -> Waits:
    """Return the waits of the tasks of a load."""
    site = fleet.FleetSimulation(seed)
    restarted = [f'w{number}' for number in range(RESTARTED)]
    for number in range(WORKERS):
        name = f'w{number}'
        labels = frozenset({'b' if name in restarted else 'a'})
        site.add_worker(name, labels=labels)
    daemons = [site.add_daemon(f'front-{number}') for number in range(3)]
    site.run_until(lambda: any(d.is_owner for d in daemons), 5_000)
    site.run(WARM_UP_MS)
    step = scheduling.StepSpec(
        count=load.count, cpu=1_000, label=load.label, after=(0,)
    )
    site.submit(daemons[0], JOB, (FIRST_STEP, step), duration_ms=TASK_MS)
    site.run(SUBMITTED_BEFORE_MS)
    began_ms = site.clock.now()
    for daemon in daemons:
        daemon.store.faults.is_down = True
    site.run(CRASH_AFTER_MS)
    for name in restarted:
        site.workers[name].crash(is_refusing=True)
    site.run(DOWN_MS)
    away_ms = STORE_DOWN_MS - CRASH_AFTER_MS - DOWN_MS
    for number, name in enumerate(restarted):
        site.add_worker(
            name,
            process_start_ms=2,
            labels=frozenset({'b'}),
            register_after_ms=away_ms + number * HEARTBEAT_MS // RESTARTED,
        )
    site.run(away_ms)
    for daemon in daemons:
        daemon.store.faults.is_down = False
    site.run(RUN_MS)
    runs = [run for run in site.history if run.key.step == 1]
    ready_ms = max(r.ended_ms for r in site.history if r.key.step == 0)
    waits = sorted(run.started_ms - ready_ms for run in runs)
    return Waits(
        mean_ms=sum(waits) // len(waits),
        p99_ms=waits[(len(waits) - 1) * 99 // 100],
        longest_ms=waits[-1],
        all_done_ms=max(run.ended_ms for run in runs) - ready_ms,
        starts_in_outage=sum(
            run.worker in restarted
            and run.started_ms < began_ms + STORE_DOWN_MS
            for run in runs
        ),
        unfinished=load.count - sum(run.outcome == 'done' for run in runs),
    )


@click.command()
@click.option('--seed', 'seeds', type=int, multiple=True, default=(1, 2, 3))
def main(seeds: tuple[int, ...]) -> None:
    """Print the waits of each load and seed."""
    for load in LOADS:
        for seed in seeds:
            waits = measure(load, seed)
            print(load.name, seed, dataclasses.asdict(waits), sep='; ')


if __name__ == '__main__':
    main()
