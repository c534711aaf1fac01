"""In-memory state of jobs."""

import dataclasses
import json

from oriolestand_fleet.messages import jobs as contracts
from oriolestand_policy import scheduling

ENDED_STATES = {
    'completed': contracts.JobState.COMPLETED,
    'failed': contracts.JobState.FAILED,
    'cancelled': contracts.JobState.CANCELLED,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """The latest received rows of one job and the fields decoded from them."""

    id: str
    body: bytes | None = None
    route: str = ''
    is_timed: bool = False
    record: bytes | None = None
    record_version: int = 0
    is_cancelled: bool = False
    outcome: str | None = None
    has_started: bool = False

    def set_body(self, body: bytes) -> None:
        """Apply the job row, which holds the caller's request."""
        plain = json.loads(body)
        self.body = body
        self.route = plain['route']
        self.is_timed = bool(plain.get('repeat_count'))

    def set_record(self, record: bytes | None, version: int) -> None:
        """Apply the record row, which the owner of the cell writes."""
        if version < self.record_version:
            return
        self.record = record
        self.record_version = version if record is not None else 0
        progress = json.loads(record) if record is not None else {}
        self.outcome = progress.get('outcome')
        self.has_started = bool(progress.get('started'))

    @property
    def state(self) -> contracts.JobState:
        """Return the state that is reported to callers."""
        if self.outcome is not None:
            return ENDED_STATES[self.outcome]
        if self.is_cancelled:
            return contracts.JobState.CANCELLED
        if self.has_started:
            return contracts.JobState.RUNNING
        return contracts.JobState.QUEUED

    def stored_job(self) -> contracts.StoredJob | None:
        """Return the decoded job, or None if its job row is missing."""
        if self.body is None:
            return None
        return contracts.StoredJob(
            id=self.id,
            spec=scheduling.job_from_dict(json.loads(self.body)),
            progress=json.loads(self.record) if self.record else None,
            record_version=self.record_version,
            is_cancelled=self.is_cancelled,
        )
