"""Provide the service kernel, tasks, clocks, errors and logging."""

from oriolestand_core._actor import Actor
from oriolestand_core._clock import Clock
from oriolestand_core._clock import ManualClock
from oriolestand_core._clock import Millis
from oriolestand_core._clock import ReactorClock
from oriolestand_core._clock import Timer
from oriolestand_core._errors import InboxFullError
from oriolestand_core._errors import NotReadyError
from oriolestand_core._errors import OriolestandError
from oriolestand_core._errors import UnknownMessageError
from oriolestand_core._errors import UnknownServiceError
from oriolestand_core._ids import IdSource
from oriolestand_core._ids import Incarnation
from oriolestand_core._inbox import Inbox
from oriolestand_core._kernel import Kernel
from oriolestand_core._kernel import ServiceManifest
from oriolestand_core._logs import LimitedStream
from oriolestand_core._logs import configure_logs
from oriolestand_core._logs import get_logger
from oriolestand_core._task import Task
from oriolestand_core._task import handles
from oriolestand_core._verdict import Verdict

__all__ = [
    'Actor',
    'Clock',
    'IdSource',
    'Inbox',
    'InboxFullError',
    'Incarnation',
    'Kernel',
    'LimitedStream',
    'ManualClock',
    'Millis',
    'NotReadyError',
    'OriolestandError',
    'ReactorClock',
    'ServiceManifest',
    'Task',
    'Timer',
    'UnknownMessageError',
    'UnknownServiceError',
    'Verdict',
    'configure_logs',
    'get_logger',
    'handles',
]
