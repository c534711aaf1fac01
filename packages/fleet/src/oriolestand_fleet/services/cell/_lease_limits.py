"""Tell successors whether the owner limits its leases."""

import oriolestand_core as core
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import models


class LeaseLimits:
    """Follow the row with the limits of the leases, and write it as owner.

    An owner that is short of processor time reads answers too late to keep
    to the limits. It exceeds them only once the store has confirmed that the
    row says so. Each write depends on the version of the row, so that none
    that is applied late can set the limits again.
    """

    def __init__(self, kernel: core.Kernel) -> None:
        self._kernel = kernel
        self._version = 0
        self._exists = False
        self._limits: models.LeaseLimits | None = None
        self._is_busy = False

    def apply(self, row: store.Row) -> None:
        """Apply the row unless a newer version is known.

        Raise MalformedRowError if it is malformed; it then sets no limits.
        """
        if row.version <= self._version:
            return
        self._version = row.version
        self._exists = row.value is not None
        self._limits = None
        self._limits = models.decode_lease_limits(row.value)

    def are_set_by(self, epoch: int) -> bool:
        """Return whether the owner of an epoch limits its leases."""
        limits = self._limits
        return limits is not None and limits == models.LeaseLimits(
            epoch=epoch, are_set=True
        )

    @property
    def check(self) -> store.Check:
        """Return the condition that the known row is the current one."""
        return store.Check(
            key=layout.LIMITS_KEY, version=self._version if self._exists else 0
        )

    async def update(self, term: models.Term, *, are_set: bool) -> None:
        """Set the limits, or remove them once the store has confirmed it."""
        limits = models.LeaseLimits(epoch=term.epoch, are_set=are_set)
        if are_set:
            term.limits_leases = True
        if self._is_busy or limits == self._limits:
            return
        self._is_busy = True
        self._limits = None
        try:
            outcome = await _owner_commits.commit_as_owner(
                self._kernel, term, [put(limits)], [self.check]
            )
        finally:
            self._is_busy = False
        result = outcome.result
        if result is None:
            return
        if not result.is_applied:
            for row in result.current:
                if row.key == layout.LIMITS_KEY:
                    self._apply_current(row)
            return
        self._version = max(self._version, result.version)
        self._exists = True
        self._limits = limits
        term.limits_leases = are_set

    def _apply_current(self, row: store.Row) -> None:
        """Apply the row that has refused a commit."""
        try:
            self.apply(row)
        except _rows.MalformedRowError:
            # The next commit names its version and replaces it.
            return


def put(limits: models.LeaseLimits) -> store.Put:
    """Return the write of the row."""
    return store.Put(
        key=layout.LIMITS_KEY, value=models.encode_lease_limits(limits)
    )
