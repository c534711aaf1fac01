"""Command line that runs a stand-in as a separate process."""

import sys
from typing import Any

import click

from oriolestand_standins import _platform
from oriolestand_standins import _upstream


@click.group()
def main() -> None:
    """Run a stand-in of the platform or of an upstream."""


def _serve(site: Any, host: str, port: int) -> None:
    """Listen, print the address and serve until the process is stopped."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    listener = reactor.listenTCP(port, site, interface=host)
    click.echo(f'listening on {host}:{listener.getHost().port}')
    sys.stdout.flush()
    reactor.run()


@main.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0, type=int)
def platform(host: str, port: int) -> None:
    """Serve the tables, objects and instance list of the platform."""
    from twisted.internet import reactor

    _serve(_platform.PlatformSite(reactor), host, port)


@main.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', default=0, type=int)
@click.option('--name', default='upstream')
@click.option('--slots', default=_upstream.DEFAULT_SLOTS, type=int)
def upstream(host: str, port: int, name: str, slots: int) -> None:
    """Serve requests as an upstream with a number of slots."""
    from twisted.internet import reactor

    _serve(_upstream.UpstreamSite(reactor, name, slots), host, port)


if __name__ == '__main__':
    main()
