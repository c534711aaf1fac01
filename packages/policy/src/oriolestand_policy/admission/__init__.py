"""Queue requests while no slot is free, and shed excess load."""

from oriolestand_policy.admission._errors import DeadlineExceededError
from oriolestand_policy.admission._errors import OverloadedError
from oriolestand_policy.admission._fair import FairQueue
from oriolestand_policy.admission._fifo import FifoQueue
from oriolestand_policy.admission._fifo import UnsharedQueue
from oriolestand_policy.admission._queue import AdmissionQueue
from oriolestand_policy.admission._queue import Ticket
from oriolestand_policy.admission._shares import LATENCY_SHARES
from oriolestand_policy.admission._shares import THROUGHPUT_SHARES
from oriolestand_policy.admission._shares import ShareConfig

__all__ = [
    'AdmissionQueue',
    'DeadlineExceededError',
    'FairQueue',
    'FifoQueue',
    'LATENCY_SHARES',
    'OverloadedError',
    'ShareConfig',
    'THROUGHPUT_SHARES',
    'Ticket',
    'UnsharedQueue',
]
