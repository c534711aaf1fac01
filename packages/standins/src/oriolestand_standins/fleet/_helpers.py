"""Ask what tests want to know of daemons and Deferreds."""

from collections.abc import Iterable

from twisted.internet import defer

from oriolestand_standins.fleet import _site


def owner_of(daemons: Iterable[_site.Daemon]) -> _site.Daemon:
    """Return the daemon that owns the cell."""
    owners = [daemon for daemon in daemons if daemon.is_owner]
    assert len(owners) == 1
    return owners[0]


def follower_of(daemons: Iterable[_site.Daemon]) -> _site.Daemon:
    """Return a daemon that does not own the cell."""
    return next(daemon for daemon in daemons if not daemon.is_owner)


def result_of(fut: 'defer.Deferred[object]') -> object:
    """Return the result or the error of a Deferred that has fired."""
    found: list[object] = []
    fut.addBoth(found.append)
    assert found, 'no result yet'
    result = found[0]
    return getattr(result, 'value', result)
