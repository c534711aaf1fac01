"""Test changes of the tables, their spread and lost answers."""

from collections.abc import Callable
import json
from typing import Any

import pytest
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import dispatch
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.platform import _task as platform_task
from oriolestand_daemon.services.tables import _task
from oriolestand_daemon.services.tables import const
from oriolestand_daemon.services.tables import errors
import oriolestand_models as models
import oriolestand_platform as platform


class FaultyPlatform(platform.MemoryPlatform):
    """Lose answers or writes of a store as told."""

    def __init__(self, store: platform.MemoryStore) -> None:
        super().__init__(store, lambda: 0)
        self.is_down = False
        self.on_commit: list[Callable[[platform.Transaction], Any]] = []
        self.before_commit: list[Callable[[], Any]] = []

    async def read(self, table: str, key: str) -> platform.Row | None:
        if self.is_down:
            raise platform.StoreUnavailableError('down')
        return await super().read(table, key)

    async def commit(
        self, transaction: platform.Transaction
    ) -> platform.TransactionResult:
        if self.is_down:
            raise platform.StoreUnavailableError('down')
        if self.before_commit:
            self.before_commit.pop(0)()
        if self.on_commit:
            self.on_commit.pop(0)(transaction)
            raise platform.StoreTimeoutError('lost')
        return await super().commit(transaction)


class FakeDispatch(core.Task):
    """Answer with the slots in use that a test sets."""

    in_use: dict[str, int] = {}

    @core.handles(dispatch.GetSlotsInUse)
    def _on_slots(self, msg: dispatch.GetSlotsInUse) -> dict[str, int]:
        return self.in_use


class Daemon:
    """Run the tables service of one daemon in virtual time."""

    def __init__(self, store: platform.MemoryStore, seed: int = 1) -> None:
        self.clock = core.ManualClock()
        kernel = core.Kernel(self.clock, core.IdSource(seed=seed))
        self.client = FaultyPlatform(store)
        self.dispatch = FakeDispatch(kernel, 'dispatch')
        kernel.register('dispatch', self.dispatch)
        kernel.register(
            'platform', platform_task.PlatformTask(kernel, self.client)
        )
        cfg = settings.parse_settings(
            {
                'instance_id': f'e{seed}',
                'failure_domain': 'a',
                'region': 'north',
            }
        )
        self.kernel = kernel
        self.task = _task.TablesTask(kernel, cfg)

    def start(self) -> 'Daemon':
        self.task.start()
        return self

    def ask(self, message: object) -> Any:
        """Return a reply, advancing time until it is there."""
        results: list[Any] = []
        fut = self.task.ask(message)
        fut.addBoth(results.append)
        for _ in range(100):
            if results:
                break
            self.clock.advance(const.READ_BACK_PAUSE_MS)
        if hasattr(results[0], 'raiseException'):
            results[0].raiseException()
        return results[0]

    def apply(self, document: Any, base: int, edit_id: str = '') -> int:
        """Apply a document and return its version."""
        data = json.dumps(document).encode()
        reply = self.ask(
            config.ApplyDocument(
                document=data,
                base_version=base,
                edited_by='test',
                edit_id=edit_id,
            )
        )
        return int(json.loads(reply)['version'])

    def receive(self, document: bytes) -> None:
        self.task.post(config.ReceivedTables(document=document, peer='p'))

    @property
    def status(self) -> config.TablesStatus:
        status: config.TablesStatus = self.ask(config.GetTablesStatus())
        return status

    @property
    def document(self) -> bytes:
        document: bytes = self.ask(config.GetDocument())
        return document


def _document(slots: int = 8, pool: str = 'main') -> dict[str, Any]:
    return {
        'routes': [{'name': 'check', 'pool': 'main'}],
        'pools': [
            {
                'name': pool,
                'slots_per_upstream': slots,
                'upstreams': [
                    {'address': '127.0.0.1:1', 'failure_domain': 'a'}
                ],
            }
        ],
    }


@pytest.fixture
def store() -> platform.MemoryStore:
    return platform.MemoryStore()


