"""Specify how two holders share the slots of one upstream.

A step of the store, a holder or the upstream may happen at any moment, so
every delay, freeze and reordering is covered. A write stays in the store's
queue until it is applied or the row has moved past its base version; its
answer may always be lost, and a holder learns its fate by reading.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import NamedTuple

import minicheck

CAPACITY = 3
CAPACITY_WITHOUT = 2
"""Slots in models with a mechanism removed; 2 show the fault sooner."""

MAX_VERSION = 4
MAX_WRITES = 2
MECHANISMS = {
    'cas': 'capacity',
    'lower_first': 'capacity',
    'pending': 'capacity',
    'confirm': 'capacity',
    'proof': 'capacity',
    'horizon': 'capacity',
}


class Write(NamedTuple):
    """Hold a write that the store may still apply."""

    base: int
    row: tuple[int, int]


class HolderState(NamedTuple):
    """Hold what one holder knows and does.

    ``used`` counts the slots that the holder has taken, ``sent`` the
    requests that run at the upstream; a holder may be paused between the
    two. ``cap`` is the limit it set itself before releasing slots.
    """

    is_alive: bool
    known: tuple[int, int]
    version: int
    cap: int
    used: int
    sent: int
    writes: tuple[Write, ...]


class State(NamedTuple):
    """Hold the committed row and both holders."""

    row: tuple[int, int]
    version: int
    holders: tuple[HolderState, HolderState]


def initial(capacity: int) -> State:
    """Return the state in which the first holder has all slots."""
    row = (capacity, 0)
    holder = HolderState(
        is_alive=True,
        known=row,
        version=0,
        cap=capacity,
        used=0,
        sent=0,
        writes=(),
    )
    return State(row=row, version=0, holders=(holder, holder))


Step = tuple[str, State]


def _set(state: State, index: int, holder: HolderState) -> State:
    """Return a state with one holder replaced."""
    holders = list(state.holders)
    holders[index] = holder
    return state._replace(holders=(holders[0], holders[1]))


def _with_slots(row: tuple[int, int], index: int, slots: int) -> Any:
    """Return a row with the slots of one holder replaced."""
    return (slots, row[1]) if index == 0 else (row[0], slots)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Steps:
    """Generate the steps of a state, without one mechanism or with all."""

    without: str = ''
    capacity: int = CAPACITY

    def usable(self, holder: HolderState, index: int) -> int:
        """Return the slots that a holder may use."""
        slots = holder.known[index]
        for write in holder.writes:
            planned = write.row[index]
            if self.without == 'confirm':
                slots = max(slots, planned)
            elif self.without != 'pending':
                slots = min(slots, planned)
        return min(slots, holder.cap)

    def all(self, state: State) -> Iterator[Step]:
        """Yield every step that can happen next."""
        for index in (0, 1):
            yield from self._store(state, index)
            yield from self._requests(state, index)
            if state.holders[index].is_alive:
                yield from self._writes(state, index)
                dead = state.holders[index]._replace(is_alive=False, used=0)
                yield f'die {index}', _set(state, index, dead)

    def _store(self, state: State, index: int) -> Iterator[Step]:
        """Yield applying a queued write and reading the row."""
        holder = state.holders[index]
        for write in holder.writes:
            if state.version == MAX_VERSION:
                break
            if write.base == state.version or self.without == 'cas':
                yield (
                    f'apply {index} {write.row}',
                    state._replace(row=write.row, version=state.version + 1),
                )
        if holder.is_alive and holder.version < state.version:
            read = holder._replace(
                known=state.row,
                version=state.version,
                cap=self.capacity,
                writes=tuple(
                    w for w in holder.writes if w.base >= state.version
                ),
            )
            yield f'read {index}', _set(state, index, read)

    def _requests(self, state: State, index: int) -> Iterator[Step]:
        """Yield taking a slot, sending on it and the request's end."""
        holder = state.holders[index]
        if holder.is_alive:
            if holder.used < self.usable(holder, index):
                taken = holder._replace(used=holder.used + 1)
                yield f'take {index}', _set(state, index, taken)
            if holder.sent < holder.used:
                sent = holder._replace(sent=holder.sent + 1)
                yield f'send {index}', _set(state, index, sent)
        if holder.sent:
            done = holder._replace(
                sent=holder.sent - 1, used=max(0, holder.used - 1)
            )
            yield f'end {index}', _set(state, index, done)

    def _writes(self, state: State, index: int) -> Iterator[Step]:
        """Yield the writes that a holder may begin."""
        holder = state.holders[index]
        if len(holder.writes) == MAX_WRITES:
            return
        mine = holder.known[index]
        other = 1 - index
        if holder.cap != self.capacity:
            # The plan changed: the holder wants all of its slots again.
            uncapped = holder._replace(cap=self.capacity)
            yield f'uncap {index}', _set(state, index, uncapped)
        if mine:
            capped = holder._replace(cap=mine - 1)
            if holder.cap != mine - 1:
                yield f'cap {index}', _set(state, index, capped)
            if self.without == 'lower_first' or (
                holder.cap < mine and holder.used < mine
            ):
                yield self._begin(state, index, index, mine - 1)
        if sum(holder.known) < self.capacity:
            yield self._begin(state, index, index, mine + 1)
        if holder.known[other] and self._may_reclaim(state.holders[other]):
            yield self._begin(state, index, other, 0)

    def _may_reclaim(self, former: HolderState) -> bool:
        """Return whether a share may be taken from its holder.

        The horizon is the time after which all requests that the holder
        sent have ended.
        """
        if former.is_alive and self.without != 'proof':
            return False
        return not former.sent or self.without == 'horizon'

    def _begin(self, state: State, index: int, whose: int, slots: int) -> Step:
        """Queue a write of a row with one share changed."""
        holder = state.holders[index]
        row = _with_slots(holder.known, whose, slots)
        begun = holder._replace(
            writes=(*holder.writes, Write(holder.version, row))
        )
        return f'write {index} {row}', _set(state, index, begun)


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, with one mechanism removed or whole."""
    capacity = CAPACITY_WITHOUT if without else CAPACITY
    steps = Steps(without=without, capacity=capacity)
    return minicheck.Protocol(
        name='grants',
        candidate=False,
        fields=State._fields,
        initial=initial(capacity),
        transitions=lambda s: list(steps.all(State(*s))),
        invariants={
            'capacity': lambda s: running(s) <= capacity,
        },
    )


def running(state: dict[str, Any]) -> int:
    """Return how many requests the upstream runs."""
    return sum(holder.sent for holder in state['holders'])
