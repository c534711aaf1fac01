"""Dispatch requests: send, forward, queue or refuse each of them."""

from oriolestand_policy.dispatching._dispatcher import Dispatcher
from oriolestand_policy.dispatching._effects import Effect
from oriolestand_policy.dispatching._effects import Evict
from oriolestand_policy.dispatching._effects import Fail
from oriolestand_policy.dispatching._effects import Finish
from oriolestand_policy.dispatching._effects import ForwardToPeer
from oriolestand_policy.dispatching._effects import RequestEffect
from oriolestand_policy.dispatching._effects import SendToUpstream
from oriolestand_policy.dispatching._effects import TaskSlotsAvailable
from oriolestand_policy.dispatching._effects import Throttle
from oriolestand_policy.dispatching._outcome import Outcome
from oriolestand_policy.dispatching._state import PeerLoad
from oriolestand_policy.dispatching._state import PoolState
from oriolestand_policy.dispatching._state import Reservation
from oriolestand_policy.placement import UpstreamState

__all__ = [
    'Dispatcher',
    'Effect',
    'Evict',
    'Fail',
    'Finish',
    'ForwardToPeer',
    'Outcome',
    'PeerLoad',
    'PoolState',
    'RequestEffect',
    'Reservation',
    'SendToUpstream',
    'TaskSlotsAvailable',
    'Throttle',
    'UpstreamState',
]
