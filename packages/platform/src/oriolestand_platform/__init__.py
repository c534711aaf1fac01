"""Provide clients of the platform: tables, objects, instances, workers."""

from oriolestand_platform._client import PlatformClient
from oriolestand_platform._errors import ConflictError
from oriolestand_platform._errors import MalformedResponseError
from oriolestand_platform._errors import StoreFailedError
from oriolestand_platform._errors import StoreRefusedError
from oriolestand_platform._errors import StoreTimeoutError
from oriolestand_platform._errors import StoreUnavailableError
from oriolestand_platform._errors import WorkerTimeoutError
from oriolestand_platform._errors import WorkerUnreachableError
from oriolestand_platform._http import HttpPlatform
from oriolestand_platform._memory import MemoryPlatform
from oriolestand_platform._memory import MemoryStore
from oriolestand_platform._memory_worker import MemoryWorker
from oriolestand_platform._memory_worker import WorkerFaults
from oriolestand_platform._memory_workers import MemoryWorkers
from oriolestand_platform._models import Check
from oriolestand_platform._models import InstanceEntry
from oriolestand_platform._models import InstanceList
from oriolestand_platform._models import InstanceRole
from oriolestand_platform._models import InstanceState
from oriolestand_platform._models import Put
from oriolestand_platform._models import Row
from oriolestand_platform._models import Transaction
from oriolestand_platform._models import TransactionResult
from oriolestand_platform._workers import REQUEST_ADAPTER
from oriolestand_platform._workers import CheckpointRequest
from oriolestand_platform._workers import Renewal
from oriolestand_platform._workers import RenewRequest
from oriolestand_platform._workers import RunRef
from oriolestand_platform._workers import RunReport
from oriolestand_platform._workers import RunStatus
from oriolestand_platform._workers import RunUsage
from oriolestand_platform._workers import StartRequest
from oriolestand_platform._workers import StatusRequest
from oriolestand_platform._workers import StopRequest
from oriolestand_platform._workers import ThrottleRequest
from oriolestand_platform._workers import UsageRequest
from oriolestand_platform._workers import WorkerClient
from oriolestand_platform._workers import WorkerReply
from oriolestand_platform._workers import WorkerRequest

__all__ = [
    'Check',
    'CheckpointRequest',
    'ConflictError',
    'HttpPlatform',
    'InstanceEntry',
    'InstanceList',
    'InstanceRole',
    'InstanceState',
    'MalformedResponseError',
    'MemoryPlatform',
    'MemoryStore',
    'MemoryWorker',
    'MemoryWorkers',
    'PlatformClient',
    'Put',
    'REQUEST_ADAPTER',
    'RenewRequest',
    'Renewal',
    'Row',
    'RunRef',
    'RunReport',
    'RunStatus',
    'RunUsage',
    'StartRequest',
    'StatusRequest',
    'StopRequest',
    'StoreFailedError',
    'StoreRefusedError',
    'StoreTimeoutError',
    'StoreUnavailableError',
    'ThrottleRequest',
    'Transaction',
    'TransactionResult',
    'UsageRequest',
    'WorkerClient',
    'WorkerFaults',
    'WorkerReply',
    'WorkerRequest',
    'WorkerTimeoutError',
    'WorkerUnreachableError',
]
