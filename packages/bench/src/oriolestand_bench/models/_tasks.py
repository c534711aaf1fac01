"""Model of the lease, adoption and resumption of one batch task.

Bounds: two controllers, two workers, two attempts, two messages in transit.
Each message may be lost, duplicated or arrive late. Controller ``a`` may die
or hand over the task; ``b`` may adopt it. The epoch of a message is its
sender.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import minicheck

MAX_ATTEMPTS = 2
MAX_MESSAGES = 2
MAX_MESSAGES_WITHOUT = 1
"""Message limit in models with a mechanism removed.

With one message, the search finds most counterexamples sooner.
"""

NEED_TWO_MESSAGES = ('attempt_fence', 'epoch_fence', 'stop_tombstone')
"""Mechanisms that protect against messages arriving out of order."""


MECHANISMS = {
    'cas': 'one_place',
    'proof': 'one_place',
    'lease_wait': 'one_place',
    'worker_lapse': 'one_place',
    'start_window': 'one_place',
    'stop_tombstone': 'one_place',
    'quiet_hand_over': 'one_place',
    'attempt_fence': 'newest_attempt',
    'epoch_fence': 'former_controller_fenced',
    'finish_wins': 'finished_never_resumes',
    'whole_checkpoint': 'resumes_from_whole_checkpoint',
}
"""Maps each mechanism to the invariant that fails without it."""


class Row(NamedTuple):
    """The stored row of the task.

    ``saved`` is the state of its checkpoint: empty, partial or whole.
    """

    state: str = 'queued'
    attempt: int = 0
    controller: str = ''
    worker: int = 0
    saved: str = ''


class View(NamedTuple):
    """A controller's view of the row.

    ``end`` is how the attempt ended, as far as the controller has learned.
    """

    row: Row | None = None
    end: str = ''
    is_alive: bool = True


class Worker(NamedTuple):
    """The highest attempt and epoch seen, and the run of that attempt."""

    attempt: int = 0
    epoch: str = ''
    mode: str = ''
    saved: str = ''


class Packet(NamedTuple):
    """A message in transit; a late one is past its start window."""

    kind: str
    attempt: int
    epoch: str
    worker: int
    is_late: bool = False


class State(NamedTuple):
    """State of the system; the last three fields record violations.

    ``zombie`` is the row that ``a`` handed over but still renews.
    """

    row: Row = Row()
    a: View = View()
    b: View = View()
    w1: Worker = Worker()
    w2: Worker = Worker()
    net: frozenset[Packet] = frozenset()
    zombie: Row | None = None
    stale_attempt: bool = False
    stale_epoch: bool = False
    resumed_finished: bool = False


Step = tuple[str, State]


class Transitions:
    """Transitions of the model, optionally without one mechanism."""

    def __init__(self, without: str) -> None:
        self._without = without
        self._limit = MAX_MESSAGES
        if without and without not in NEED_TWO_MESSAGES:
            self._limit = MAX_MESSAGES_WITHOUT

    def has(self, mechanism: str) -> bool:
        """Return whether the model includes a mechanism."""
        return mechanism != self._without

    def steps(self, state: tuple) -> list[Step]:
        """Return all successor states with the labels of the transitions."""
        s = State(*state)
        if violates_invariant(s):
            # Don't search beyond a violation: its successors add nothing.
            return []
        found: list[Step] = []
        for controller_id in ('a', 'b'):
            if getattr(s, controller_id).is_alive:
                found += self._controller_steps(s, controller_id)
        found += self._failure_steps(s)
        for number in (1, 2):
            found += self._worker_steps(s, number)
        for packet in s.net:
            found += self._delivery_steps(s, packet)
            found.append(
                (f'lose {packet.kind}', _set(s, net=s.net - {packet}))
            )
        return found

    def _controller_steps(
        self, s: State, controller_id: str
    ) -> Iterator[Step]:
        """Yield the transitions of a controller."""
        view: View = getattr(s, controller_id)
        if view.row is None:
            if s.row.state == 'queued' and s.row.attempt < MAX_ATTEMPTS:
                yield (
                    f'{controller_id} reads',
                    self._with_view(s, controller_id, s.row),
                )
            if controller_id == 'b' and self._may_adopt(s):
                row = s.row._replace(controller='b')
                yield (
                    'b adopts',
                    self._with_view(_set(s, row=row), controller_id, row),
                )
            return
        if view.row.state == 'queued':
            for worker in (1, 2):
                row = view.row._replace(
                    state='starting',
                    attempt=view.row.attempt + 1,
                    controller=controller_id,
                    worker=worker,
                )
                yield (
                    f'{controller_id} claims for w{worker}',
                    self._compare_and_swap(s, controller_id, row),
                )
            return
        yield from self._placed_task_steps(
            s, controller_id, view.row, view.end
        )

    def _placed_task_steps(
        self, s: State, controller_id: str, row: Row, end: str
    ) -> Iterator[Step]:
        """Yield the transitions of the controller of a placed task."""
        if end:
            yield (
                f'{controller_id} records {end}',
                self._compare_and_swap(
                    s, controller_id, self._row_after_end(s, controller_id)
                ),
            )
            return
        kind = {'starting': 'start', 'running': 'renew', 'evicting': 'stop'}
        yield (
            f'{controller_id} sends {kind[row.state]}',
            self._send(s, kind[row.state], row, controller_id),
        )
        if not self.has('cas'):
            # Two controllers that claim the task suffice for the violation;
            # further conflicting writes would only multiply the states.
            return
        if row.state != 'evicting':
            yield (
                f'{controller_id} evicts',
                self._compare_and_swap(
                    s, controller_id, row._replace(state='evicting')
                ),
            )
        worker: Worker = getattr(s, f'w{row.worker}')
        if worker.attempt == row.attempt and worker.mode:
            if worker.mode != 'running':
                yield (
                    f'{controller_id} observes {worker.mode}',
                    _with_end(s, controller_id, worker.mode),
                )
            elif row.state == 'starting':
                yield (
                    f'{controller_id} observes running',
                    self._compare_and_swap(
                        s, controller_id, row._replace(state='running')
                    ),
                )
        yield (
            f'{controller_id} waits for the lapse',
            self._wait_for_lapse(s, controller_id, row),
        )

    def _row_after_end(self, s: State, controller_id: str) -> Row:
        """Return the row that records the end of the attempt."""
        view: View = getattr(s, controller_id)
        assert view.row is not None
        row = view.row
        worker: Worker = getattr(s, f'w{row.worker}')
        is_evicted = row.state == 'evicting' and not self.has('finish_wins')
        if view.end == 'finished' and not is_evicted:
            return row._replace(state='done', controller='')
        saved = row.saved
        if view.end == 'stopped' and worker.saved:
            if worker.saved == 'whole' or not self.has('whole_checkpoint'):
                saved = worker.saved
        return row._replace(
            state='queued', controller='', worker=0, saved=saved
        )

    def _may_adopt(self, s: State) -> bool:
        """Return whether ``b`` may adopt a placed task."""
        if s.row.state not in ('starting', 'running', 'evicting'):
            return False
        if s.row.controller == 'a':
            return not s.a.is_alive or not self.has('proof')
        return s.row.controller == ''

    def _with_view(self, s: State, controller_id: str, row: Row) -> State:
        """Set a controller's view of the row."""
        return _set(s, **{controller_id: View(row=row)})

    def _compare_and_swap(
        self, s: State, controller_id: str, row: Row
    ) -> State:
        """Write the row if the stored one equals the controller's view."""
        view: View = getattr(s, controller_id)
        if s.row != view.row and self.has('cas'):
            return _set(s, **{controller_id: View()})
        is_finished = view.end == 'finished' and row.state == 'queued'
        is_held = row.controller == controller_id
        return _set(
            s,
            row=row,
            resumed_finished=s.resumed_finished or is_finished,
            **{controller_id: View(row=row if is_held else None)},
        )

    def _wait_for_lapse(self, s: State, controller_id: str, row: Row) -> State:
        """Wait until the start window and the lease have expired."""
        after = s
        if self.has('lease_wait'):
            net = frozenset(p._replace(is_late=True) for p in s.net)
            after = _set(s, net=net)
            name = f'w{row.worker}'
            worker: Worker = getattr(s, name)
            if not self._is_renewed_by_other(s, controller_id) and self.has(
                'worker_lapse'
            ):
                if worker.mode == 'running':
                    worker = worker._replace(mode='stopped')
                after = _set(after, **{name: worker})
        return _with_end(after, controller_id, 'lapsed')

    def _is_renewed_by_other(self, s: State, controller_id: str) -> bool:
        """Return whether another controller may still renew the lease."""
        if s.zombie is not None:
            return True
        other: View = s.b if controller_id == 'a' else s.a
        return (
            other.is_alive
            and other.row is not None
            and other.row.state == 'running'
        )

    def _send(
        self, s: State, kind: str, row: Row, controller_id: str
    ) -> State:
        """Send a message unless the limit of messages is reached."""
        packet = Packet(kind, row.attempt, controller_id, row.worker)
        if len(s.net | {packet}) > self._limit:
            return s
        return _set(s, net=s.net | {packet})

    def _failure_steps(self, s: State) -> Iterator[Step]:
        """Yield the death of ``a`` and its hand-over of the task."""
        if s.a.is_alive:
            yield (
                'a dies',
                _set(s, a=View(is_alive=False), zombie=None),
            )
        row = s.a.row
        if row is not None and row.state == 'running' and s.row == row:
            zombie = None if self.has('quiet_hand_over') else row
            yield (
                'a hands over',
                _set(
                    s,
                    row=row._replace(controller=''),
                    a=View(),
                    zombie=zombie,
                ),
            )
        if s.zombie is not None:
            yield 'a still renews', self._send(s, 'renew', s.zombie, 'a')

    def _worker_steps(self, s: State, number: int) -> Iterator[Step]:
        """Yield the transitions of a run at a worker."""
        name = f'w{number}'
        worker: Worker = getattr(s, name)
        if worker.mode != 'running':
            return
        yield (
            f'{name} finishes',
            _set(s, **{name: worker._replace(mode='finished')}),
        )
        if self.has('worker_lapse'):
            yield (
                f'{name} lapses',
                _set(s, **{name: worker._replace(mode='stopped')}),
            )
        next_saved = {'': 'partial', 'partial': 'whole', 'whole': ''}[
            worker.saved
        ]
        if next_saved and worker.attempt < MAX_ATTEMPTS:
            yield (
                f'{name} saves',
                _set(s, **{name: worker._replace(saved=next_saved)}),
            )

    def _delivery_steps(self, s: State, packet: Packet) -> Iterator[Step]:
        """Yield the delivery of a message, which may be delivered again."""
        name = f'w{packet.worker}'
        worker: Worker = getattr(s, name)
        after, answer = self.accept(worker, packet)
        old_attempt = packet.attempt < worker.attempt
        old_epoch = (
            packet.attempt == worker.attempt and packet.epoch < worker.epoch
        )
        is_accepted = answer != 'fenced'
        new = _set(
            s,
            stale_attempt=s.stale_attempt or (is_accepted and old_attempt),
            stale_epoch=s.stale_epoch or (is_accepted and old_epoch),
            **{name: after},
        )
        yield f'{name} gets {packet.kind}', new
        sender: View = getattr(s, packet.epoch)
        if answer == 'stopped' and sender.is_alive and sender.row is not None:
            if sender.row.attempt == packet.attempt and not sender.end:
                yield (
                    f'{name} gets and answers {packet.kind}',
                    _with_end(new, packet.epoch, answer),
                )

    def accept(self, worker: Worker, packet: Packet) -> tuple[Worker, str]:
        """Return the worker after a message, and its answer."""
        if packet.attempt < worker.attempt and self.has('attempt_fence'):
            return worker, 'fenced'
        is_same = packet.attempt == worker.attempt
        if is_same and packet.epoch < worker.epoch:
            if self.has('epoch_fence'):
                return worker, 'fenced'
        late = packet.is_late and self.has('start_window')
        if late and packet.kind != 'stop':
            return worker, 'fenced'
        if is_same:
            worker = worker._replace(epoch=max(worker.epoch, packet.epoch))
        if packet.kind == 'stop':
            if is_same and worker.mode == 'running':
                return worker._replace(mode='stopped'), 'stopped'
            if is_same and worker.mode:
                return worker, worker.mode
            if not self.has('stop_tombstone'):
                return worker, 'stopped'
            return Worker(packet.attempt, packet.epoch, 'stopped'), 'stopped'
        if packet.kind == 'start' and not (is_same and worker.mode):
            run = Worker(packet.attempt, packet.epoch, 'running')
            return run, 'running'
        return worker, worker.mode if is_same else ''


