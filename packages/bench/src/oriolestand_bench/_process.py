"""Read CPU time and memory of a process from ``/proc``."""

import os
import pathlib
import time

KIB = 1024
MIB = 1024 * 1024
CPUCLOCK_SCHED = 2
"""Kind of a process clock that counts time on processors."""


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    # The process name in parentheses may contain spaces. User and system
    # time are fields 14 and 15 of the full line.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    return parse_resident_mib(_read_status(pid))


def peak_resident_mib(pid: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    return _parse_mib(_read_status(pid), 'VmHWM')


def parse_resident_mib(status: str) -> float:
    """Return the resident memory in MiB in a status file of ``/proc``.

    >>> parse_resident_mib('VmRSS:    1024 kB')
    1.0
    """
    return _parse_mib(status, 'VmRSS')


def _read_status(pid: int) -> str:
    """Return the status file of a process."""
    return pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')


def _parse_mib(status: str, name: str) -> float:
    """Return a field of a status file in MiB."""
    line = next(x for x in status.splitlines() if x.startswith(f'{name}:'))
    return int(line.split()[1]) * KIB / MIB


def cpu_ns(pid: int) -> int:
    """Return the processor time of a process in nanoseconds.

    Unlike ``/proc``, the clock of a process is not rounded to ticks. Linux
    encodes the process in the id of the clock, see clock_getcpuclockid(3).
    """
    return time.clock_gettime_ns(~pid << 3 | CPUCLOCK_SCHED)
