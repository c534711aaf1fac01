"""Keep dialing the peers that there is no link to."""

import dataclasses
import re
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol

from oriolestand_daemon.services.peers import _link
from oriolestand_daemon.services.peers import _tls
from oriolestand_daemon.services.peers import const

if TYPE_CHECKING:
    from oriolestand_daemon.services.peers._task import PeersTask

MILLIS_PER_SECOND = 1000

_ADDRESS = re.compile(r'[0-9A-Za-z.:\[\]_-]{1,255}:[0-9]{1,5}')


@dataclasses.dataclass(slots=True, kw_only=True)
class _Target:
    """Hold an address to dial; a seed's instance id is not known."""

    instance_id: str
    delay: int = const.RECONNECT_MIN_MS
    is_connecting: bool = False
    timer: Any = None


class Dialer:
    """Connect to known addresses, with back-off, until told to stop."""

    def __init__(self, owner: 'PeersTask', tls_options: Any) -> None:
        self._owner = owner
        self._tls_options = tls_options
        self._targets: dict[str, _Target] = {}

    def add(self, address: str, instance_id: str = '') -> None:
        """Dial an address unless there is a link to it."""
        if not _ADDRESS.fullmatch(address):
            self._owner.log.warning('Address not usable', address=address)
            return
        target = self._targets.setdefault(
            address, _Target(instance_id=instance_id)
        )
        target.instance_id = instance_id or target.instance_id
        self._dial(address)

    def discard(self, address: str, instance_id: str) -> None:
        """Dial an address no more if it is still that of an instance."""
        target = self._targets.get(address)
        if target is None or target.instance_id not in ('', instance_id):
            return
        del self._targets[address]
        if target.timer is not None:
            target.timer.cancel()

    def ended(self, address: str, was_up: bool) -> None:
        """Dial again after a pause because a link ended."""
        target = self._targets.get(address)
        if target is None:
            return
        target.is_connecting = False
        if was_up:
            target.delay = const.RECONNECT_MIN_MS
        self._retry(address)

    def _retry(self, address: str) -> None:
        """Dial again after a growing pause."""
        target = self._targets.get(address)
        if target is None or target.timer is not None:
            return
        delay = target.delay
        target.delay = min(2 * delay, const.RECONNECT_MAX_MS)

        def dial() -> None:
            target.timer = None
            self._dial(address)

        target.timer = self._owner.kernel.clock.call_later(delay, dial)

    def _dial(self, address: str) -> None:
        """Connect to an address now unless that is under way or done."""
        owner = self._owner
        target = self._targets.get(address)
        if target is None or owner.is_stopped or address == owner.address:
            return
        if target.is_connecting or target.timer is not None:
            return
        if owner.is_linked(address, target.instance_id):
            return
        target.is_connecting = True
        host, _, port = address.rpartition(':')
        endpoint: Any = endpoints.HostnameEndpoint(
            owner.kernel.reactor,
            host.strip('[]'),
            int(port),
            timeout=const.CONNECT_TIMEOUT_MS / MILLIS_PER_SECOND,
        )
        factory: Any = protocol.Factory()
        factory.noisy = False
        factory.protocol = lambda: _link.Link(owner, dialed=address)
        if self._tls_options is not None:
            factory = _tls.wrap(
                self._tls_options, factory, True, owner.kernel.reactor
            )
        fut = endpoint.connect(factory)
        fut.addErrback(lambda _: self.ended(address, was_up=False))

    def stop(self) -> None:
        """Dial no more."""
        for target in self._targets.values():
            if target.timer is not None:
                target.timer.cancel()
        self._targets.clear()
