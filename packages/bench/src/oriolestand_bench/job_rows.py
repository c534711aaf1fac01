"""Measure the rows that an accepted job takes, without sockets.

Daemons run with stand-ins for the store and the workers on a simulated clock.
All figures are per job; bytes are those of the values of rows.
"""

import collections

import click

from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import scheduling
from oriolestand_standins import fleet

DAEMONS = 3
WORKERS = 8
JOBS = 100
START_MS = 10_000
INTERVAL_MS = 100
END_MS = 10_000
ROUTE = store.Route(
    host='nony24.example',
    prefix='/pufi791/',
    policy=scheduling.RoutePolicy(
        name='r-batch',
        pool='blendhouse',
        priority=2,
        max_attempts=3,
        stretch=1.5,
        target_ms=600,
    ),
)
"""A route as in the users' configurations, with names of their lengths."""

STEPS = (
    scheduling.StepSpec(count=2, cpu=500, estimate_ms=1_000),
    scheduling.StepSpec(count=1, cpu=500, estimate_ms=1_000, after=(0,)),
)


class Writes:
    """Count the commits and rows that a store applies."""

    def __init__(self, site: fleet.FleetSimulation) -> None:
        self.commits = 0
        self.rows: collections.Counter[str] = collections.Counter()
        self.sizes: collections.Counter[str] = collections.Counter()
        self._commit = site.store.commit
        site.store.commit = self._count  # type: ignore[method-assign]

    def _count(self, msg: store.CommitRows) -> store.CommitResult:
        """Count a commit that names a job, and apply it."""
        puts = [put for put in msg.puts if '/' in put.key]
        self.commits += bool(puts)
        for put in puts:
            kind = put.key.partition('/')[0]
            self.rows[kind] += 1
            self.sizes[kind] += len(put.value or b'')
        return self._commit(msg)


def measure() -> tuple[Writes, int]:
    """Run jobs to their ends; return the writes and a follower's bytes."""
    site = fleet.FleetSimulation()
    for number in range(WORKERS):
        site.add_worker(f'w{number}')
    daemons = [site.add_daemon(f'front-{n}') for n in range(DAEMONS)]
    site.run(START_MS)
    follower = fleet.follower_of(daemons)
    received = follower.store.received_bytes
    writes = Writes(site)
    for number in range(JOBS):
        site.submit(daemons[number % DAEMONS], f'{number:016x}', STEPS)
        site.run(INTERVAL_MS)
    site.run(END_MS)
    return writes, follower.store.received_bytes - received


@click.command()
def main() -> None:
    """Print the size of a row, and what a job takes until it has ended."""
    spec = scheduling.JobSpec(
        id='0' * 16, route=ROUTE.policy.name, payload='', steps=STEPS
    )
    row = models.encode_row(spec, ROUTE)
    click.echo(f'row of a job: {len(row)} bytes: {row.decode()}')
    writes, received = measure()
    click.echo(f'commits: {writes.commits / JOBS:.2f}')
    for kind, count in sorted(writes.rows.items()):
        size = writes.sizes[kind] / JOBS
        click.echo(f'{kind}: {count / JOBS:.2f} rows, {size:.0f} bytes')
    click.echo(f'received by a follower: {received / JOBS:.0f} bytes')


if __name__ == '__main__':
    main()
