"""Define the base class of all errors and the errors of the kernel."""

from collections.abc import Mapping

from oriolestand_core._verdict import Verdict


class OriolestandError(Exception):
    """Base class of all errors of the project.

    An error has a code that is stable across releases, a verdict on whether
    the failed request may have run, and keyword values that give details.
    Subclasses set ``code`` and, where the defaults do not apply, ``verdict``
    and ``http_status``.

    >>> str(OriolestandError('no such pool', pool='quick'))
    'internal_error: no such pool (pool=quick)'
    """

    code = 'internal_error'
    verdict = Verdict.DID_NOT_RUN
    http_status = 500

    def __init__(
        self,
        message: str,
        verdict: Verdict | None = None,
        **values: object,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.values: Mapping[str, object] = values
        if verdict is not None:
            self.verdict = verdict

    def __str__(self) -> str:
        """Return the code, the message and the attached values."""
        if not self.values:
            return f'{self.code}: {self.message}'
        pairs = ', '.join(f'{k}={v}' for k, v in self.values.items())
        return f'{self.code}: {self.message} ({pairs})'


class InboxFullError(OriolestandError):
    """Raised when a message is posted to a task whose inbox is full."""

    code = 'inbox_full'
    http_status = 503


class NotReadyError(OriolestandError):
    """Raised when a service is stopped or cannot be set up yet."""

    code = 'not_ready'
    http_status = 503


class UnknownServiceError(OriolestandError):
    """Raised for unknown services, unmet dependencies, duplicate names."""

    code = 'unknown_service'


class UnknownMessageError(OriolestandError):
    """Raised when a task has no handler for a message's type."""

    code = 'unknown_message'
