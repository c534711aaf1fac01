"""Lifecycle of batch tasks: queue, start, evict, resume and end them."""

from oriolestand_policy.batch._adoption import adopt
from oriolestand_policy.batch._effects import CheckpointRun
from oriolestand_policy.batch._effects import DropLifecycle
from oriolestand_policy.batch._effects import Effect
from oriolestand_policy.batch._effects import QueryRun
from oriolestand_policy.batch._effects import ReleaseSlots
from oriolestand_policy.batch._effects import StartRun
from oriolestand_policy.batch._effects import StopRun
from oriolestand_policy.batch._effects import WriteRow
from oriolestand_policy.batch._lifecycle import Lifecycle
from oriolestand_policy.batch._lifecycle import Timing
from oriolestand_policy.batch._messages import CancelRequested
from oriolestand_policy.batch._messages import EvictRequested
from oriolestand_policy.batch._messages import HandOverRequested
from oriolestand_policy.batch._messages import Message
from oriolestand_policy.batch._messages import RowConflicted
from oriolestand_policy.batch._messages import RowWritten
from oriolestand_policy.batch._messages import RunStatus
from oriolestand_policy.batch._messages import Tick
from oriolestand_policy.batch._messages import WorkerGone
from oriolestand_policy.batch._messages import WorkerReported
from oriolestand_policy.batch._queue import MAX_OVERTAKES
from oriolestand_policy.batch._queue import TaskQueue
from oriolestand_policy.batch._rooms import QueuedTask
from oriolestand_policy.batch._rooms import Room
from oriolestand_policy.batch._rooms import Rooms
from oriolestand_policy.batch._rooms import SingleWorker
from oriolestand_policy.batch._rooms import Workers
from oriolestand_policy.batch._row import QUEUE_SHARDS
from oriolestand_policy.batch._row import Demand
from oriolestand_policy.batch._row import TaskRow
from oriolestand_policy.batch._row import TaskState
from oriolestand_policy.batch._row import index_key
from oriolestand_policy.batch._row import queue_shard
from oriolestand_policy.batch._workers import WorkerIndex
from oriolestand_policy.batch._workers import WorkerSpec
from oriolestand_policy.batch._workers import unplaceable_reason

__all__ = [
    'CancelRequested',
    'CheckpointRun',
    'Demand',
    'DropLifecycle',
    'Effect',
    'EvictRequested',
    'HandOverRequested',
    'Lifecycle',
    'MAX_OVERTAKES',
    'Message',
    'QUEUE_SHARDS',
    'QueryRun',
    'QueuedTask',
    'ReleaseSlots',
    'Room',
    'Rooms',
    'RowConflicted',
    'RowWritten',
    'RunStatus',
    'SingleWorker',
    'StartRun',
    'StopRun',
    'TaskQueue',
    'TaskRow',
    'TaskState',
    'Tick',
    'Timing',
    'WorkerGone',
    'WorkerIndex',
    'WorkerReported',
    'WorkerSpec',
    'Workers',
    'WriteRow',
    'adopt',
    'index_key',
    'queue_shard',
    'unplaceable_reason',
]
