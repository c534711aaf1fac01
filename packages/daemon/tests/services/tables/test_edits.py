"""Test edits of the tables: races, lost answers, history and undo."""

from collections.abc import Callable
import json
from typing import Any

import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import config
from oriolestand_daemon.services.tables import const
from oriolestand_daemon.services.tables import errors
import oriolestand_models as models
import oriolestand_platform as platform

MakeDaemon = Callable[..., Any]


def test_document_version_is_independent_of_the_row_version(
    store: platform.MemoryStore, daemon: Any
) -> None:
    """A row that was deleted and restored must not block edits."""
    assert daemon.apply_slots(8, 0) == 1
    row = store.read(const.TABLE, const.KEY)
    assert row is not None
    for value in (None, row.value):
        put = platform.Put(table=const.TABLE, key=const.KEY, value=value)
        store.commit(
            platform.Transaction(request_id=f'{value is None}', puts=(put,))
        )
    restored = store.read(const.TABLE, const.KEY)
    assert restored is not None and restored.version != 1
    assert daemon.apply_slots(7, 1) == 2


def test_conflict_reports_what_changed(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """An operator who loses a race must see the other change."""
    daemon.apply_slots(8, 0)
    other = make_daemon(2).start()
    other.apply_slots(7, 1)
    with pytest.raises(errors.EditConflictError) as caught:
        daemon.apply_slots(6, 1)
    assert caught.value.changes == ('pools.main.slots_per_upstream: 8 -> 7',)
    assert caught.value.verdict is core.Verdict.DID_NOT_RUN


def _delete(store: platform.MemoryStore, table: str, key: str) -> None:
    put = platform.Put(table=table, key=key, value=None)
    store.commit(platform.Transaction(request_id=key, puts=(put,)))


@pytest.mark.parametrize('is_history_lost', [False, True])
def test_edit_between_read_and_write_causes_a_conflict(
    store: platform.MemoryStore,
    daemon: Any,
    is_history_lost: bool,
    make_daemon: MakeDaemon,
) -> None:
    """Only one of two racing edits may be applied, even without history."""

    def race() -> None:
        make_daemon(2).start().apply_slots(7, 0)
        if is_history_lost:
            _delete(store, const.HISTORY_TABLE, const.history_key(1))

    daemon.client.before_commit = [race]
    with pytest.raises(errors.EditConflictError):
        daemon.apply_slots(8, 0)
    daemon.clock.advance(const.POLL_INTERVAL_MS)
    assert b'"slots_per_upstream":7' in daemon.document


def test_repeated_edit_is_recognized_by_its_edit_id(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """A client that repeats an edit after a lost answer must succeed."""
    other = make_daemon(2).start()
    daemon.client.before_commit = [
        lambda: other.apply_slots(7, 0, edit_id='mine')
    ]
    assert daemon.apply_slots(7, 0, edit_id='mine') == 1
    assert daemon.apply_slots(7, 0, edit_id='mine') == 1
    with pytest.raises(errors.EditConflictError):
        daemon.apply_slots(6, 0, edit_id='mine')


def test_version_in_the_history_is_not_overwritten(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """A lost current row must not lead to a second document of version 1."""
    daemon.apply_slots(8, 0)
    _delete(store, const.TABLE, const.KEY)
    with pytest.raises(errors.StoreBehindError):
        make_daemon(2).start().apply_slots(7, 0)


def test_capacity_below_use_is_rejected_but_removal_is_allowed(
    daemon: Any,
) -> None:
    """A lower capacity must not leave more slots in use than exist."""
    daemon.apply_slots(8, 0)
    daemon.dispatch.in_use = {'127.0.0.1:1': 5}
    with pytest.raises(models.InvalidTablesError) as caught:
        daemon.apply_slots(4, 1)
    assert caught.value.problems[0].startswith('pools.0.slots_per_upstream')
    assert daemon.apply_slots(5, 1) == 2
    assert daemon.apply({'routes': [], 'pools': []}, 2) == 3


def test_invalid_edit_is_rejected_while_the_store_is_down(daemon: Any) -> None:
    """Problems of an edit must be reported even during an outage."""
    daemon.client.is_down = True
    with pytest.raises(models.InvalidTablesError):
        daemon.apply({'routes': [{'name': 'r', 'pool': 'none'}]}, 0)
    with pytest.raises(platform.StoreUnavailableError) as caught:
        daemon.apply_slots(8, 0)
    assert caught.value.verdict is core.Verdict.DID_NOT_RUN


def test_applied_edit_with_lost_answer_is_in_force(
    store: platform.MemoryStore, daemon: Any
) -> None:
    """An edit that was applied must not be reported as failed."""
    daemon.client.on_commit = [store.commit]
    assert daemon.apply_slots(8, 0) == 1
    assert daemon.status.version == 1


def test_applied_edit_with_lost_answer_and_later_edit_succeeds(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """The current row alone would suggest that the edit was not applied."""

    def commit_and_follow(tx: platform.Transaction) -> None:
        store.commit(tx)
        make_daemon(2).start().apply_slots(7, 1)

    daemon.client.on_commit = [commit_and_follow]
    assert daemon.apply_slots(8, 0) == 1


def test_lost_write_is_retried_and_applied_once(
    store: platform.MemoryStore, daemon: Any
) -> None:
    """A write that arrives late, after its retry, must change nothing."""
    late: list[platform.Transaction] = []
    daemon.client.on_commit = [late.append]
    assert daemon.apply_slots(8, 0) == 1
    assert store.commit(late[0]).applied
    row = store.read(const.TABLE, const.KEY)
    assert row is not None and row.version == 1


def test_lost_write_that_cannot_apply_any_more_is_a_conflict(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """A row beyond the checked version proves that the write cannot apply."""
    other = make_daemon(2).start()
    daemon.client.on_commit = [lambda _: other.apply_slots(7, 0)]
    with pytest.raises(errors.EditConflictError):
        daemon.apply_slots(8, 0)


def test_edit_is_unknown_while_the_store_cannot_be_read(
    store: platform.MemoryStore, daemon: Any
) -> None:
    """Neither success nor failure may be reported without evidence."""

    def commit_and_stop(tx: platform.Transaction) -> None:
        store.commit(tx)
        daemon.client.is_down = True

    daemon.client.on_commit = [commit_and_stop]
    with pytest.raises(errors.EditUnknownError) as caught:
        daemon.apply_slots(8, 0, edit_id='mine')
    assert caught.value.verdict is core.Verdict.MAY_HAVE_RUN
    assert daemon.status.version == 0
    daemon.client.is_down = False
    assert daemon.apply_slots(8, 0, edit_id='mine') == 1


def test_invalid_history_row_leaves_a_lost_write_unknown(
    store: platform.MemoryStore, daemon: Any
) -> None:
    """A failure of the read-back must not be reported as the edit's own."""

    def commit_and_corrupt_history(tx: platform.Transaction) -> None:
        store.commit(tx)
        key = const.history_key(1)
        corrupt = platform.Put(
            table=const.HISTORY_TABLE, key=key, value={'routes': 3}
        )
        store.commit(platform.Transaction(request_id='x', puts=(corrupt,)))

    daemon.client.on_commit = [commit_and_corrupt_history]
    with pytest.raises(errors.EditUnknownError):
        daemon.apply_slots(8, 0)
    assert daemon.apply_slots(7, 1) == 2
    with pytest.raises(errors.StoredTablesError):
        daemon.ask(config.GetDocument(version=1))


def test_base_version_above_the_current_is_a_conflict(
    daemon: Any,
) -> None:
    """An edit must not skip versions."""
    daemon.apply_slots(8, 0)
    with pytest.raises(errors.EditConflictError, match='does not exist'):
        daemon.apply_slots(7, 5)


def test_undo_is_a_new_version_with_old_content(daemon: Any) -> None:
    """An undo must never lower the version."""
    daemon.apply_slots(8, 0)
    daemon.apply_slots(7, 1)
    undo = config.UndoEdit(version=1, base_version=2, edited_by='test')
    assert json.loads(daemon.ask(undo))['version'] == 3
    history = daemon.ask(config.GetHistory(limit=10))
    assert [entry.version for entry in history] == [3, 2, 1]
    assert history[0].changes == ('pools.main.slots_per_upstream: 7 -> 8',)
    with pytest.raises(errors.UnknownVersionError):
        daemon.ask(
            config.UndoEdit(version=9, base_version=None, edited_by='t')
        )


def test_edit_prunes_the_history(
    monkeypatch: pytest.MonkeyPatch,
    store: platform.MemoryStore,
    daemon: Any,
) -> None:
    """The history must not grow without bound."""
    monkeypatch.setattr(const, 'KEPT_VERSIONS', 2)
    for base in range(4):
        daemon.apply_slots(8 + base, base)
    keys = [row.key for row in store.scan(const.HISTORY_TABLE)]
    assert keys == [const.history_key(v) for v in (3, 4)]


def test_single_entry_is_added_replaced_and_removed(
    daemon: Any,
) -> None:
    """An edit of one entry must leave the others unchanged."""

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

    daemon.apply_slots(8, 0)
    assert len(edit('book', {'pool': 'main'})) == 2
    assert edit('check', {'pool': 'main', 'priority': 3})[0]['priority'] == 3
    assert [route['name'] for route in edit('check', None)] == ['book']
    with pytest.raises(errors.UnknownEntryError):
        edit('check', None)
    with pytest.raises(models.InvalidTablesError):
        edit('book', {'pool': 'none'})
