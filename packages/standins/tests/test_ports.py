"""Tests of the ports that are reserved for processes of tests."""

import multiprocessing

from oriolestand_standins import _ports

HOST = '127.0.0.1'
COUNT = 150


def reserve_many(pipe):
    pipe.send([_ports.reserve_port(HOST) for _ in range(COUNT)])
    pipe.recv()


def test_two_processes_never_get_the_same_port():
    # Guards against set-ups that never get ready: two test runs, or a test
    # and an outgoing connection, took the same port.
    context = multiprocessing.get_context('spawn')
    runs = []
    for _ in range(3):
        ours, theirs = context.Pipe()
        process = context.Process(target=reserve_many, args=(theirs,))
        process.start()
        runs.append((process, ours))
    ports = [port for _, pipe in runs for port in pipe.recv()]
    for process, pipe in runs:
        pipe.send(None)
        process.join()
    assert len(set(ports)) == 3 * COUNT
    assert all(port in _ports.PORTS for port in ports)
