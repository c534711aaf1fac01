"""Tell which ends in the reports of a worker are new and may be forgotten."""

import dataclasses

from oriolestand_policy import scheduling

_RunId = tuple[scheduling.TaskKey, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Listing:
    """The number of a listed end, and what shows that it is right.

    A worker that does not leave numbers out forgets the end once
    ``forgotten_by`` is acknowledged.
    """

    sequence: int
    forgotten_by: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """What a report tells: its new ends, and the last to acknowledge."""

    new_ends: tuple[scheduling.EndReport, ...]
    last_sequence: int
    is_stalled: bool
    """Whether the ends listed are neither new nor have a believed number."""


class EndReader:
    """Read the ends that one incarnation of a worker lists.

    The worker forgets all ends up to the acknowledged number, also those that
    it has not listed yet, so a number that was read wrong must not be
    acknowledged. Ends rise in number and the oldest are listed, so the n-th
    that is listed has at least the acknowledged number plus n. That much may
    be acknowledged whatever was read. A worker that leaves numbers out lists
    the end again after that, and the number that it then repeats is believed.
    What was acknowledged once stays forgotten, also if a later poll names a
    lower number because the worker may have restarted.
    """

    def __init__(self) -> None:
        self._listings: dict[_RunId, _Listing] = {}
        self._acknowledged = 0

    def read(
        self, report: scheduling.WorkerReport, acknowledged: int
    ) -> Reading:
        """Return what a report tells.

        :param acknowledged: the number that its poll has acknowledged to this
            incarnation of the worker.
        """
        acknowledged = max(acknowledged, self._acknowledged)
        self._acknowledged = acknowledged
        last = max([report.last_sequence, *(e.sequence for e in report.ended)])
        rows = len(report.ended) + report.unreadable_ends
        certain = acknowledged + rows
        believed = 0
        listings: dict[_RunId, _Listing] = {}
        new_ends = []
        for end in report.ended:
            run = (end.key, end.number)
            listing = self._listings.get(run)
            if listing is None and run not in listings:
                new_ends.append(end)
            if listing is None or listing.sequence != end.sequence:
                listing = _Listing(sequence=end.sequence, forgotten_by=certain)
            elif acknowledged >= listing.forgotten_by:
                believed = max(believed, end.sequence)
            listings[run] = listing
        self._listings = listings
        return Reading(
            new_ends=tuple(new_ends),
            last_sequence=min(last, max(certain, believed)),
            is_stalled=rows > 0 and not new_ends and not believed,
        )