@pytest.fixture
def daemon(store: platform.MemoryStore) -> Daemon:
    return Daemon(store).start()


def test_version_does_not_depend_on_the_version_of_the_row(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A row that was deleted and restored must not block edits."""
    assert daemon.apply(_document(8), 0) == 1
    row = store.read(const.TABLE, const.KEY)
    assert row is not None
    for value in (None, row.value):
        put = platform.Put(table=const.TABLE, key=const.KEY, value=value)
        store.commit(
            platform.Transaction(request_id=f'{value is None}', puts=(put,))
        )
    restored = store.read(const.TABLE, const.KEY)
    assert restored is not None and restored.version != 1
    assert daemon.apply(_document(7), 1) == 2


def test_lost_race_is_told_what_changed(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """An operator who loses a race must see the other's change."""
    daemon.apply(_document(8), 0)
    other = Daemon(store, seed=2).start()
    other.apply(_document(7), 1)
    with pytest.raises(errors.EditConflictError) as caught:
        daemon.apply(_document(6), 1)
    assert caught.value.changes == ('pools.main.slots_per_upstream: 8 -> 7',)
    assert caught.value.verdict is core.Verdict.DID_NOT_RUN


def _delete(store: platform.MemoryStore, table: str, key: str) -> None:
    put = platform.Put(table=table, key=key, value=None)
    store.commit(platform.Transaction(request_id=key, puts=(put,)))


@pytest.mark.parametrize('is_history_lost', [False, True])
def test_edit_between_read_and_write_wins_the_race(
    store: platform.MemoryStore, daemon: Daemon, is_history_lost: bool
) -> None:
    """Of two racing edits one must win, with or without a history."""

    def race() -> None:
        Daemon(store, seed=2).start().apply(_document(7), 0)
        if is_history_lost:
            _delete(store, const.HISTORY_TABLE, const.history_key(1))

    daemon.client.before_commit = [race]
    with pytest.raises(errors.EditConflictError):
        daemon.apply(_document(8), 0)
    daemon.clock.advance(const.POLL_INTERVAL_MS)
    assert b'"slots_per_upstream":7' in daemon.document


def test_repeat_of_an_edit_by_its_client_is_the_same_edit(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A client that lost our answer must not be told of a conflict."""
    other = Daemon(store, seed=2).start()
    daemon.client.before_commit = [
        lambda: other.apply(_document(7), 0, edit_id='mine')
    ]
    assert daemon.apply(_document(7), 0, edit_id='mine') == 1
    assert daemon.apply(_document(7), 0, edit_id='mine') == 1
    with pytest.raises(errors.EditConflictError):
        daemon.apply(_document(6), 0, edit_id='mine')


def test_version_in_the_history_is_not_written_again(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A lost current row must not lead to a second document 1."""
    daemon.apply(_document(8), 0)
    _delete(store, const.TABLE, const.KEY)
    with pytest.raises(errors.StoreBehindError):
        Daemon(store, seed=2).start().apply(_document(7), 0)


def test_capacity_below_use_is_refused_but_removal_drains(
    daemon: Daemon,
) -> None:
    """A shrink must not leave an upstream with more work than slots."""
    daemon.apply(_document(8), 0)
    daemon.dispatch.in_use = {'127.0.0.1:1': 5}
    with pytest.raises(models.InvalidTablesError) as caught:
        daemon.apply(_document(4), 1)
    assert caught.value.problems[0].startswith('pools.0.slots_per_upstream')
    assert daemon.apply(_document(5), 1) == 2
    assert daemon.apply({'routes': [], 'pools': []}, 2) == 3


def test_bad_edit_is_refused_while_the_store_is_down(daemon: Daemon) -> None:
    """Problems of the edit itself must not hide behind an outage."""
    daemon.client.is_down = True
    with pytest.raises(models.InvalidTablesError):
        daemon.apply(_document(pool='other'), 0)
    with pytest.raises(platform.StoreUnavailableError) as caught:
        daemon.apply(_document(), 0)
    assert caught.value.verdict is core.Verdict.DID_NOT_RUN


def test_lost_answer_of_an_applied_edit_is_in_force(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """An edit that took effect must not be reported as failed."""
    daemon.client.on_commit = [store.commit]
    assert daemon.apply(_document(), 0) == 1
    assert daemon.status.version == 1


def test_lost_answer_is_in_force_although_a_later_edit_followed(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """The current row alone would say that the edit was lost."""

    def commit_and_follow(tx: platform.Transaction) -> None:
        store.commit(tx)
        Daemon(store, seed=2).start().apply(_document(7), 1)

    daemon.client.on_commit = [commit_and_follow]
    assert daemon.apply(_document(8), 0) == 1


def test_lost_write_is_sent_again_and_applied_once(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A write that arrives late, after its repeat, must change nothing."""
    late: list[platform.Transaction] = []
    daemon.client.on_commit = [late.append]
    assert daemon.apply(_document(), 0) == 1
    assert store.commit(late[0]).applied
    row = store.read(const.TABLE, const.KEY)
    assert row is not None and row.version == 1


def test_lost_write_that_lost_a_race_is_a_conflict(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A row past the checked version proves that a write cannot apply."""
    other = Daemon(store, seed=2).start()
    daemon.client.on_commit = [lambda _: other.apply(_document(7), 0)]
    with pytest.raises(errors.EditConflictError):
        daemon.apply(_document(8), 0)


def test_edit_is_unknown_while_nothing_can_be_read(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """Neither success nor failure may be claimed without a proof."""

    def commit_and_stop(tx: platform.Transaction) -> None:
        store.commit(tx)
        daemon.client.is_down = True

    daemon.client.on_commit = [commit_and_stop]
    with pytest.raises(errors.EditUnknownError) as caught:
        daemon.apply(_document(), 0, edit_id='mine')
    assert caught.value.verdict is core.Verdict.MAY_HAVE_RUN
    assert daemon.status.version == 0
    daemon.client.is_down = False
    assert daemon.apply(_document(), 0, edit_id='mine') == 1


def test_tables_spread_and_never_go_back_without_the_store(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A daemon without the store must follow its peers, upwards only."""
    daemon.apply(_document(8), 0)
    first = daemon.document
    daemon.apply(_document(7), 1)
    new = Daemon(store, seed=2)
    new.client.is_down = True
    new.start()
    assert not new.status.is_known
    new.receive(daemon.document)
    new.receive(first)
    new.receive(b'{"version": 9, "routes": [{"name": "x", "pool": "no"}]}')
    new.receive(b'\xff')
    assert new.status.is_known
    assert [a.version for a in new.status.adoptions] == [2]
    assert new.status.digest == daemon.status.digest


def test_stored_version_below_the_one_in_force_is_not_taken(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A restored store must neither revert daemons nor reuse versions."""
    daemon.apply(_document(8), 0)
    daemon.apply(_document(7), 1)
    old = Daemon(platform.MemoryStore(), seed=3).start()
    old.receive(daemon.document)
    old.clock.advance(5 * const.POLL_INTERVAL_MS)
    assert old.status.version == 2
    assert old.status.store_version == 0
    with pytest.raises(errors.StoreBehindError):
        old.apply(_document(6), 0)


def test_empty_store_makes_a_daemon_know_that_there_is_no_version(
    daemon: Daemon,
) -> None:
    """The first daemon of a new system must become ready."""
    assert daemon.status.is_known
    assert daemon.status.version == 0


def test_second_document_of_one_version_is_reported(daemon: Daemon) -> None:
    """Two documents with one version must be noticed, not swapped."""
    daemon.apply(_document(8), 0)
    before = daemon.status
    forged = json.loads(daemon.document)
    forged['edited_by'] = 'someone else'
    daemon.receive(json.dumps(forged).encode())
    assert daemon.status.digest == before.digest
    assert daemon.status.conflicting_digest


def test_poll_takes_a_version_that_another_daemon_wrote(
    store: platform.MemoryStore, daemon: Daemon
) -> None:
    """A daemon without links to peers must follow the store."""
    Daemon(store, seed=2).start().apply(_document(8), 0)
    daemon.clock.advance(const.POLL_INTERVAL_MS)
    assert daemon.status.version == 1


def test_undo_is_a_new_version_with_old_content(daemon: Daemon) -> None:
    """Undo must never lower a version."""
    daemon.apply(_document(8), 0)
    daemon.apply(_document(7), 1)
    undo = config.UndoEdit(version=1, base_version=2, edited_by='test')
    assert json.loads(daemon.ask(undo))['version'] == 3
    history = daemon.ask(config.GetHistory(limit=10))
    assert [entry.version for entry in history] == [3, 2, 1]
    assert history[0].changes == ('pools.main.slots_per_upstream: 7 -> 8',)
    with pytest.raises(errors.UnknownVersionError):
        daemon.ask(
            config.UndoEdit(version=9, base_version=None, edited_by='t')
        )


def test_history_is_pruned_within_the_edit(
    monkeypatch: pytest.MonkeyPatch,
    store: platform.MemoryStore,
    daemon: Daemon,
) -> None:
    """The history must not grow without bound."""
    monkeypatch.setattr(const, 'KEPT_VERSIONS', 2)
    for base in range(4):
        daemon.apply(_document(8 + base), base)
    keys = [row.key for row in store.scan(const.HISTORY_TABLE)]
    assert keys == [const.history_key(v) for v in (3, 4)]


def test_single_entries_are_replaced_added_and_removed(
    daemon: Daemon,
) -> None:
    """An edit of one entry must leave the others as they are."""

    def edit(name: str, entry: Any) -> Any:
        data = None if entry is None else json.dumps(entry).encode()
        message = config.EditEntry(
            table='routes',
            name=name,
            entry=data,
            base_version=None,
            edited_by='test',
        )
        return json.loads(daemon.ask(message))['routes']

    daemon.apply(_document(8), 0)
    assert len(edit('book', {'pool': 'main'})) == 2
    assert edit('check', {'pool': 'main', 'priority': 3})[0]['priority'] == 3
    assert [route['name'] for route in edit('check', None)] == ['book']
    with pytest.raises(errors.UnknownEntryError):
        edit('check', None)
    with pytest.raises(models.InvalidTablesError):
        edit('book', {'pool': 'none'})


def test_instances_report_the_version_of_each_peer(daemon: Daemon) -> None:
    """An operator must see who does not have a change in force yet."""
    daemon.apply(_document(8), 0)

    def connect(incarnation: str) -> None:
        daemon.kernel.publish(
            membership.PeerConnected(
                instance_id='p',
                incarnation=incarnation,
                failure_domain='b',
                region='north',
            )
        )

    def versions() -> list[tuple[str, int, bool]]:
        return [
            (i.instance_id, i.version, i.is_connected)
            for i in daemon.ask(config.GetInstances())
        ]

    connect('1')
    assert versions() == [('e1', 1, True), ('p', 0, True)]
    daemon.receive(daemon.document)
    daemon.kernel.publish(membership.PeerDisconnected(instance_id='p'))
    assert versions() == [('e1', 1, True), ('p', 1, False)]
    connect('2')
    assert versions() == [('e1', 1, True), ('p', 0, True)]


def test_settings_file_with_tables_does_not_stop_a_restart(
    store: platform.MemoryStore, tmp_path: Any, daemon: Daemon
) -> None:
    """A restart must not fail because the store has tables already."""
    daemon.apply(_document(8), 0)
    again = Daemon(store, seed=2)
    path = tmp_path / 'tables.json'
    path.write_text(json.dumps(_document(3)))
    again.task._cfg = again.task._cfg.model_copy(
        update={'tables_file': str(path)}
    )
    fut: defer.Deferred[Any] = defer.maybeDeferred(again.task.start)
    fut.addErrback(lambda failure: pytest.fail(str(failure)))
    assert again.status.version == 1
    assert b'"slots_per_upstream":8' in again.document
