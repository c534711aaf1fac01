"""Provide the kernel, which runs services and delivers events to them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import importlib
import pathlib
from typing import Any

import msgspec
from twisted.internet import defer

from oriolestand_core import _actor
from oriolestand_core import _clock
from oriolestand_core import _errors
from oriolestand_core import _ids
from oriolestand_core import _logs

SETUP_RETRY_MIN_MS = 100
SETUP_RETRY_MAX_MS = 5_000


class ServiceManifest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Describe a service: its name and the services it depends on."""

    name: str
    depends_on: tuple[str, ...] = ()
    requires: tuple[str, ...] = ()


def sort_manifests(
    manifests: Iterable[ServiceManifest],
    loaded: Collection[str] = (),
) -> list[ServiceManifest]:
    """Return the manifests with each service after its dependencies.

    :param loaded: names of services that are loaded already.
    :raises UnknownServiceError: if a dependency is missing or circular.

    >>> grants = ServiceManifest(name='grants', depends_on=('platform',))
    >>> platform = ServiceManifest(name='platform')
    >>> [m.name for m in sort_manifests([grants, platform])]
    ['platform', 'grants']
    """
    unsorted = {manifest.name: manifest for manifest in manifests}
    ordered: dict[str, ServiceManifest] = {}
    while unsorted:
        ready = sorted(
            name
            for name, manifest in unsorted.items()
            if all(
                dep in ordered or dep in loaded for dep in manifest.depends_on
            )
        )
        if not ready:
            raise _errors.UnknownServiceError(
                'dependencies are missing or form a cycle',
                services=sorted(unsorted),
            )
        for name in ready:
            ordered[name] = unsorted.pop(name)
    return list(ordered.values())


class Kernel:
    """Load, connect and stop the services of a process.

    The kernel also provides the clock, the id source and the run queue that
    services share. Services are imported dynamically: ``load`` takes the
    name of a package that has a subpackage for each service.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        ids: _ids.IdSource | None = None,
        reactor: Any = None,
    ) -> None:
        self.clock = clock
        self.reactor = reactor
        self.ids = ids or _ids.IdSource()
        self.incarnation = self.ids.incarnation()
        self.run_queue = _actor.RunQueue()
        self.log = _logs.get_logger('kernel')
        self._tasks: dict[str, _actor.Actor] = {}
        self._subscribers: dict[type, list[_actor.Actor]] = {}
        self._latest_state_events: dict[type, object] = {}

    @property
    def services(self) -> Mapping[str, _actor.Actor]:
        """Return the tasks by service name, in order of set-up."""
        return self._tasks

    def register(self, name: str, task: _actor.Actor) -> None:
        """Register a task; raise UnknownServiceError if the name is in use."""
        if name in self._tasks:
            raise _errors.UnknownServiceError(
                'a service with this name is already registered', name=name
            )
        self._tasks[name] = task

    def find(self, name: str) -> _actor.Actor:
        """Return the task of a service, or raise UnknownServiceError."""
        try:
            return self._tasks[name]
        except KeyError:
            raise _errors.UnknownServiceError(
                'no service has this name', name=name
            ) from None

    def post(self, name: str, message: object) -> None:
        """Send a message to a service without expecting a reply."""
        self.find(name).post(message)

    def ask(self, name: str, message: object) -> 'defer.Deferred[Any]':
        """Send a request to a service; the Deferred fires with the reply."""
        try:
            return self.find(name).ask(message)
        except _errors.UnknownServiceError:
            return defer.fail()

    def subscribe(self, event_type: type, task: _actor.Actor) -> None:
        """Deliver events of a type to a task.

        If a state event of the type was published before, the latest one is
        delivered at once.
        """
        self._subscribers.setdefault(event_type, []).append(task)
        if event_type in self._latest_state_events:
            task.post(self._latest_state_events[event_type])

    def publish(self, event: object, *, is_state: bool = False) -> None:
        """Post an event to all subscribers of its type.

        An event is dropped for subscribers whose inbox is full. A state
        event supersedes the previous one of its type, so these subscribers
        are up to date again after the next one. The latest state event is
        kept for later subscribers.
        """
        if is_state:
            self._latest_state_events[type(event)] = event
        for task in self._subscribers.get(type(event), ()):
            try:
                task.post(event)
            except _errors.InboxFullError as exc:
                self.log.warning('Event dropped', reason=str(exc))

    async def load(
        self,
        package: str,
        names: Iterable[str],
        cfg: object,
    ) -> None:
        """Set up and start services of a package in dependency order."""
        manifests = [read_manifest(package, name) for name in names]
        for manifest in sort_manifests(manifests, self._tasks):
            module = importlib.import_module(f'{package}.{manifest.name}')
            task = await self._set_up(manifest.name, module.setup, cfg)
            if manifest.name not in self._tasks:
                self.register(manifest.name, task)
            await defer.maybeDeferred(task.start)
            self.log.debug('Service started', service=manifest.name)

    async def _set_up(
        self,
        name: str,
        setup: Callable[['Kernel', Any], Any],
        cfg: object,
    ) -> Any:
        """Call a set-up function, with back-off while it is not ready."""
        delay = SETUP_RETRY_MIN_MS
        while True:
            try:
                task = await defer.maybeDeferred(setup, self, cfg)
            except _errors.NotReadyError as exc:
                self.log.info(
                    'Service not ready', service=name, reason=str(exc)
                )
                await self.sleep(delay)
                delay = min(2 * delay, SETUP_RETRY_MAX_MS)
                continue
            return task

    def sleep(self, delay: int) -> 'defer.Deferred[None]':
        """Return a Deferred that fires after ``delay`` milliseconds."""
        fut: defer.Deferred[None] = defer.Deferred()
        self.clock.call_later(delay, lambda: fut.callback(None))
        return fut

    async def stop(self) -> None:
        """Stop all services in the reverse order of set-up."""
        for name in reversed(list(self._tasks)):
            await defer.maybeDeferred(self._tasks[name].stop)
            self.log.debug('Service stopped', service=name)
        self._tasks.clear()


def read_manifest(package: str, name: str) -> ServiceManifest:
    """Return the manifest of a service without importing its code."""
    # importlib.resources would read packages in archives too, but its import
    # takes several milliseconds.
    folder = pathlib.Path(importlib.import_module(package).__path__[0])
    text = folder.joinpath(name, 'manifest.json').read_bytes()
    return msgspec.json.decode(text, type=ServiceManifest)
