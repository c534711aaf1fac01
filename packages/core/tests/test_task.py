"""Test the delivery of messages and events to tasks."""

import dataclasses

import pytest

import oriolestand_core as core


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Request the echo of a value."""

    value: int


class Echo(core.Task):
    """Echo pings, and post a second ping while handling the first."""

    inbox_limit = 2

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, 'echo')
        self.received: list[int] = []

    @core.handles(Ping)
    def _on_ping(self, msg: Ping) -> int:
        if msg.value == 1:
            self.post(Ping(value=2))
            self.received.append(0)
        self.received.append(msg.value)
        return msg.value


@pytest.fixture
def kernel() -> core.Kernel:
    return core.Kernel(core.ManualClock(), core.IdSource(seed=1))


def test_handlers_are_never_nested(kernel: core.Kernel) -> None:
    """A message that a handler posts must be handled after it returns."""
    echo = Echo(kernel)
    echo.post(Ping(value=1))
    assert echo.received == [0, 1, 2]


def test_full_inbox_raises_at_the_sender(kernel: core.Kernel) -> None:
    """The error must tell the sender that its message was not handled."""
    echo = Echo(kernel)
    kernel.run_queue._is_draining = True
    echo.post(Ping(value=3))
    echo.post(Ping(value=3))
    with pytest.raises(core.InboxFullError) as caught:
        echo.post(Ping(value=3))
    assert caught.value.verdict is core.Verdict.DID_NOT_RUN


def test_state_events_reach_late_subscribers(kernel: core.Kernel) -> None:
    """A late subscriber must receive the latest state event."""
    kernel.publish(Ping(value=4), is_state=True)
    echo = Echo(kernel)
    kernel.subscribe(Ping, echo)
    assert echo.received == [4]
