"""In-memory state of jobs."""

import dataclasses
import json

from oriolestand_fleet.messages import jobs as messages
from oriolestand_policy import scheduling

ENDED_STATES = {
    'completed': messages.JobState.COMPLETED,
    'failed': messages.JobState.FAILED,
    'cancelled': messages.JobState.CANCELLED,
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
        decoded = json.loads(body)
        self.body = body
        self.route = decoded['route']
        self.is_timed = bool(decoded.get('repeat_count'))

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
    def state(self) -> messages.JobState:
        """Return the state that is reported to callers."""
        if self.outcome is not None:
            return ENDED_STATES[self.outcome]
        if self.is_cancelled:
            return messages.JobState.CANCELLED
        if self.has_started:
            return messages.JobState.RUNNING
        return messages.JobState.QUEUED

    def stored_job(self) -> messages.StoredJob | None:
        """Return the decoded job, or None if its job row is missing."""
        if self.body is None:
            return None
        return messages.StoredJob(
            id=self.id,
            spec=scheduling.job_from_dict(json.loads(self.body)),
            progress=json.loads(self.record) if self.record else None,
            record_version=self.record_version,
            is_cancelled=self.is_cancelled,
        )
