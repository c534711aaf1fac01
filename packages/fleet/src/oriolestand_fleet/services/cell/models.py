"""Define the rows of the cell and their encoding in the store."""

from collections.abc import Iterable
import dataclasses
import json

from oriolestand_policy import ownership
from oriolestand_policy import scheduling


@dataclasses.dataclass(slots=True, kw_only=True)
class Term:
    """Hold the state of one period of ownership.

    Loops that work for the owner end when ``is_over``. ``renewed_ms`` is
    when the last successful renewal was sent.
    """

    epoch: int
    owner_version: int
    renewed_ms: int
    settle_ms: int
    is_over: bool = False
    is_settled: bool = False

    def is_entitled(self, now_ms: int) -> bool:
        """Return whether the owner may still act."""
        blind_ms = now_ms - self.renewed_ms
        return not self.is_over and blind_ms < ownership.BLIND_LIMIT_MS


def encode_owner(owner: ownership.Owner) -> bytes:
    """Return the value of the owner's row."""
    return json.dumps(dataclasses.asdict(owner)).encode()


def decode_owner(value: bytes | None) -> ownership.Owner | None:
    """Return the owner of a row's value."""
    if value is None:
        return None
    return ownership.Owner(**json.loads(value))


def encode_renewal(renewal: ownership.Renewal) -> bytes:
    """Return the value of the renewal row."""
    return json.dumps(dataclasses.asdict(renewal)).encode()


def decode_renewal(value: bytes | None) -> ownership.Renewal | None:
    """Return the renewal of a row's value."""
    if value is None:
        return None
    return ownership.Renewal(**json.loads(value))


def encode_fleet(workers: Iterable[scheduling.WorkerInfo]) -> bytes:
    """Return the row that lists where tasks may run, for a successor."""
    rows = [[w.id, w.address, w.pool, w.failure_domain] for w in workers]
    return json.dumps(rows, separators=(',', ':')).encode()


def decode_fleet(value: bytes | None) -> list[scheduling.WorkerInfo]:
    """Return the workers of a fleet row; only their addresses are known."""
    if value is None:
        return []
    return [
        scheduling.WorkerInfo(
            id=worker,
            address=address,
            pool=pool,
            failure_domain=failure_domain,
            cpu=0,
            memory_mb=0,
        )
        for worker, address, pool, failure_domain in json.loads(value)
    ]


def encode_pressure(learned: scheduling.LearnedPressure) -> bytes:
    """Return the row of what is learned of neighbours."""
    rows = [[p.image, p.filling, p.weight, p.variance] for p in learned.pairs]
    return json.dumps(
        {
            'pairs': rows,
            'bases': learned.bases,
            'period_ms': learned.period_ms,
        },
        separators=(',', ':'),
    ).encode()


def decode_pressure(value: bytes | None) -> scheduling.LearnedPressure:
    """Return what a row says of neighbours."""
    if value is None:
        return scheduling.LearnedPressure()
    plain = json.loads(value)
    return scheduling.LearnedPressure(
        pairs=tuple(
            scheduling.PairWeight(
                image=image, filling=filling, weight=weight, variance=variance
            )
            for image, filling, weight, variance in plain['pairs']
        ),
        bases=plain['bases'],
        period_ms=plain['period_ms'],
    )
