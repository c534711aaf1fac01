"""Connect to peers and reconnect with back-off."""

import dataclasses
import re
from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol

from oriolestand_daemon.services.peers import _link
from oriolestand_daemon.services.peers import _owner
from oriolestand_daemon.services.peers import _tls
from oriolestand_daemon.services.peers import const

MILLIS_PER_SECOND = 1000

_ADDRESS = re.compile(r'[0-9A-Za-z.:\[\]_-]{1,255}:[0-9]{1,5}')


@dataclasses.dataclass(slots=True, kw_only=True)
class _DialTarget:
    """The state of dialing one address.

    ``instance_id`` is empty for a seed peer, whose id is not known yet;
    ``delay_ms`` is the next back-off.
    """

    instance_id: str
    delay_ms: int = const.RECONNECT_MIN_MS
    is_connecting: bool = False
    timer: Any = None


class Dialer:
    """Connects and reconnects to each added address until it is removed."""

    def __init__(
        self, owner: _owner.LinkOwner[_link.Link], tls_options: Any
    ) -> None:
        self._owner = owner
        self._tls_options = tls_options
        self._targets: dict[str, _DialTarget] = {}

    def add(self, address: str, instance_id: str = '') -> None:
        """Dial an address unless there is a link to it already.

        A malformed address is logged and ignored.
        """
        if not _ADDRESS.fullmatch(address):
            self._owner.log.warning(
                'Peer address is malformed', address=address
            )
            return
        target = self._targets.setdefault(
            address, _DialTarget(instance_id=instance_id)
        )
        target.instance_id = instance_id or target.instance_id
        self._dial(address)

    def remove(self, address: str, instance_id: str) -> None:
        """Stop dialing an address.

        Do nothing if the address belongs to another instance by now.
        """
        target = self._targets.get(address)
        if target is None or target.instance_id not in ('', instance_id):
            return
        del self._targets[address]
        if target.timer is not None:
            target.timer.cancel()

    def on_link_ended(self, address: str, was_active: bool) -> None:
        """Schedule a reconnect after a link or an attempt has ended."""
        target = self._targets.get(address)
        if target is None:
            return
        target.is_connecting = False
        if was_active:
            target.delay_ms = const.RECONNECT_MIN_MS
        self._schedule_retry(address)

    def _schedule_retry(self, address: str) -> None:
        """Schedule the next attempt and double the back-off."""
        target = self._targets.get(address)
        if target is None or target.timer is not None:
            return
        delay_ms = target.delay_ms
        target.delay_ms = min(2 * delay_ms, const.RECONNECT_MAX_MS)

        def dial() -> None:
            target.timer = None
            self._dial(address)

        target.timer = self._owner.kernel.clock.call_later(delay_ms, dial)

    def _dial(self, address: str) -> None:
        """Connect now unless connected, connecting or backing off."""
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
        factory.protocol = lambda: _link.Link(owner, dialed_address=address)
        if self._tls_options is not None:
            factory = _tls.wrap(
                self._tls_options, factory, True, owner.kernel.reactor
            )
        fut = endpoint.connect(factory)
        fut.addErrback(lambda _: self.on_link_ended(address, was_active=False))

    def stop(self) -> None:
        """Stop dialing all addresses."""
        for target in self._targets.values():
            if target.timer is not None:
                target.timer.cancel()
        self._targets.clear()
