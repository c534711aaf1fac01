"""Stand in for a row store and leased workers, in one process.

Everything runs on a ManualClock. Faults are set by tests: a daemon cut off,
answers lost, writes applied late, workers out of reach. What workers did is
kept as a history for checks.
"""

from oriolestand_standins.fleet._helpers import follower_of
from oriolestand_standins.fleet._helpers import owner_of
from oriolestand_standins.fleet._helpers import result_of
from oriolestand_standins.fleet._site import Daemon
from oriolestand_standins.fleet._site import Site
from oriolestand_standins.fleet._store import RowStore
from oriolestand_standins.fleet._store import StoreFaults
from oriolestand_standins.fleet._workers import FleetWorker
from oriolestand_standins.fleet._workers import OrderFaults
from oriolestand_standins.fleet._workers import RunRecord

__all__ = [
    'Daemon',
    'FleetWorker',
    'OrderFaults',
    'RowStore',
    'RunRecord',
    'Site',
    'StoreFaults',
    'follower_of',
    'owner_of',
    'result_of',
]
