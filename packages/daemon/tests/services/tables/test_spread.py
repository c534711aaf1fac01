"""Test which tables a daemon adopts from the store and its peers."""

from collections.abc import Callable
import json
from typing import Any

import pytest
from twisted.internet import defer

from oriolestand_daemon.messages import config
from oriolestand_daemon.messages import membership
from oriolestand_daemon.services.tables import const
from oriolestand_daemon.services.tables import errors
import oriolestand_platform as platform

MakeDaemon = Callable[..., Any]


def test_tables_from_peers_are_adopted_without_the_store_but_never_older(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """Without the store a daemon must adopt newer tables of its peers only."""
    daemon.apply_slots(8, 0)
    first = daemon.document
    daemon.apply_slots(7, 1)
    new = make_daemon(2)
    new.client.is_down = True
    new.start()
    assert not new.status.is_known
    new.receive(daemon.document)
    new.receive(first)
    new.receive(b'{"version": 9, "routes": [{"name": "x", "pool": "no"}]}')
    new.receive(b'\xff')
    new.task.post(config.DeliverTables(document=b'\xff', peer='p'))
    assert new.status.is_known
    assert [a.version for a in new.status.adoptions] == [2]
    assert new.status.digest == daemon.status.digest


def test_stored_version_below_the_one_in_force_is_not_adopted(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """A store restored from a backup must not revert or reuse versions."""
    daemon.apply_slots(8, 0)
    daemon.apply_slots(7, 1)
    old = make_daemon(3, platform.MemoryStore()).start()
    old.receive(daemon.document)
    old.clock.advance(5 * const.POLL_INTERVAL_MS)
    assert old.status.version == 2
    assert old.status.store_version == 0
    with pytest.raises(errors.StoreBehindError):
        old.apply_slots(6, 0)


def test_empty_store_means_that_the_version_is_known_to_be_zero(
    daemon: Any,
) -> None:
    """The first daemon of a new deployment must become ready."""
    assert daemon.status.is_known
    assert daemon.status.version == 0


def test_different_document_with_the_same_version_is_reported(
    daemon: Any,
) -> None:
    """Two documents with one version must be reported, not exchanged."""
    daemon.apply_slots(8, 0)
    before = daemon.status
    forged = json.loads(daemon.document)
    forged['edited_by'] = 'someone else'
    daemon.receive(json.dumps(forged).encode())
    assert daemon.status.digest == before.digest
    assert daemon.status.conflicting_digest


def test_poll_adopts_a_version_that_another_daemon_wrote(
    store: platform.MemoryStore, daemon: Any, make_daemon: MakeDaemon
) -> None:
    """A daemon without links to peers must follow the store."""
    make_daemon(2).start().apply_slots(8, 0)
    daemon.clock.advance(const.POLL_INTERVAL_MS)
    assert daemon.status.version == 1


def test_polling_continues_after_failures(
    store: platform.MemoryStore,
    daemon: Any,
    monkeypatch: pytest.MonkeyPatch,
    make_daemon: MakeDaemon,
) -> None:
    """One unexpected error must not stop the polling of the store."""
    for error in (ValueError('bug'), platform.StoreUnavailableError('down')):
        with monkeypatch.context() as patch:
            patch.setattr(daemon.client, 'read', _raise(error))
            daemon.clock.advance(const.POLL_INTERVAL_MS)
    assert daemon.status.store_error == 'store_unavailable'
    make_daemon(2).start().apply_slots(8, 0)
    daemon.clock.advance(const.POLL_INTERVAL_MS)
    assert (daemon.status.version, daemon.status.store_error) == (1, '')


def _raise(error: Exception) -> Callable[..., Any]:
    async def read(table: str, key: str) -> None:
        raise error

    return read


def test_instances_report_the_version_of_each_peer(daemon: Any) -> None:
    """An operator must see which instances lack a change."""
    daemon.apply_slots(8, 0)

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


def test_tables_file_does_not_prevent_a_restart(
    store: platform.MemoryStore,
    tmp_path: Any,
    daemon: Any,
    make_daemon: MakeDaemon,
) -> None:
    """A restart must not fail because the store already has tables."""
    daemon.apply_slots(8, 0)
    again = make_daemon(2)
    path = tmp_path / 'tables.json'
    path.write_text(json.dumps(daemon.make_tables(3)))
    again.task._cfg = again.task._cfg.model_copy(
        update={'tables_file': str(path)}
    )
    fut: defer.Deferred[Any] = defer.maybeDeferred(again.task.start)
    fut.addErrback(lambda failure: pytest.fail(str(failure)))
    assert again.status.version == 1
    assert b'"slots_per_upstream":8' in again.document
