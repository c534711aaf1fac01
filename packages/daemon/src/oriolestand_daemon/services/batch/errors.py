"""Define the errors of the batch service."""

from collections.abc import Sequence

import oriolestand_core as core


class InvalidJobError(core.OriolestandError):
    """Raise when a submission has problems; all are listed with paths."""

    code = 'invalid_job'
    http_status = 422

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__('the job has problems')
        self.problems = tuple(problems)


class JobExistsError(core.OriolestandError):
    """Raise when another job has the name."""

    code = 'job_exists'
    http_status = 409


class UnknownJobError(core.OriolestandError):
    """Raise when no job has a name."""

    code = 'unknown_job'
    http_status = 404
