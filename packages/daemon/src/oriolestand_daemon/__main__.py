"""Run the daemon from the command line."""

import gc
import pathlib
import signal
import sys
from typing import Any

import click
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_daemon import _daemon
from oriolestand_daemon import settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

GC_THRESHOLDS = (20_000, 20, 50)
"""Collect rarely: requests leave few cycles, and a pause is tail latency."""


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help='JSON file with the settings of this instance.',
)
@click.option('--check', is_flag=True, help='Only check the settings.')
def main(path: pathlib.Path, check: bool) -> None:
    """Run one entry instance of oriolestand."""
    try:
        cfg = settings.read_settings(path)
    except settings.SettingsError as exc:
        for problem in exc.problems:
            click.echo(f'{path}: {problem}', err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo('The settings are valid.')
        return
    sys.exit(run(cfg))


def run(cfg: settings.Settings) -> int:
    """Run the reactor until the daemon has stopped; return a status."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    daemon = _daemon.Daemon(cfg, reactor)
    core.configure_logs(cfg.log.format, cfg.log.level, daemon.kernel.clock.now)
    log = core.get_logger('daemon')
    status = [EXIT_OK]

    def stop() -> None:
        if daemon.is_stopping:
            daemon.cut_wait('a second signal came')
            return
        fut = defer.ensureDeferred(daemon.shut_down())
        fut.addCallbacks(end, fail_to_stop)
        fut.addBoth(lambda _: reactor.stop())

    def end(is_whole: bool) -> None:
        status[0] = EXIT_OK if is_whole else EXIT_FAILED

    def fail_to_stop(reason: Any) -> None:
        log.error('Shutdown failed', reason=reason.getErrorMessage())
        status[0] = EXIT_FAILED

    def fail(reason: Any) -> None:
        log.error('Start failed', reason=reason.getErrorMessage())
        status[0] = EXIT_FAILED
        reactor.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))
    reactor.callWhenRunning(
        lambda: daemon.start().addCallbacks(lambda _: _tune_gc(), fail)
    )
    reactor.run(installSignalHandlers=False)
    return status[0]


def _tune_gc() -> None:
    """Leave what lives as long as the process out of collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


if __name__ == '__main__':
    main()
