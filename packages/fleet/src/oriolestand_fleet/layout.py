"""Tables, parts and keys that the fleet daemon uses in the store."""

import zlib

TABLE = 'oriolestand'
CELL_PART = 'cell-0'
"""Part that holds the owner row and the rows that only the owner writes."""

JOB_PARTS = 8
"""Number of parts that accepted jobs are spread over, as the store applies the
commits of one part serially."""

JOB_PREFIX = 'job/'
CANCEL_PREFIX = 'cancel/'
RECORD_PREFIX = 'record/'
OWNER_KEY = 'owner'
RENEWAL_KEY = 'renewal'
FLEET_KEY = 'fleet'
PRESSURE_KEY = 'pressure'


def part_for_job(job: str) -> str:
    """Return the part that holds the rows of a job.

    >>> part_for_job('5c0e7a21d94b36f8')
    'jobs-0'
    """
    return f'jobs-{zlib.crc32(job.encode()) % JOB_PARTS}'


def all_parts() -> list[str]:
    """Return the names of all parts of the table."""
    return [CELL_PART] + [f'jobs-{number}' for number in range(JOB_PARTS)]
