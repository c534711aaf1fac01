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
"""High, because requests leave few cycles and collections delay requests."""


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
    """Run the reactor until the daemon has stopped; return the exit status."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    daemon = _daemon.Daemon(cfg, reactor)
    core.configure_logs(cfg.log.format, cfg.log.level, daemon.kernel.clock.now)
    log = core.get_logger('daemon')
    status = [EXIT_OK]

    def on_signal() -> None:
        if daemon.is_stopping:
            daemon.stop_waiting('received a second signal')
            return
        fut = defer.ensureDeferred(daemon.shut_down())
        fut.addCallbacks(on_shutdown_done, on_shutdown_failed)
        fut.addBoth(lambda _: reactor.stop())

    def on_shutdown_done(is_clean: bool) -> None:
        status[0] = EXIT_OK if is_clean else EXIT_FAILED

    def on_shutdown_failed(reason: Any) -> None:
        log.error('Shutdown failed', reason=reason.getErrorMessage())
        status[0] = EXIT_FAILED

    def on_start_failed(reason: Any) -> None:
        log.error('Start failed', reason=reason.getErrorMessage())
        status[0] = EXIT_FAILED
        reactor.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(on_signal))
    reactor.callWhenRunning(
        lambda: daemon.start().addCallbacks(
            lambda _: _tune_gc(), on_start_failed
        )
    )
    reactor.run(installSignalHandlers=False)
    return status[0]


def _tune_gc() -> None:
    """Exclude long-lived objects from collections and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


if __name__ == '__main__':
    main()
