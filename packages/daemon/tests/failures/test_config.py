"""Test with processes that accepted changes spread and never revert."""

from collections.abc import Iterator
import concurrent.futures
import json
import pathlib
from typing import Any

import click.testing
import pytest

from oriolestand_cli import __main__ as cli
from oriolestand_standins import _cluster

ENTRIES = (('e1', 'a', 'north'), ('e2', 'a', 'north'), ('e3', 'b', 'south'))
NAMES = tuple(name for name, _, _ in ENTRIES)


class System:
    """The platform and three connected daemons with version 1 in force."""

    def __init__(self, cluster: _cluster.Cluster) -> None:
        self.cluster = cluster
        self.platform = cluster.start_platform()
        for entry in ENTRIES:
            cluster.add_entry(*entry)
        for name in NAMES:
            self.start(name)
        for name in NAMES:
            cluster.wait_ready(name)
        assert self.apply('e1', 1, 0).status == 200
        self.wait_version(1)
        _cluster.wait_until(
            lambda: all(len(self.linked(n)) == len(NAMES) for n in NAMES),
            'all daemons linked',
        )

    def start(self, name: str, **settings: Any) -> None:
        """Start a daemon with the other daemons as seed peers."""
        peers = [
            f'{_cluster.HOST}:{entry.peer_port}'
            for entry in self.cluster.entries.values()
            if entry.id != name
        ]
        self.cluster.start_daemon(name, seed_peers=peers, **settings)

    def apply(self, name: str, queue: int, base: int) -> _cluster.Answer:
        """Apply tables with a queue limit."""
        return self.cluster.put_tables(name, document(queue), base)

    def tables(self, name: str) -> Any:
        """Return the status of a daemon's tables."""
        return self.cluster.status(name)['tables']

    def linked(self, name: str) -> dict[str, int]:
        """Return the versions of the instances connected to a daemon."""
        port = self.cluster.entries[name].admin_port
        found = _cluster.send_request(port, 'GET', '/instances').json()[
            'instances'
        ]
        return {
            i['instance_id']: i['version'] for i in found if i['is_connected']
        }

    def wait_version(self, version: int, names: Any = NAMES) -> None:
        """Wait until daemons have a version in force."""
        _cluster.wait_until(
            lambda: all(self.tables(n)['version'] == version for n in names),
            f'version {version} in force at {names}',
        )

    def check_no_revert(self, names: Any = NAMES) -> None:
        """Check that all have one digest and none adopted a lower version."""
        records = [self.tables(name) for name in names]
        assert len({record['digest'] for record in records}) == 1
        for record in records:
            versions = [a['version'] for a in record['adoptions']]
            assert versions == sorted(set(versions))
            assert versions[-1] == record['version']
            assert not record['conflicting_digest']


def document(queue: int) -> dict[str, Any]:
    pool = {'name': 'main', 'queue_limit': queue}
    return {'routes': [{'name': 'r', 'pool': 'main'}], 'pools': [pool]}


@pytest.fixture
def system() -> Iterator[System]:
    with _cluster.Cluster() as cluster:
        yield System(cluster)


def test_accepted_change_spreads_through_peers_while_the_store_is_down(
    system: System,
) -> None:
    """Daemons that cannot read a change from the store get it from peers."""
    others = [system.cluster.daemons[name] for name in NAMES[1:]]
    for process in others:
        process.suspend()
    assert system.apply('e1', 2, 1).status == 200
    system.cluster.set_faults(system.platform, is_down=True)
    for process in others:
        process.resume()
    system.wait_version(2)
    assert system.tables('e2')['adoptions'][-1]['source'] != 'store'
    system.cluster.set_faults(system.platform)
    _cluster.wait_until(
        lambda: all(not system.tables(n)['store_error'] for n in NAMES),
        'the store is read again',
    )
    system.check_no_revert()
    _cluster.wait_until(
        lambda: system.linked('e1') == dict.fromkeys(NAMES, 2),
        'e1 reports version 2 in force everywhere',
    )


