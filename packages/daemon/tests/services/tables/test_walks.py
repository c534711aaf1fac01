"""Property test: random edits, lost answers, late writes and restarts."""

from collections.abc import Callable
from typing import Any

import hypothesis
from hypothesis import strategies as st

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.services.tables import const
import oriolestand_models as models
import oriolestand_platform as platform

DAEMONS = 3
MODES = ('answered', 'late', 'late_twice', 'lost', 'late_down', 'lost_down')
ACTIONS = (*MODES, 'deliver_late', 'poll', 'up', 'gossip', 'restart')
steps = st.tuples(
    st.sampled_from(ACTIONS), st.integers(0, DAEMONS - 1), st.integers(0, 9)
)


class EditSimulation:
    """Daemons on one store, with the outcomes that they reported."""

    def __init__(self, make: Callable[..., Any]) -> None:
        self.store = platform.MemoryStore()
        self._make = make
        self._seed = 0
        self.daemons = [self._start() for _ in range(DAEMONS)]
        self.late: list[platform.Transaction] = []
        self.outcomes: dict[str, str] = {}
        self.documents: list[bytes] = []
        self.stamps: set[tuple[int, str]] = set()

    def _start(self, is_down: bool = False) -> Any:
        self._seed += 1
        daemon = self._make(self._seed, self.store)
        daemon.client.is_down = is_down
        return daemon.start()

    def step(self, action: str, index: int, number: int) -> None:
        """Execute one step and check the tables in force at each daemon."""
        daemon = self.daemons[index]
        match action:
            case 'deliver_late' if self.late:
                self.store.commit(self.late.pop(number % len(self.late)))
            case 'poll':
                daemon.clock.advance(const.POLL_INTERVAL_MS)
            case 'up':
                daemon.client.is_down = False
            case 'gossip' if self.documents:
                chosen = self.documents[number % len(self.documents)]
                daemon.receive(chosen)
            case 'restart':
                self.daemons[index] = self._start(daemon.client.is_down)
            case _ if action in MODES:
                self._edit(daemon, action, number)
        self.check()

    def _edit(self, daemon: Any, mode: str, number: int) -> None:
        """Make an edit with a fault and record the reported outcome."""
        stop = mode.endswith('_down')

        def lose(tx: platform.Transaction) -> None:
            if mode.startswith('late'):
                self.late.append(tx)
            else:
                self.store.commit(tx)
            daemon.client.is_down = daemon.client.is_down or stop

        losses = {'answered': 0, 'late_twice': 2}.get(mode, 1)
        daemon.client.on_commit = [lose] * losses
        edit_id = f'edit-{len(self.outcomes)}'
        base = daemon.status.version
        try:
            daemon.apply_slots(number, base, edit_id)
            outcome = 'in_force'
        except core.OriolestandError as exc:
            is_certain = exc.verdict is core.Verdict.DID_NOT_RUN
            outcome = 'refused' if is_certain else 'unknown'
        daemon.client.on_commit = []
        self.outcomes[edit_id] = outcome

    def check(self) -> None:
        """Check that versions only rise and that each has one document."""
        for daemon in self.daemons:
            status = daemon.status
            versions = [item.version for item in status.adoptions]
            assert versions == sorted(set(versions))
            assert not status.conflicting_digest
            self.stamps.update((a.version, a.digest) for a in status.adoptions)
            if status.version:
                document = daemon.ask(config.GetDocument())
                if document not in self.documents:
                    self.documents.append(document)
        assert len({version for version, _ in self.stamps}) == len(self.stamps)

    def finish(self) -> None:
        """Deliver all late writes; compare the store with the outcomes."""
        for tx in self.late:
            self.store.commit(tx)
        written = {
            row.value['edit_id']: models.parse_document(row.value)
            for row in self.store.scan(const.HISTORY_TABLE)
        }
        for edit_id, outcome in self.outcomes.items():
            if outcome != 'unknown':
                assert (edit_id in written) == (outcome == 'in_force')
        stored = {(d.version, d.digest()) for d in written.values()}
        assert self.stamps <= stored
        for daemon in self.daemons:
            daemon.client.is_down = False
            daemon.clock.advance(2 * const.POLL_INTERVAL_MS)
            assert daemon.status.version == len(written)


@hypothesis.settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(st.lists(steps, min_size=8, max_size=25))
def test_reported_outcomes_are_true_and_versions_only_rise(
    make_daemon: Callable[..., Any], walk: list[tuple[str, int, int]]
) -> None:
    """No order of faults may cause a wrong outcome or a lower version."""
    simulation = EditSimulation(make_daemon)
    for step in walk:
        simulation.step(*step)
    simulation.finish()
