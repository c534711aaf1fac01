"""Lifecycle of batch tasks: queue, start, evict, resume and end them."""

from oriolestand_policy.batch._adoption import adopt
from oriolestand_policy.batch._effects import CheckpointRun
from oriolestand_policy.batch._effects import Effect
from oriolestand_policy.batch._effects import Forget
from oriolestand_policy.batch._effects import FreeSlots
from oriolestand_policy.batch._effects import QueryRun
from oriolestand_policy.batch._effects import StartRun
from oriolestand_policy.batch._effects import StopRun
from oriolestand_policy.batch._effects import WriteRow
from oriolestand_policy.batch._lifecycle import Lifecycle
from oriolestand_policy.batch._lifecycle import Timing
from oriolestand_policy.batch._messages import CancelWanted
from oriolestand_policy.batch._messages import EvictWanted
from oriolestand_policy.batch._messages import HandOverWanted
from oriolestand_policy.batch._messages import Message
from oriolestand_policy.batch._messages import RowConflicted
from oriolestand_policy.batch._messages import RowWritten
from oriolestand_policy.batch._messages import RunStatus
from oriolestand_policy.batch._messages import Tick
from oriolestand_policy.batch._messages import WorkerAnswered
from oriolestand_policy.batch._messages import WorkerGone
from oriolestand_policy.batch._queue import Entry
from oriolestand_policy.batch._queue import TaskQueue
from oriolestand_policy.batch._row import QUEUE_SHARDS
from oriolestand_policy.batch._row import Demand
from oriolestand_policy.batch._row import TaskRow
from oriolestand_policy.batch._row import TaskState
from oriolestand_policy.batch._row import index_key
from oriolestand_policy.batch._row import queue_shard
from oriolestand_policy.batch._workers import WorkerIndex
from oriolestand_policy.batch._workers import WorkerSpec
from oriolestand_policy.batch._workers import why_never

__all__ = [
    'CancelWanted',
    'CheckpointRun',
    'Demand',
    'Effect',
    'Entry',
    'EvictWanted',
    'Forget',
    'FreeSlots',
    'HandOverWanted',
    'Lifecycle',
    'Message',
    'QUEUE_SHARDS',
    'QueryRun',
    'RowConflicted',
    'RowWritten',
    'RunStatus',
    'StartRun',
    'StopRun',
    'TaskQueue',
    'TaskRow',
    'TaskState',
    'Tick',
    'Timing',
    'WorkerAnswered',
    'WorkerGone',
    'WorkerIndex',
    'WorkerSpec',
    'WriteRow',
    'adopt',
    'index_key',
    'queue_shard',
    'why_never',
]
