"""Model of how two holders share the slots of one upstream.

A transition of the store, a holder or the upstream may happen at any time, so
all delays, pauses and reorderings are covered. A write stays in the store's
queue until it is applied or the row has passed its base version. Its response
may always be lost; a holder finds out by reading the row.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import NamedTuple

import minicheck

CAPACITY = 3
CAPACITY_WITHOUT = 2
"""Slots in models with a mechanism removed.

With 2 slots, the search finds the counterexample sooner.
"""

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
    """A queued write that the store may still apply."""

    base: int
    row: tuple[int, int]


class HolderState(NamedTuple):
    """State of one holder.

    ``cached_row`` is the row as last read, at ``version``. ``used`` counts
    the slots that the holder has reserved, ``sent`` the requests that run
    at the upstream; a holder may be paused between the two. ``cap`` limits
    its use before it releases slots.
    """

    is_alive: bool
    cached_row: tuple[int, int]
    version: int
    cap: int
    used: int
    sent: int
    writes: tuple[Write, ...]


class State(NamedTuple):
    """The committed row and both holders."""

    row: tuple[int, int]
    version: int
    holders: tuple[HolderState, HolderState]


def initial(capacity: int) -> State:
    """Return the state in which the first holder has all slots."""
    row = (capacity, 0)
    holder = HolderState(
        is_alive=True,
        cached_row=row,
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
    """Transitions of the model, optionally without one mechanism."""

    without: str = ''
    capacity: int = CAPACITY

    def usable(self, holder: HolderState, index: int) -> int:
        """Return the slots that a holder may use."""
        slots = holder.cached_row[index]
        for write in holder.writes:
            planned = write.row[index]
            if self.without == 'confirm':
                slots = max(slots, planned)
            elif self.without != 'pending':
                slots = min(slots, planned)
        return min(slots, holder.cap)

    def all(self, state: State) -> Iterator[Step]:
        """Yield all possible transitions from a state."""
        for index in (0, 1):
            yield from self._store_steps(state, index)
            yield from self._request_steps(state, index)
            if state.holders[index].is_alive:
                yield from self._write_steps(state, index)
                dead = state.holders[index]._replace(is_alive=False, used=0)
                yield f'die {index}', _set(state, index, dead)

    def _store_steps(self, state: State, index: int) -> Iterator[Step]:
        """Yield the application of queued writes, and a read of the row."""
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
                cached_row=state.row,
                version=state.version,
                cap=self.capacity,
                writes=tuple(
                    w for w in holder.writes if w.base >= state.version
                ),
            )
            yield f'read {index}', _set(state, index, read)

    def _request_steps(self, state: State, index: int) -> Iterator[Step]:
        """Yield reserving a slot, sending a request and its end."""
        holder = state.holders[index]
        if holder.is_alive:
            if holder.used < self.usable(holder, index):
                reserved = holder._replace(used=holder.used + 1)
                yield f'take {index}', _set(state, index, reserved)
            if holder.sent < holder.used:
                sent = holder._replace(sent=holder.sent + 1)
                yield f'send {index}', _set(state, index, sent)
        if holder.sent:
            done = holder._replace(
                sent=holder.sent - 1, used=max(0, holder.used - 1)
            )
            yield f'end {index}', _set(state, index, done)

    def _write_steps(self, state: State, index: int) -> Iterator[Step]:
        """Yield a holder's possible writes and changes of its cap."""
        holder = state.holders[index]
        if len(holder.writes) == MAX_WRITES:
            return
        own_slots = holder.cached_row[index]
        other = 1 - index
        if holder.cap != self.capacity:
            # The plan has changed: the holder needs all of its slots again.
            uncapped = holder._replace(cap=self.capacity)
            yield f'uncap {index}', _set(state, index, uncapped)
        if own_slots:
            capped = holder._replace(cap=own_slots - 1)
            if holder.cap != own_slots - 1:
                yield f'cap {index}', _set(state, index, capped)
            if self.without == 'lower_first' or (
                holder.cap < own_slots and holder.used < own_slots
            ):
                yield self._begin_write(state, index, index, own_slots - 1)
        if sum(holder.cached_row) < self.capacity:
            yield self._begin_write(state, index, index, own_slots + 1)
        if holder.cached_row[other] and self._may_reclaim(
            state.holders[other]
        ):
            yield self._begin_write(state, index, other, 0)

    def _may_reclaim(self, holder: HolderState) -> bool:
        """Return whether the share of a holder may be reclaimed.

        The horizon is the time after which all requests that the holder
        sent have ended.
        """
        if holder.is_alive and self.without != 'proof':
            return False
        return not holder.sent or self.without == 'horizon'

    def _begin_write(
        self, state: State, index: int, changed: int, slots: int
    ) -> Step:
        """Queue a write of the row with one share changed."""
        holder = state.holders[index]
        row = _with_slots(holder.cached_row, changed, slots)
        writing = holder._replace(
            writes=(*holder.writes, Write(holder.version, row))
        )
        return f'write {index} {row}', _set(state, index, writing)


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism if any."""
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
    """Return the number of requests running at the upstream."""
    return sum(holder.sent for holder in state['holders'])
