"""Tables, parts and keys that the fleet daemon uses in the store."""

from urllib import parse
import zlib

TABLE = 'oriolestand'
"""Table that every daemon follows: entries, cancellations and states of jobs,
the owner row and its renewal. Each row crosses the link of every daemon, so
rows are small and none of them grows with the fleet or with a job."""

SPEC_TABLE = 'oriolestand-specs'
"""Specifications of jobs, which only the owner of the cell follows. Each claim
writes its owner row here as well: tables have feeds of their own, and a former
owner must not receive a job that was stored after a claim before the claim."""

OWNER_TABLE = 'oriolestand-owner'
"""Rows that the owner writes for its successor: progress of jobs, workers and
the interference model. No daemon follows them."""

CELL_PART = 'cell-0'
"""Part that holds the owner row and the rows that only the owner writes."""

JOB_PARTS = 8
"""Number of parts that accepted jobs are spread over, as the store applies the
commits of one part serially."""

JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
RECORD_PREFIX = 'record/'
"""The state of a job, which daemons report to callers."""

SPEC_PREFIX = 'spec/'
PROGRESS_PREFIX = 'progress/'
WORKER_PREFIX = 'worker/'
OWNER_KEY = 'owner'
RENEWAL_KEY = 'renewal'
CANDIDATE_KEY = 'candidate'
"""Row of ``TABLE`` in which a daemon offers to take the cell of an owner that
is too slow."""

LIMITS_KEY = 'lease-limits'
"""Row of ``TABLE`` that tells whether the owner limits its leases."""

FLEET_KEY = 'fleet'
"""Row of ``TABLE`` in which earlier versions listed all workers."""

FAILURES_KEY = 'failures'
"""Row of the workers on which tasks have failed recently."""

PRESSURE_KEY = 'pressure'

ROUTE_PREFIX = 'route/'
"""The last policy of a route whose accepted jobs have another one or none."""

MAX_ROUTE_CHARS = 180
"""Longest name of a route in a key; the store accepts keys of 200 bytes."""


def part_for_job(job: str) -> str:
    """Return the part that holds the rows of a job.

    >>> part_for_job('5c0e7a21d94b36f8')
    'jobs-0'
    """
    return f'jobs-{zlib.crc32(job.encode()) % JOB_PARTS}'


def route_key(route: str) -> str:
    """Return the key of the row of a route.

    Names of routes may have any characters and any length.

    >>> route_key('queue/é')
    'route/queue%2F%C3%A9'
    >>> len(route_key('a' * 1_000))
    195
    """
    name = parse.quote(route, safe='', errors='surrogatepass')
    if len(name) > MAX_ROUTE_CHARS:
        digest = zlib.crc32(name.encode())
        name = f'{name[:MAX_ROUTE_CHARS]}~{digest:08x}'
    return ROUTE_PREFIX + name


def job_parts() -> list[str]:
    """Return the names of the parts that hold accepted jobs."""
    return [f'jobs-{number}' for number in range(JOB_PARTS)]


def all_parts() -> list[str]:
    """Return the names of all parts of the table."""
    return [CELL_PART, *job_parts()]
