"""In-process stand-ins for the row store and for workers with leases.

Everything runs on a ManualClock. Tests set faults: a daemon without
connection to the store, lost answers, writes that are applied late,
unreachable workers. The runs of all workers are recorded for checks.
"""

from oriolestand_standins.fleet._helpers import follower_of
from oriolestand_standins.fleet._helpers import owner_of
from oriolestand_standins.fleet._helpers import result_of
from oriolestand_standins.fleet._site import Daemon
from oriolestand_standins.fleet._site import FleetSimulation
from oriolestand_standins.fleet._site import make_route
from oriolestand_standins.fleet._slow_clock import SlowClock
from oriolestand_standins.fleet._store import RowStore
from oriolestand_standins.fleet._store import StoreFaults
from oriolestand_standins.fleet._workers import FleetWorker
from oriolestand_standins.fleet._workers import OrderFaults
from oriolestand_standins.fleet._workers import RunRecord

__all__ = [
    'Daemon',
    'FleetSimulation',
    'FleetWorker',
    'OrderFaults',
    'RowStore',
    'RunRecord',
    'SlowClock',
    'StoreFaults',
    'follower_of',
    'make_route',
    'owner_of',
    'result_of',
]
