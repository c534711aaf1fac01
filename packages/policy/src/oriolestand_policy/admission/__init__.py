"""Queue requests while no slot is free, and shed excess load."""

from oriolestand_policy.admission._errors import DeadlineExceededError
from oriolestand_policy.admission._errors import OverloadedError
from oriolestand_policy.admission._fair import FairQueue
from oriolestand_policy.admission._fifo import FifoQueue
from oriolestand_policy.admission._fifo import UnsharedQueue
from oriolestand_policy.admission._queue import AdmissionQueue
from oriolestand_policy.admission._queue import Ticket
from oriolestand_policy.admission._shares import BATCH_FIRST
from oriolestand_policy.admission._shares import TAIL_FIRST
from oriolestand_policy.admission._shares import ShareConfig

__all__ = [
    'AdmissionQueue',
    'BATCH_FIRST',
    'DeadlineExceededError',
    'FairQueue',
    'FifoQueue',
    'OverloadedError',
    'ShareConfig',
    'TAIL_FIRST',
    'Ticket',
    'UnsharedQueue',
]
