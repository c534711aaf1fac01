"""Read what the system knows of a process."""

import os
import pathlib

KIB = 1024
MIB = 1024 * 1024


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    # The name in parentheses may have spaces; user and system time are the
    # fields 14 and 15 of the whole line.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    line = next(x for x in text.splitlines() if x.startswith('VmRSS:'))
    return int(line.split()[1]) * KIB / MIB
