"""Rows that record the slots granted to each holder."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Holder:
    """Identity of one incarnation of a daemon on an entry instance."""

    instance_id: str
    incarnation: str

    def __str__(self) -> str:
        """Return the form used as a key in the table service."""
        return f'{self.instance_id}/{self.incarnation}'

    @classmethod
    def parse(cls, text: str) -> 'Holder':
        """Return the holder for a key.

        >>> Holder.parse('entry-1/00ff').incarnation
        '00ff'
        """
        instance_id, _, incarnation = text.rpartition('/')
        return cls(instance_id=instance_id, incarnation=incarnation)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """Slots of a holder; requests end within ``horizon_ms`` after sending.

    ``address`` is that of the holder's peer listener. If another process
    listens there, all earlier incarnations at this address have ended.
    """

    slots: int
    horizon_ms: int
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamGrants:
    """Capacity of one upstream and its shares by holder."""

    capacity: int
    shares: Mapping[Holder, Share] = dataclasses.field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Return the number of slots granted to all holders."""
        return sum(share.slots for share in self.shares.values())

    @property
    def free(self) -> int:
        """Return the number of slots that no holder has."""
        return self.capacity - self.granted


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardRow:
    """Grants of the upstreams of one shard, by address."""

    upstreams: Mapping[str, UpstreamGrants] = dataclasses.field(
        default_factory=dict
    )

    def slots_of(self, holder: Holder) -> dict[str, int]:
        """Return the slots of a holder, by upstream address."""
        return {
            address: grants.shares[holder].slots
            for address, grants in self.upstreams.items()
            if holder in grants.shares
        }

    def holders(self) -> set[Holder]:
        """Return all holders that have a share."""
        return {
            holder
            for grants in self.upstreams.values()
            for holder in grants.shares
        }
