"""Track which slots of a shard this daemon may use at present."""

from collections.abc import Mapping
import dataclasses

from oriolestand_policy.grants import _row


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingWrite:
    """A write that was sent and whose outcome is unknown.

    It can only take effect while the row is at ``base_version``.
    """

    base_version: int
    planned: _row.ShardRow


class Ledger:
    """Combine the last row read with writes whose outcome is unknown.

    The store may apply a write after its answer has timed out, and even
    after a later read. Until the row has a later version than the one that
    the write was based on, only slots that both the row and the write grant
    may be used.

    >>> holder = _row.Holder(instance_id='a', incarnation='1')
    >>> def row(slots):
    ...     share = _row.Share(slots=slots, horizon_ms=0)
    ...     grants = _row.UpstreamGrants(capacity=8, shares={holder: share})
    ...     return _row.ShardRow(upstreams={'u': grants})
    >>> ledger = Ledger(holder)
    >>> ledger.observe(row(8), 1)
    >>> write = ledger.begin_write(row(4))
    >>> ledger.observe(row(8), 1)
    >>> ledger.usable_slots()
    {'u': 4}
    >>> ledger.observe(row(8), 2)
    >>> ledger.usable_slots()
    {'u': 8}
    """

    def __init__(self, local_holder: _row.Holder) -> None:
        self._local_holder = local_holder
        self._row = _row.ShardRow()
        self._version = 0
        self._pending: list[PendingWrite] = []

    @property
    def row(self) -> _row.ShardRow:
        """Return the latest row known to be committed."""
        return self._row

    @property
    def version(self) -> int:
        """Return the version of ``row``, 0 before the first write."""
        return self._version

    @property
    def has_pending(self) -> bool:
        """Return whether a write may still take effect."""
        return bool(self._pending)

    def observe(self, row: _row.ShardRow, version: int) -> None:
        """Apply a committed row, unless it is older than the current one."""
        if version < self._version:
            return
        self._row = row
        self._version = version
        self._pending = [
            write for write in self._pending if write.base_version >= version
        ]

    def begin_write(self, planned: _row.ShardRow) -> PendingWrite:
        """Record a write that is about to be sent."""
        write = PendingWrite(base_version=self._version, planned=planned)
        self._pending.append(write)
        return write

    def discard_write(self, write: PendingWrite) -> None:
        """Remove a write that has certainly not taken effect."""
        self._pending.remove(write)

    def apply_write(self, write: PendingWrite) -> None:
        """Apply the row of a write that has taken effect."""
        self.observe(write.planned, write.base_version + 1)

    def usable_slots(self) -> dict[str, int]:
        """Return the slots that may be used, by upstream address."""
        slots = self._row.slots_of(self._local_holder)
        for write in self._pending:
            planned = write.planned.slots_of(self._local_holder)
            slots = {
                address: min(count, planned.get(address, 0))
                for address, count in slots.items()
            }
        return slots

    def horizons(self) -> Mapping[str, int]:
        """Return the published horizons in milliseconds, by upstream."""
        return {
            address: grants.shares[self._local_holder].horizon_ms
            for address, grants in self._row.upstreams.items()
            if self._local_holder in grants.shares
        }
