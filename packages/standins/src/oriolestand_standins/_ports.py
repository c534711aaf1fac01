"""Reserve local ports for processes that are started later."""

import errno
import fcntl
import os
import pathlib
import random
import socket
import tempfile
from typing import Any

PORTS = range(15_000, 32_000)
"""Ports below those that the kernel gives to outgoing connections: one of
these could take a port between its choice and the start of its process."""

MAX_ATTEMPTS = 2_000

_locks: list[Any] = []
"""Lock files of the reserved ports; they stay open until this process ends."""


def reserve_port(host: str) -> int:
    """Return a port of an address that no process uses or has reserved.

    The port is reserved until this process ends, for its child processes.

    :raises OSError: if no free port was found.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / 'oriolestand-ports'
    folder.mkdir(mode=0o777, exist_ok=True)
    rng = random.Random(os.urandom(8))
    for _ in range(MAX_ATTEMPTS):
        port = rng.choice(PORTS)
        lock = (folder / f'{host}-{port}').open('ab')
        if _try_lock(lock) and _is_free(host, port):
            _locks.append(lock)
            return port
        lock.close()
    raise OSError(errno.EADDRINUSE, 'no free port was found')


def _try_lock(lock: Any) -> bool:
    """Lock a file unless another process, or this one, has locked it."""
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


def _is_free(host: str, port: int) -> bool:
    """Return whether no socket is bound to a port."""
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
