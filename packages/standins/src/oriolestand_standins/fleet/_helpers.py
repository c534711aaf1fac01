"""Test helpers that find daemons by role and read Deferreds."""

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
    results: list[object] = []
    fut.addBoth(results.append)
    assert results, 'the Deferred has not fired yet'
    result = results[0]
    return getattr(result, 'value', result)
