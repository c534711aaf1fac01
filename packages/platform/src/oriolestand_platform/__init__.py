"""Provide clients of the platform: tables, objects, instances, workers."""

from oriolestand_platform._client import PlatformClient
from oriolestand_platform._errors import ConflictError
from oriolestand_platform._errors import MalformedAnswerError
from oriolestand_platform._errors import StoreFailedError
from oriolestand_platform._errors import StoreRefusedError
from oriolestand_platform._errors import StoreTimeoutError
from oriolestand_platform._errors import StoreUnavailableError
from oriolestand_platform._http import HttpPlatform
from oriolestand_platform._memory import MemoryPlatform
from oriolestand_platform._memory import MemoryStore
from oriolestand_platform._models import Check
from oriolestand_platform._models import InstanceEntry
from oriolestand_platform._models import InstanceList
from oriolestand_platform._models import InstanceRole
from oriolestand_platform._models import InstanceState
from oriolestand_platform._models import Put
from oriolestand_platform._models import Row
from oriolestand_platform._models import Transaction
from oriolestand_platform._models import TransactionResult

__all__ = [
    'Check',
    'ConflictError',
    'HttpPlatform',
    'InstanceEntry',
    'InstanceList',
    'InstanceRole',
    'InstanceState',
    'MalformedAnswerError',
    'MemoryPlatform',
    'MemoryStore',
    'PlatformClient',
    'Put',
    'Row',
    'StoreFailedError',
    'StoreRefusedError',
    'StoreTimeoutError',
    'StoreUnavailableError',
    'Transaction',
    'TransactionResult',
]
