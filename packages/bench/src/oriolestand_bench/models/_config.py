"""Model of how configuration versions are accepted and distributed.

An accepted document may reach any daemon at any later time, which covers all
delays and reorderings of polls and of messages between daemons. An edit stays
in the store's queue until it is applied or its base version is superseded.
The response to an edit may always be lost.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import NamedTuple

import minicheck

DAEMONS = 2
MAX_VERSION = 3
MECHANISMS = {
    'cas': 'claims_are_true',
    'monotonic': 'no_revert',
    'read_back': 'claims_are_true',
    'wait_for_version': 'ready_has_version',
}

IDLE, SENT, ACCEPTED, REFUSED, UNKNOWN = range(5)


class Editor(NamedTuple):
    """An operator's edit; ``base`` is the version it is based on."""

    phase: int
    base: int


class Daemon(NamedTuple):
    """The document that a daemon has in force; version 0 means none."""

    version: int
    content: int
    is_ready: bool
    has_reverted: bool


class State(NamedTuple):
    """State of the store, the editors and the daemons.

    ``history`` holds the author of each version; the last entry is current.
    """

    history: tuple[int, ...]
    editors: tuple[Editor, ...]
    daemons: tuple[Daemon, ...]


Step = tuple[str, State]

INITIAL = State(
    history=(0,),
    editors=(Editor(IDLE, 0), Editor(IDLE, 0)),
    daemons=(Daemon(1, 0, True, False),) * DAEMONS,
)


def _replace(items: tuple[Any, ...], index: int, item: Any) -> Any:
    """Return a tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Steps:
    """Transitions of the model, optionally without one mechanism."""

    without: str = ''

    def all(self, state: State) -> Iterator[Step]:
        """Yield all possible transitions from a state."""
        for index, editor in enumerate(state.editors):
            for name, history, changed in self._edit_steps(
                state, index, editor
            ):
                editors = _replace(state.editors, index, changed)
                yield (
                    f'{name} {index}',
                    state._replace(history=history, editors=editors),
                )
        for index, daemon in enumerate(state.daemons):
            for name, moved in self._daemon_steps(state, daemon):
                daemons = _replace(state.daemons, index, moved)
                yield f'{name} {index}', state._replace(daemons=daemons)

    def _edit_steps(
        self, state: State, index: int, editor: Editor
    ) -> Iterator[tuple[str, tuple[int, ...], Editor]]:
        """Yield the transitions of one edit."""
        history = state.history
        author = index + 1
        if editor.phase == IDLE:
            for daemon in state.daemons:
                if daemon.version:
                    new_editor = Editor(SENT, daemon.version)
                    yield 'edit', history, new_editor
            return
        is_applied = len(history) > editor.base and (
            history[editor.base] == author
        )
        if editor.phase != ACCEPTED and not is_applied:
            # A write stays queued whatever response the operator received.
            if self._can_apply(history, editor):
                yield 'apply', (*history[: editor.base], author), editor
        if editor.phase in (SENT, UNKNOWN):
            yield from self._response_steps(history, editor, is_applied)

    def _can_apply(self, history: tuple[int, ...], editor: Editor) -> bool:
        """Return whether the store can apply the edit now."""
        if editor.base >= MAX_VERSION:
            return False
        return len(history) == editor.base or self.without == 'cas'

    def _response_steps(
        self, history: tuple[int, ...], editor: Editor, is_applied: bool
    ) -> Iterator[tuple[str, tuple[int, ...], Editor]]:
        """Yield the responses that the operator may receive."""
        if is_applied:
            yield 'accept', history, editor._replace(phase=ACCEPTED)
        elif len(history) > editor.base or self.without == 'read_back':
            yield 'refuse', history, editor._replace(phase=REFUSED)
        elif editor.phase == SENT:
            yield 'lose answer', history, editor._replace(phase=UNKNOWN)

    def _daemon_steps(
        self, state: State, daemon: Daemon
    ) -> Iterator[tuple[str, Daemon]]:
        """Yield the adoption of each document, and a restart."""
        for version, content in enumerate(state.history, start=1):
            if version > daemon.version or self.without == 'monotonic':
                yield (
                    f'adopt {version}',
                    Daemon(
                        version,
                        content,
                        True,
                        daemon.has_reverted or version < daemon.version,
                    ),
                )
        if daemon.version:
            is_ready = self.without == 'wait_for_version'
            yield 'restart', Daemon(0, 0, is_ready, False)


def _claims_are_true(state: dict[str, Any]) -> bool:
    """Return whether accepted edits are applied and refused ones not."""
    history = state['history']
    for index, editor in enumerate(state['editors']):
        is_applied = len(history) > editor.base and (
            history[editor.base] == index + 1
        )
        if editor.phase == ACCEPTED and not is_applied:
            return False
        if editor.phase == REFUSED and is_applied:
            return False
    return True


def _versions_agree(state: dict[str, Any]) -> bool:
    """Return whether daemons with equal versions have equal documents."""
    seen: dict[int, int] = {}
    for daemon in state['daemons']:
        if seen.setdefault(daemon.version, daemon.content) != daemon.content:
            return False
    return True


def build(without: str = '') -> minicheck.Protocol:
    """Return the model, without the given mechanism if any."""
    steps = Steps(without=without)
    return minicheck.Protocol(
        name='config',
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda s: list(steps.all(State(*s))),
        invariants={
            'claims_are_true': _claims_are_true,
            'versions_agree': _versions_agree,
            'no_revert': lambda s: (
                not any(d.has_reverted for d in s['daemons'])
            ),
            'ready_has_version': lambda s: all(
                d.version for d in s['daemons'] if d.is_ready
            ),
        },
    )
