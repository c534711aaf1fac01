"""Define the row that records who may use which slots."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Holder:
    """Identify one start of a daemon on one entry instance."""

    instance_id: str
    incarnation: str

    def __str__(self) -> str:
        """Return the form used as a key in the table service."""
        return f'{self.instance_id}/{self.incarnation}'

    @classmethod
    def parse(cls, text: str) -> 'Holder':
        """Return the holder with a key.

        >>> Holder.parse('entry-1/00ff').incarnation
        '00ff'
        """
        instance_id, _, incarnation = text.rpartition('/')
        return cls(instance_id=instance_id, incarnation=incarnation)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """Grant slots; requests end within ``horizon_ms`` of being sent.

    ``address`` is the holder's peer listener: a process that listens there
    proves that every former start of a daemon at it is over.
    """

    slots: int
    horizon_ms: int
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamGrants:
    """Record the capacity of one upstream and who holds how much."""

    capacity: int
    shares: Mapping[Holder, Share] = dataclasses.field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Return the number of slots that are held."""
        return sum(share.slots for share in self.shares.values())

    @property
    def free(self) -> int:
        """Return the number of slots that nobody holds."""
        return self.capacity - self.granted


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardRow:
    """Record the grants of the upstreams of one shard, by address."""

    upstreams: Mapping[str, UpstreamGrants] = dataclasses.field(
        default_factory=dict
    )

    def slots_of(self, holder: Holder) -> dict[str, int]:
        """Return the slots of a holder, by upstream."""
        return {
            address: grants.shares[holder].slots
            for address, grants in self.upstreams.items()
            if holder in grants.shares
        }

    def holders(self) -> set[Holder]:
        """Return everyone who holds a slot."""
        return {
            holder
            for grants in self.upstreams.values()
            for holder in grants.shares
        }