def test_lost_answer_is_read_back(system: System) -> None:
    """An edit that was applied must be reported as accepted."""
    system.cluster.set_faults(system.platform, loses_answers=True)
    answer = system.apply('e1', 2, 1)
    assert (answer.status, answer.json()['version']) == (200, 2)
    system.wait_version(2)
    system.check_no_revert()


def test_of_two_racing_edits_one_wins_and_the_other_conflicts(
    system: System, tmp_path: pathlib.Path
) -> None:
    """No edit may silently overwrite another one."""
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = [
            pool.submit(system.apply, name, queue, 1)
            for name, queue in (('e1', 2), ('e3', 3))
        ]
        answers = [future.result() for future in futures]
    assert sorted(answer.status for answer in answers) == [200, 409]
    winner = next(a for a in answers if a.status == 200).json()
    loser = next(a for a in answers if a.status == 409).json()
    limit = winner['pools'][0]['queue_limit']
    change = f'pools.main.queue_limit: 1 -> {limit}'
    assert loser['changes'] == [change]
    system.wait_version(2)
    system.check_no_revert()
    path = tmp_path / 'stale.json'
    path.write_text(json.dumps({'version': 1, **document(9)}))
    address = f'{_cluster.HOST}:{system.cluster.entries["e2"].admin_port}'
    args = ['tables', 'apply', str(path), '-d', address]
    result = click.testing.CliRunner().invoke(cli.main, args)
    assert result.exit_code == 5
    assert change in result.stderr
    path.write_text(json.dumps({'version': 2, **document(9)}))
    result = click.testing.CliRunner().invoke(cli.main, args)
    assert result.exit_code == 0, result.stderr
    assert 'In force at 3 of 3' in result.stderr


def test_restarted_daemon_is_not_ready_until_a_peer_sends_tables(
    system: System,
) -> None:
    """A daemon without tables must not serve while the store is down."""
    system.cluster.daemons['e2'].kill()
    assert system.apply('e1', 2, 1).status == 200
    system.wait_version(2, ('e1', 'e3'))
    system.cluster.set_faults(system.platform, is_down=True)
    others = [system.cluster.daemons[name] for name in ('e1', 'e3')]
    for process in others:
        process.suspend()
    system.start('e2')
    _cluster.wait_until(
        lambda: bool(system.tables('e2')['store_error']),
        'e2 detected that the store is down',
    )
    port = system.cluster.entries['e2'].admin_port
    assert _cluster.send_request(port, 'GET', '/ready').status == 503
    for process in others:
        process.resume()
    system.cluster.wait_ready('e2')
    system.wait_version(2)
    system.check_no_revert()


def test_disconnected_daemon_with_older_tables_catches_up(
    system: System,
) -> None:
    """A daemon that missed changes must not spread its older tables."""
    cut_off = system.cluster.daemons['e3']
    cut_off.suspend()
    _cluster.wait_until(
        lambda: set(system.linked('e1')) == {'e1', 'e2'}, 'e3 is disconnected'
    )
    for base in (1, 2):
        assert system.apply('e1', base + 1, base).status == 200
    system.wait_version(3, ('e1', 'e2'))
    system.cluster.set_faults(system.platform, is_down=True)
    cut_off.resume()
    system.wait_version(3)
    system.check_no_revert()
    assert [a['version'] for a in system.tables('e3')['adoptions']][0] == 1


def test_new_peer_with_an_older_version_does_not_revert_others(
    system: System, tmp_path: pathlib.Path
) -> None:
    """A version 1 that arrives late must not replace version 2."""
    assert system.apply('e1', 2, 1).status == 200
    system.wait_version(2)
    path = tmp_path / 'tables.json'
    path.write_text(json.dumps(document(7)))
    system.cluster.add_entry('e4', 'b', 'south')
    system.start('e4', tables_file=str(path), platform={'kind': 'embedded'})
    system.wait_version(2, (*NAMES, 'e4'))
    _cluster.wait_until(
        lambda: system.linked('e1').get('e4') == 2, 'e1 reports e4 at 2'
    )
    assert [a['version'] for a in system.tables('e4')['adoptions']] == [1, 2]
    system.check_no_revert((*NAMES, 'e4'))
