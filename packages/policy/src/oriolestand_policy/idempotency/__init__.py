"""Handle requests that carry an idempotency key."""

from oriolestand_policy.idempotency._commit import Claim
from oriolestand_policy.idempotency._commit import Conflict
from oriolestand_policy.idempotency._commit import GroupCommit
from oriolestand_policy.idempotency._commit import KeyWrite
from oriolestand_policy.idempotency._commit import OutcomeWrite
from oriolestand_policy.idempotency._commit import WriteBatch
from oriolestand_policy.idempotency._commit import make_not_run_write
from oriolestand_policy.idempotency._decision import Decision
from oriolestand_policy.idempotency._decision import DigestBody
from oriolestand_policy.idempotency._decision import Refuse
from oriolestand_policy.idempotency._decision import Replay
from oriolestand_policy.idempotency._decision import Run
from oriolestand_policy.idempotency._decision import decide
from oriolestand_policy.idempotency._errors import DuplicateRequestError
from oriolestand_policy.idempotency._errors import KeyReusedError
from oriolestand_policy.idempotency._record import KeyRecord
from oriolestand_policy.idempotency._record import KeyState
from oriolestand_policy.idempotency._record import StoredAnswer
from oriolestand_policy.idempotency._record import VersionedRecord

__all__ = [
    'Claim',
    'Conflict',
    'Decision',
    'DigestBody',
    'DuplicateRequestError',
    'GroupCommit',
    'KeyRecord',
    'KeyReusedError',
    'KeyState',
    'KeyWrite',
    'OutcomeWrite',
    'Refuse',
    'Replay',
    'Run',
    'StoredAnswer',
    'VersionedRecord',
    'WriteBatch',
    'decide',
    'make_not_run_write',
]
