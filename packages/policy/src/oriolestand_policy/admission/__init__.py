"""Queue requests that find no free slot, and shed load."""

from oriolestand_policy.admission._errors import DeadlineExceededError
from oriolestand_policy.admission._errors import OverloadedError
from oriolestand_policy.admission._queue import AdmissionQueue
from oriolestand_policy.admission._queue import FifoQueue
from oriolestand_policy.admission._queue import Ticket

__all__ = [
    'AdmissionQueue',
    'DeadlineExceededError',
    'FifoQueue',
    'OverloadedError',
    'Ticket',
]
