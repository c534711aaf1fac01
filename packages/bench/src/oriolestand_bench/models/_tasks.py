"""Specify leases, adoption and resume of one batch task.

Bounds: two controllers, two workers, two attempts, two messages on their
way, of which each may be lost, repeated or arrive late. Controller ``a``
may die or hand over; ``b`` may adopt. The epoch of a message is its sender.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import minicheck

MAX_ATTEMPTS = 2
MAX_MESSAGES = 2
MAX_MESSAGES_WITHOUT = 1
"""With a mechanism removed; one message shows most faults sooner."""

NEED_TWO_MESSAGES = ('attempt_fence', 'epoch_fence', 'stop_tombstone')
"""Mechanisms that act on a message which another one overtook."""


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
"""Which invariant fails when a mechanism is removed."""


class Row(NamedTuple):
    """Hold the stored row; ``saved`` says how whole its checkpoint is."""

    state: str = 'queued'
    attempt: int = 0
    controller: str = ''
    worker: int = 0
    saved: str = ''


class View(NamedTuple):
    """Hold what a controller believes the row to be."""

    row: Row | None = None
    end: str = ''
    is_alive: bool = True


class Worker(NamedTuple):
    """Hold the highest attempt and epoch seen and the run of that attempt."""

    attempt: int = 0
    epoch: str = ''
    mode: str = ''
    saved: str = ''


class Packet(NamedTuple):
    """Hold a message on its way; a late one is past its window."""

    kind: str
    attempt: int
    epoch: str
    worker: int
    is_late: bool = False


class State(NamedTuple):
    """Hold the whole system; the last three fields record faults."""

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


class _Spec:
    """Compute the transitions with one mechanism removed, or none."""

    def __init__(self, without: str) -> None:
        self._without = without
        self._limit = MAX_MESSAGES
        if without and without not in NEED_TWO_MESSAGES:
            self._limit = MAX_MESSAGES_WITHOUT

    def has(self, mechanism: str) -> bool:
        """Return whether a mechanism is in force."""
        return mechanism != self._without

    def steps(self, state: tuple) -> list[Step]:
        """Return all next states with their labels."""
        s = State(*state)
        if _is_broken(s):
            # What follows a fault shows nothing more.
            return []
        found: list[Step] = []
        for who in ('a', 'b'):
            if getattr(s, who).is_alive:
                found += self._control(s, who)
        found += self._failures(s)
        for number in (1, 2):
            found += self._work(s, number)
        for packet in s.net:
            found += self._arrive(s, packet)
            found.append(
                (f'lose {packet.kind}', _set(s, net=s.net - {packet}))
            )
        return found

    def _control(self, s: State, who: str) -> Iterator[Step]:
        """Yield what a controller may do."""
        view: View = getattr(s, who)
        if view.row is None:
            if s.row.state == 'queued' and s.row.attempt < MAX_ATTEMPTS:
                yield f'{who} reads', self._see(s, who, s.row)
            if who == 'b' and self._may_adopt(s):
                row = s.row._replace(controller='b')
                yield 'b adopts', self._see(_set(s, row=row), who, row)
            return
        if view.row.state == 'queued':
            for worker in (1, 2):
                row = view.row._replace(
                    state='starting',
                    attempt=view.row.attempt + 1,
                    controller=who,
                    worker=worker,
                )
                yield f'{who} takes for w{worker}', self._cas(s, who, row)
            return
        yield from self._hold(s, who, view.row, view.end)

    def _hold(self, s: State, who: str, row: Row, end: str) -> Iterator[Step]:
        """Yield what the controller of a placed task may do."""
        if end:
            yield (
                f'{who} records {end}',
                self._cas(s, who, self._after(s, who)),
            )
            return
        kind = {'starting': 'start', 'running': 'renew', 'evicting': 'stop'}
        yield (
            f'{who} sends {kind[row.state]}',
            self._send(s, kind[row.state], row, who),
        )
        if not self.has('cas'):
            # Two takers show the fault; wrong writes multiply the states.
            return
        if row.state != 'evicting':
            yield (
                f'{who} evicts',
                self._cas(s, who, row._replace(state='evicting')),
            )
        worker: Worker = getattr(s, f'w{row.worker}')
        if worker.attempt == row.attempt and worker.mode:
            if worker.mode != 'running':
                yield f'{who} hears {worker.mode}', _hear(s, who, worker.mode)
            elif row.state == 'starting':
                yield (
                    f'{who} hears running',
                    self._cas(s, who, row._replace(state='running')),
                )
        yield f'{who} waits for the lapse', self._wait(s, who, row)

    def _after(self, s: State, who: str) -> Row:
        """Return the row after a known end."""
        view: View = getattr(s, who)
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
        """Return whether ``b`` may take over a placed task."""
        if s.row.state not in ('starting', 'running', 'evicting'):
            return False
        if s.row.controller == 'a':
            return not s.a.is_alive or not self.has('proof')
        return s.row.controller == ''

    def _see(self, s: State, who: str, row: Row) -> State:
        """Set the view of a controller."""
        return _set(s, **{who: View(row=row)})

    def _cas(self, s: State, who: str, row: Row) -> State:
        """Write a row if it is as the controller believes."""
        view: View = getattr(s, who)
        if s.row != view.row and self.has('cas'):
            return _set(s, **{who: View()})
        is_finished = view.end == 'finished' and row.state == 'queued'
        is_held = row.controller == who
        return _set(
            s,
            row=row,
            resumed_finished=s.resumed_finished or is_finished,
            **{who: View(row=row if is_held else None)},
        )

    def _wait(self, s: State, who: str, row: Row) -> State:
        """Let the window and the lease pass without a renewal."""
        after = s
        if self.has('lease_wait'):
            net = frozenset(p._replace(is_late=True) for p in s.net)
            after = _set(s, net=net)
            name = f'w{row.worker}'
            worker: Worker = getattr(s, name)
            if not self._renews(s, who) and self.has('worker_lapse'):
                if worker.mode == 'running':
                    worker = worker._replace(mode='stopped')
                after = _set(after, **{name: worker})
        return _hear(after, who, 'lapsed')

    def _renews(self, s: State, who: str) -> bool:
        """Return whether someone else goes on extending the lease."""
        if s.zombie is not None:
            return True
        other: View = s.b if who == 'a' else s.a
        return (
            other.is_alive
            and other.row is not None
            and other.row.state == 'running'
        )

    def _send(self, s: State, kind: str, row: Row, who: str) -> State:
        """Put a message on its way unless there are too many."""
        packet = Packet(kind, row.attempt, who, row.worker)
        if len(s.net | {packet}) > self._limit:
            return s
        return _set(s, net=s.net | {packet})

    def _failures(self, s: State) -> Iterator[Step]:
        """Yield the death and the hand-over of ``a``."""
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
            yield 'a renews still', self._send(s, 'renew', s.zombie, 'a')

    def _work(self, s: State, number: int) -> Iterator[Step]:
        """Yield what happens to a run at a worker."""
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
        nxt = {'': 'partial', 'partial': 'whole', 'whole': ''}[worker.saved]
        if nxt and worker.attempt < MAX_ATTEMPTS:
            yield (
                f'{name} saves',
                _set(s, **{name: worker._replace(saved=nxt)}),
            )

    def _arrive(self, s: State, packet: Packet) -> Iterator[Step]:
        """Yield the effect of a message, which may arrive again."""
        name = f'w{packet.worker}'
        worker: Worker = getattr(s, name)
        after, answer = self._accept(worker, packet)
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
                    _hear(new, packet.epoch, answer),
                )

    def _accept(self, worker: Worker, packet: Packet) -> tuple[Worker, str]:
        """Return a worker after a message and its answer."""
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
    """Return a state with other values in some fields."""
    return state._replace(**fields)


def _is_broken(s: State) -> bool:
    """Return whether a state violates an invariant."""
    return (
        (s.w1.mode, s.w2.mode) == ('running', 'running')
        or s.stale_attempt
        or s.stale_epoch
        or s.resumed_finished
        or s.row.saved == 'partial'
    )


def _hear(s: State, who: str, end: str) -> State:
    """Let a controller know how its attempt ended."""
    view: View = getattr(s, who)
    return _set(s, **{who: view._replace(end=end)})


def build(without: str = '') -> minicheck.Protocol:
    """Return the specification, with one mechanism removed if named."""
    if without and without not in MECHANISMS:
        raise ValueError(f'no mechanism is called {without}')
    return minicheck.Protocol(
        name='tasks',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=_Spec(without).steps,
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
