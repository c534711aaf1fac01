"""Tables of the figures and of what the starts were spent on."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import operator

from oriolestand_bench.goodput import _figures
from oriolestand_bench.goodput import _idle
from oriolestand_bench.goodput import _jobs
from oriolestand_bench.goodput import _refusals
from oriolestand_bench.goodput import _traffic
from oriolestand_policy import scheduling

SIZES = 5
"""Parts into which the filling jobs are divided by size."""

SHOWN_OBSTACLES = 3

HEADER = (
    'workers, setting, load',
    'jobs',
    'offered, cores',
    'goodput, cores',
    'of offered',
    'late',
    'offline order',
    'fluid bound',
    'quick in time',
    'filling in time',
    'deciles of filling',
    'domains',
    'services at work, in target',
)

SPENT_HEADER = (
    'size',
    'jobs: in time, late, nothing',
    'starts of jobs in time, before overdue/after',
    'late, before/after',
    'nothing, before/after',
    'processor time of jobs in time, late, nothing',
    'failed jobs: stops for interference a job',
    'failed jobs: waits of tasks',
)

REFUSED_HEADER = (
    'images',
    'refusals',
    'room for a task after the next round',
    'for the whole step',
    'room for a task within the objective',
    'for the whole step',
    'idle cores after the next round, by what keeps a task from them',
)

CPU_HEADER = ('use', 'thousandths of a core times s', 'share')


def _row(cells: Iterable[str]) -> str:
    """Return a row of a table in Markdown."""
    return '| ' + ' | '.join(cells) + ' |'


def header(cells: Sequence[str]) -> str:
    """Return the header of a table."""
    return _row(cells) + '\n' + '|---' * len(cells) + '|'


def line(found: _figures.Figures) -> str:
    """Return the row of a run."""
    return _row(
        (
            f'{found.workers}, {found.setting}, {found.load:g}',
            f'{found.jobs}',
            f'{found.offered:.0f}',
            f'{found.goodput:.0f}',
            f'{found.share:.3f}',
            f'{found.late / found.offered:.3f}',
            f'{found.offline / found.offered:.3f}',
            f'{found.fluid / found.offered:.3f}',
            f'{found.quick_in_time:.2f}',
            f'{found.filling_in_time:.2f}',
            ' '.join(f'{share:.2f}' for share in found.deciles),
            ' '.join(f'{share:.2f}' for share in found.domains),
            f'{found.services_at_work:.3f}, {found.services_in_target:.3f}',
        )
    )


def spent(records: Sequence[_jobs.JobRecord]) -> str:
    """Return the table of what starts were spent on, by size of the job."""
    filling = _figures.of_kind(records, _traffic.Kind.FILLING)
    groups: list[tuple[str, Sequence[_jobs.JobRecord]]] = [
        ('quick', _figures.of_kind(records, _traffic.Kind.QUICK))
    ]
    groups += [
        (f'filling, to {part[-1].planned.work:.0f} core s', part)
        for part in _figures.parts(filling, SIZES)
        if part
    ]
    groups.append(('all', records))
    rows = [_spent_row(name, part) for name, part in groups if part]
    return '\n'.join([header(SPENT_HEADER), *rows])


def cpu_uses(record: _idle.CpuRecord) -> str:
    """Return the table of what processors were used for over the load."""
    total = record.uses.total() or 1
    rows = [
        _row((use.value, f'{record.uses[use]:,}', f'{share:.3f}'))
        for use in scheduling.CpuUse
        if (share := record.uses[use] / total)
    ]
    return '\n'.join([header(CPU_HEADER), *rows])


def refused(record: _refusals.RefusalRecord, found: _figures.Figures) -> str:
    """Return what was refused over the load, and the room beside it."""
    summary = (
        f'{record.submissions} submissions of filling jobs, '
        f'{len(record.refusals)} refused; {found.refused} jobs refused for '
        f'good; pool full in {record.full} of {record.renewals} renewals; '
        f'filling jobs accepted {found.accepted}, in time '
        f'{found.filling_done}, late {found.filling_late}; without a run at '
        f'the end {found.stuck}'
    )
    groups = {
        'all': record.refusals,
        'strong': [r for r in record.refusals if r.is_strong],
        'others': [r for r in record.refusals if not r.is_strong],
    }
    rows = [_refused_row(name, part) for name, part in groups.items() if part]
    return '\n'.join([summary, header(REFUSED_HEADER), *rows])


def _refused_row(name: str, refusals: Sequence[_refusals.Refusal]) -> str:
    """Return the row of the refusals of some images."""
    idle: collections.Counter[str] = collections.Counter()
    for refusal in refusals:
        idle.update(refusal.idle)
    widths = [len(refusal.planned.steps[0].run_ms) for refusal in refusals]
    now = [refusal.fitting for refusal in refusals]
    later = [refusal.fitting_in_time for refusal in refusals]
    return _row(
        (
            name,
            f'{len(refusals)}',
            f'{sum(count > 0 for count in now)}',
            f'{sum(map(operator.ge, now, widths))}',
            f'{sum(count > 0 for count in later)}',
            f'{sum(map(operator.ge, later, widths))}',
            ', '.join(
                f'{use} {cpu / len(refusals) / 1_000:.0f}'
                for use, cpu in idle.most_common()
            ),
        )
    )


def _spent_row(name: str, records: Sequence[_jobs.JobRecord]) -> str:
    """Return the row of the jobs of one size."""
    groups = [
        [record for record in records if record.result is result]
        for result in _jobs.Result
    ]
    failed = [
        record
        for record in records
        if record.result is not _jobs.Result.IN_TIME
    ]
    starts = sum(record.starts for record in records) or 1
    used = sum(record.used for record in records) or 1.0
    stops = sum(record.harm_stops for record in failed)
    return _row(
        (
            name,
            ', '.join(str(len(group)) for group in groups),
            *(_starts(group, starts) for group in groups),
            ', '.join(
                f'{sum(record.used for record in group) / used:.2f}'
                for group in groups
            ),
            f'{stops / len(failed):.2f}' if failed else '-',
            _waits(failed),
        )
    )


def _starts(records: Sequence[_jobs.JobRecord], all_starts: int) -> str:
    """Return the share of starts before and after tasks were overdue."""
    after = sum(record.overdue_starts for record in records)
    before = sum(record.starts for record in records) - after
    return f'{before / all_starts:.2f}/{after / all_starts:.2f}'


def _waits(records: Sequence[_jobs.JobRecord]) -> str:
    """Return the obstacles for which the tasks of jobs waited longest."""
    waits: collections.Counter[str] = collections.Counter()
    for record in records:
        waits.update(record.waits)
    total = sum(waits.values())
    if not total:
        return '-'
    shown = ', '.join(
        f'{name} {seconds / total:.2f}'
        for name, seconds in waits.most_common(SHOWN_OBSTACLES)
    )
    return f'{total / len(records):.0f} task s a job: {shown}'