def _set(state: State, **fields: Any) -> State:
    """Return the state with some fields replaced."""
    return state._replace(**fields)


def violates_invariant(s: State) -> bool:
    """Return whether a state violates an invariant."""
    return (
        (s.w1.mode, s.w2.mode) == ('running', 'running')
        or s.stale_attempt
        or s.stale_epoch
        or s.resumed_finished
        or s.row.saved == 'partial'
    )


def _with_end(s: State, controller_id: str, end: str) -> State:
    """Record in a controller's view how its attempt ended."""
    view: View = getattr(s, controller_id)
    return _set(s, **{controller_id: view._replace(end=end)})


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism if any.

    :raises ValueError: if there is no such mechanism.
    """
    if without and without not in MECHANISMS:
        raise ValueError(f'unknown mechanism: {without}')
    return minicheck.Protocol(
        name='tasks',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=Transitions(without).steps,
        invariants={
            'one_place': lambda d: (
                (d['w1'].mode, d['w2'].mode) != ('running', 'running')
            ),
            'newest_attempt': lambda d: not d['stale_attempt'],
            'former_controller_fenced': lambda d: not d['stale_epoch'],
            'finished_never_resumes': lambda d: not d['resumed_finished'],
            'resumes_from_whole_checkpoint': lambda d: (
                d['row'].saved != 'partial'
            ),
        },
    )
