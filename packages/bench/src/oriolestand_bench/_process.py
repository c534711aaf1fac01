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
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(x for x in text.splitlines() if x.startswith('VmRSS:'))
    return int(line.split()[1]) * KIB / MIB


def peak_resident_mib(pid: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(x for x in text.splitlines() if x.startswith('VmHWM:'))
    return int(line.split()[1]) * KIB / MIB


def cpu_ns(pid: int) -> int:
    """Return the processor time of a process in nanoseconds.

    Unlike ``/proc``, the clock of a process is not rounded to ticks. Linux
    encodes the process in the id of the clock, see clock_getcpuclockid(3).
    """
    return time.clock_gettime_ns(~pid << 3 | CPUCLOCK_SCHED)
