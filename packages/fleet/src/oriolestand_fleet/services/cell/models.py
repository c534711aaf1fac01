"""State of an owner's term and encoding of the rows of the cell."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
from typing import Annotated
from typing import Any

import msgspec

from oriolestand_fleet import _policies
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_policy import ownership
from oriolestand_policy import scheduling

_Weight = Annotated[
    float, msgspec.Meta(ge=-_rows.MAX_INTEGER, le=_rows.MAX_INTEGER)
]
_StoreTime = Annotated[int, msgspec.Meta(gt=0, le=_rows.MAX_INTEGER)]


class _OwnerRow(msgspec.Struct, frozen=True):
    """Row of the owner of the cell."""

    instance: str
    incarnation: str
    epoch: _rows.Count


class _CandidateRow(msgspec.Struct, frozen=True):
    """Row of a daemon that offers to take the cell."""

    epoch: _rows.Count
    instance: str


class _PressureRow(msgspec.Struct, frozen=True):
    """Row of the learned interference model."""

    pairs: list[tuple[str, str, _Weight, _rows.Amount]]
    bases: dict[str, _rows.Count]
    period_ms: _rows.Amount | None


_FailuresRow = dict[str, tuple[_rows.Count, list[_rows.Count], _rows.Count]]


class _RenewalRow(msgspec.Struct, frozen=True):
    """Row of the last renewal of the owner.

    Earlier versions read ``is_settled``, and write no ``unsettled_ms``.
    """

    epoch: _rows.Count
    count: _rows.Count
    is_settled: bool
    unsettled_ms: _rows.Count | msgspec.UnsetType = msgspec.UNSET
    delay_ms: _rows.Count = 0
    full_pools: Any = None


class _LimitsRow(msgspec.Struct, frozen=True):
    """Row of the limits of leases; see ``LeaseLimits``."""

    epoch: _rows.Count
    are_set: bool


class _StateFields(msgspec.Struct, frozen=True):
    """Fields of a progress row that the state row of the job holds as well."""

    outcome: str | None = None
    started: bool = False


class _WorkerRow(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    """Row of a worker that may run tasks; see ``encode_worker``."""

    address: str
    pool: str
    failure_domain: str
    runs_end_ms: _StoreTime | msgspec.UnsetType = msgspec.UNSET


class _RouteRow(msgspec.Struct, frozen=True):
    """Row of the last policy of a route; see ``encode_route``."""

    name: str
    version: _rows.Count
    policy: _policies.PolicyRow
    replaces: list[_policies.PolicyRow | None] | msgspec.UnsetType = (
        msgspec.UNSET
    )


_FleetRow = list[tuple[str, str, str, str]]

_PRESSURE_ROW: _rows.RowDecoder[_PressureRow] = _rows.RowDecoder(_PressureRow)
_FAILURES_ROW: _rows.RowDecoder[_FailuresRow] = _rows.RowDecoder(_FailuresRow)
_RENEWAL_ROW: _rows.RowDecoder[_RenewalRow] = _rows.RowDecoder(_RenewalRow)
_LIMITS_ROW: _rows.RowDecoder[_LimitsRow] = _rows.RowDecoder(_LimitsRow)
_STATE_FIELDS: _rows.RowDecoder[_StateFields] = _rows.RowDecoder(_StateFields)
_OWNER_ROW: _rows.RowDecoder[_OwnerRow] = _rows.RowDecoder(_OwnerRow)
_CANDIDATE_ROW: _rows.RowDecoder[_CandidateRow] = _rows.RowDecoder(
    _CandidateRow
)
_WORKER_ROW: _rows.RowDecoder[_WorkerRow] = _rows.RowDecoder(_WorkerRow)
_ROUTE_ROW: _rows.RowDecoder[_RouteRow] = _rows.RowDecoder(_RouteRow)
_FLEET_ROW: _rows.RowDecoder[_FleetRow] = _rows.RowDecoder(_FleetRow)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLimits:
    """Whether the owner of an epoch keeps to the bounds of ``LeaseVotes``."""

    epoch: int
    are_set: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Term:
    """One period in which this daemon owns the cell.

    ``renewed_ms``: when the last successful renewal was sent.
    ``takeover_deadline_ms``: when the owner stops waiting for reports from
    the workers of its predecessor.
    ``former_leases``: bounds of the leases that its predecessor may request,
    if it keeps to any.
    ``limits_leases``: whether a successor may rely on such bounds.
    ``votes``: counts the workers that answer this owner.
    ``settled_ms``: from when on no former owner can still act.
    ``hand_over``: decides whether the term is given up.
    ``store_clock``: a time of the store's clock after the claim, if known.
    ``evacuations_until_ms``: when the known evacuations of failure domains
    become too old to start tasks, None if they never do.
    ``is_over``: whether the term has ended; all loops of the owner stop.
    ``on_end``: called once when the term ends.
    """

    epoch: int
    owner_version: int
    renewed_ms: int
    takeover_deadline_ms: int
    settled_ms: int
    hand_over: ownership.HandOver
    former_leases: ownership.FormerLeases | None = None
    limits_leases: bool = False
    votes: ownership.LeaseVotes = dataclasses.field(
        default_factory=ownership.LeaseVotes
    )
    store_clock: ownership.StoreClock | None = None
    evacuations_until_ms: int | None = None
    is_over: bool = False
    on_end: list[Callable[[], None]] = dataclasses.field(default_factory=list)

    def end(self) -> None:
        """End the term, unless it has ended."""
        if self.is_over:
            return
        self.is_over = True
        for callback in self.on_end:
            callback()

    def unsettled_ms(self, now_ms: int) -> int:
        """Return for how long at most a former owner may still act."""
        return max(0, self.settled_ms - now_ms)

    def is_settled(self, now_ms: int) -> bool:
        """Return whether no former owner can still act."""
        return self.unsettled_ms(now_ms) == 0

    def lease_limit_ms(self, now_ms: int) -> int | None:
        """Return the longest lease that may be requested, None for any.

        Without a recent renewal, leases may be extended only while most
        workers answer this owner.
        """
        is_renewed = now_ms < self.renewed_ms + ownership.UNVOTED_MS
        if is_renewed or not self.limits_leases:
            return None
        if self.votes.hold(now_ms):
            return ownership.VOTED_LEASE_MS
        return 0

    def undisputed_until_ms(self, now_ms: int) -> int:
        """Return until when no other daemon can have claimed the cell.

        Others claim it for silence only, some time after the last renewal.
        """
        return min(now_ms, self.renewed_ms + ownership.OWNER_TIMEOUT_MS)

    @property
    def acts_until_ms(self) -> int:
        """Return when the last renewal becomes too old to act as owner."""
        return self.renewed_ms + ownership.MAX_UNRENEWED_MS

    @property
    def starts_until_ms(self) -> int:
        """Return until when the owner may send orders to start tasks."""
        if self.evacuations_until_ms is None:
            return self.acts_until_ms
        return min(self.acts_until_ms, self.evacuations_until_ms)

    def may_start(self, now_ms: int) -> bool:
        """Return whether the owner may start tasks.

        A start that reaches a worker which has just restarted may begin a
        lease there, so none is sent while leases may not be extended.
        """
        if self.is_over or self.lease_limit_ms(now_ms) == 0:
            return False
        return now_ms < self.starts_until_ms

    def may_act(self, now_ms: int) -> bool:
        """Return whether the last renewal is recent enough to act as owner."""
        return not self.is_over and now_ms < self.acts_until_ms


def encode_owner(owner: ownership.Owner) -> bytes:
    """Encode the value of the owner row."""
    return json.dumps(dataclasses.asdict(owner)).encode()


def decode_owner(value: bytes | None) -> ownership.Owner | None:
    """Decode the owner row; return None if there is no value.

    Raise MalformedRowError if the row is malformed.
    """
    if value is None:
        return None
    row = _OWNER_ROW.decode(value)
    return ownership.Owner(
        instance=row.instance, incarnation=row.incarnation, epoch=row.epoch
    )


def encode_candidate(candidate: ownership.Candidate) -> bytes:
    """Encode the value of the candidate row."""
    return json.dumps(dataclasses.asdict(candidate)).encode()


def decode_candidate(value: bytes | None) -> ownership.Candidate | None:
    """Decode the candidate row; return None if there is no value.

    Raise MalformedRowError if the row is malformed.
    """
    if value is None:
        return None
    row = _CANDIDATE_ROW.decode(value)
    return ownership.Candidate(epoch=row.epoch, instance=row.instance)


def encode_renewal(renewal: ownership.Renewal) -> bytes:
    """Encode the value of the renewal row."""
    row = _RenewalRow(
        epoch=renewal.epoch,
        count=renewal.count,
        is_settled=renewal.is_settled,
        unsettled_ms=renewal.unsettled_ms,
        delay_ms=renewal.delay_ms,
        full_pools=dict(renewal.full_pools or {}),
    )
    return msgspec.json.encode(row)


def decode_renewal(value: bytes | None) -> ownership.Renewal | None:
    """Decode the renewal row; return None if there is no value.

    Raise MalformedRowError if the row is malformed.
    """
    if value is None:
        return None
    row = _RENEWAL_ROW.decode(value)
    unsettled_ms = row.unsettled_ms
    if isinstance(unsettled_ms, msgspec.UnsetType):
        # A former owner may act for the longest time.
        unsettled_ms = 0 if row.is_settled else ownership.MAX_UNRENEWED_MS
    return ownership.Renewal(
        epoch=row.epoch,
        count=row.count,
        unsettled_ms=unsettled_ms,
        delay_ms=row.delay_ms,
        full_pools=_decode_full_pools(row.full_pools),
    )


def _decode_full_pools(value: Any) -> Mapping[str, int] | None:
    """Decode the full pools of a renewal; return None if malformed.

    The renewal itself counts in any case, as the owner lives.
    """
    if value is None:
        return {}
    try:
        return msgspec.convert(value, dict[str, _rows.Count])
    except msgspec.ValidationError:
        return None


def encode_lease_limits(limits: LeaseLimits) -> bytes:
    """Encode the value of the row of the limits of leases."""
    return json.dumps(dataclasses.asdict(limits)).encode()


def decode_lease_limits(value: bytes | None) -> LeaseLimits | None:
    """Decode the limits of leases; return None if there is no value.

    Raise MalformedRowError if the row is malformed.
    """
    if value is None:
        return None
    row = _LIMITS_ROW.decode(value)
    return LeaseLimits(epoch=row.epoch, are_set=row.are_set)


def encode_worker(
    worker: scheduling.WorkerInfo, runs_end_ms: int | None = None
) -> bytes:
    """Encode the row that tells a successor that a worker may run tasks.

    ``runs_end_ms`` is the time of the store's clock by which all runs of the
    owners so far have certainly ended on the worker, None if unknown.
    """
    row: list[str | int] = [
        worker.address,
        worker.pool,
        worker.failure_domain,
    ]
    if runs_end_ms is not None:
        row.append(runs_end_ms)
    return json.dumps(row, separators=(',', ':')).encode()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FormerWorkers:
    """Workers on which a former owner may have started tasks.

    ``infos`` has no capacities, as the rows have none; a worker whose row is
    malformed has no address either. ``malformed`` holds an error by key.
    ``is_complete`` is whether the ids of all workers are known.
    ``runs_end_ms`` is when all runs have ended, by id of the workers whose
    rows hold that time of the store's clock.
    """

    infos: tuple[scheduling.WorkerInfo, ...]
    malformed: Mapping[str, str]
    is_complete: bool
    runs_end_ms: Mapping[str, int]


def decode_workers(rows: Mapping[str, store.Row]) -> FormerWorkers:
    """Decode the workers in the rows of the former owner.

    Earlier versions listed all workers in one row.
    """
    found: dict[str, tuple[str, str, str]] = {}
    malformed = {}
    runs_end_ms: dict[str, int] = {}
    is_complete = True
    legacy = rows.get(layout.FLEET_KEY)
    if legacy is not None and legacy.value is not None:
        try:
            for worker, *fields in _FLEET_ROW.decode(legacy.value):
                found[worker] = (fields[0], fields[1], fields[2])
        except _rows.MalformedRowError as exc:
            malformed[layout.FLEET_KEY] = str(exc)
            is_complete = False
    for key, row in rows.items():
        if key.startswith(layout.WORKER_PREFIX) and row.value is not None:
            worker = key.removeprefix(layout.WORKER_PREFIX)
            try:
                entry = _WORKER_ROW.decode(row.value)
            except _rows.MalformedRowError as exc:
                malformed[key] = str(exc)
                found[worker] = ('', '', '')
                continue
            found[worker] = (entry.address, entry.pool, entry.failure_domain)
            if not isinstance(entry.runs_end_ms, msgspec.UnsetType):
                runs_end_ms[worker] = entry.runs_end_ms
    infos = tuple(
        scheduling.WorkerInfo(
            id=worker,
            address=address,
            pool=pool,
            failure_domain=failure_domain,
            cpu=0,
            memory_mb=0,
        )
        for worker, (address, pool, failure_domain) in found.items()
    )
    return FormerWorkers(
        infos=infos,
        malformed=malformed,
        is_complete=is_complete,
        runs_end_ms=runs_end_ms,
    )


def encode_pressure(learned: scheduling.LearnedPressure) -> bytes:
    """Encode the learned interference model."""
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
    """Decode the learned interference model; without a value it is empty.

    Raise MalformedRowError if the row is malformed.
    """
    if value is None:
        return scheduling.LearnedPressure()
    decoded = _PRESSURE_ROW.decode(value)
    return scheduling.LearnedPressure(
        pairs=tuple(
            scheduling.PairWeight(
                image=image, filling=filling, weight=weight, variance=variance
            )
            for image, filling, weight, variance in decoded.pairs
        ),
        bases=decoded.bases,
        period_ms=decoded.period_ms,
    )


def decode_state(progress: bytes) -> dict[str, object]:
    """Return the state that the progress row of a job holds.

    Raise ValueError if it is malformed.
    """
    fields: dict[str, object] = msgspec.structs.asdict(
        _STATE_FIELDS.decode(progress)
    )
    return fields


def encode_failures(
    failures: Mapping[str, scheduling.WorkerFailures], wall_offset_ms: int
) -> bytes:
    """Encode recent failures of workers, with their times in Unix time.

    Rows of start time, times of failures and end of the exclusion, 0 if none.

    ``wall_offset_ms`` is Unix time less the clock of the failures.
    """
    rows = {
        worker: [
            former.process_start_ms,
            [failed_ms + wall_offset_ms for failed_ms in former.failed_ms],
            former.avoid_until_ms and former.avoid_until_ms + wall_offset_ms,
        ]
        for worker, former in failures.items()
    }
    return json.dumps(rows, separators=(',', ':')).encode()


def decode_failures(
    value: bytes | None, wall_offset_ms: int, now_ms: int
) -> dict[str, scheduling.WorkerFailures]:
    """Decode failures to times of a clock, none of them in its future.

    Exclusions end within the longest time of one, whatever the clocks of the
    two owners. Raise ValueError if the row is malformed.
    """
    if value is None:
        return {}
    return {
        worker: scheduling.WorkerFailures(
            process_start_ms=process_start_ms,
            failed_ms=tuple(
                sorted(min(now_ms, t - wall_offset_ms) for t in wall_ms)
            ),
            avoid_until_ms=min(
                now_ms + scheduling.FAILURE_AVOID_MS,
                max(0, until_ms - wall_offset_ms),
            ),
        )
        for worker, (
            process_start_ms,
            wall_ms,
            until_ms,
        ) in _FAILURES_ROW.decode(value).items()
    }


def encode_route(route: str, stored: scheduling.StoredPolicy) -> bytes:
    """Encode the row of the last policy of a route.

    ``replaces`` lists the policies that it replaces, null for none; without
    the field it replaces any. Earlier versions ignore the row.
    """
    row: dict[str, Any] = {
        'name': route,
        'version': stored.version,
        'policy': _policies.encode_policy(stored.policy),
    }
    if stored.replaces is not None:
        row['replaces'] = [
            policy and _policies.encode_policy(policy)
            for policy in stored.replaces
        ]
    return json.dumps(row, separators=(',', ':')).encode()


def decode_route(value: bytes) -> tuple[str, scheduling.StoredPolicy]:
    """Decode the name of a route and its stored policy.

    Raise MalformedRowError if the row is malformed.
    """
    row = _ROUTE_ROW.decode(value)
    replaces = None
    if not isinstance(row.replaces, msgspec.UnsetType):
        replaces = frozenset(
            None if policy is None else _policies.to_policy(row.name, policy)
            for policy in row.replaces
        )
    return row.name, scheduling.StoredPolicy(
        policy=_policies.to_policy(row.name, row.policy),
        version=row.version,
        replaces=replaces,
    )
