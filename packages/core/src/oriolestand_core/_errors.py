"""Define the base of all errors and the errors of the kernel."""

from collections.abc import Mapping

from oriolestand_core._verdict import Verdict


class OriolestandError(Exception):
    """Carry a stable code, the values concerned and a verdict.

    Subclasses set ``code`` and, where it differs, ``verdict`` and
    ``http_status``.

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
        """Return the code, the message and the values concerned."""
        if not self.values:
            return f'{self.code}: {self.message}'
        pairs = ', '.join(f'{k}={v}' for k, v in self.values.items())
        return f'{self.code}: {self.message} ({pairs})'


class InboxFullError(OriolestandError):
    """Raise when a task's inbox holds as many messages as it may."""

    code = 'inbox_full'
    http_status = 503


class NotReadyError(OriolestandError):
    """Raise in set-up when something needed is not there yet."""

    code = 'not_ready'
    http_status = 503


class UnknownServiceError(OriolestandError):
    """Raise when no service has the name that a message is sent to."""

    code = 'unknown_service'


class UnknownMessageError(OriolestandError):
    """Raise when a task has no handler for a message's type."""

    code = 'unknown_message'
