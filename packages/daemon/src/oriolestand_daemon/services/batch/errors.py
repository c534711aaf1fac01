"""Errors of the batch service."""

from collections.abc import Sequence

import oriolestand_core as core


class InvalidJobError(core.OriolestandError):
    """Raised for an invalid submission; lists each problem with its path."""

    code = 'invalid_job'
    http_status = 422

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__('the job is invalid')
        self.problems = tuple(problems)


class JobExistsError(core.OriolestandError):
    """Raised when a different job already has the name."""

    code = 'job_exists'
    http_status = 409


class UnknownJobError(core.OriolestandError):
    """Raised when no job has the requested name."""

    code = 'unknown_job'
    http_status = 404
