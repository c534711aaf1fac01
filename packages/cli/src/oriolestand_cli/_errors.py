"""Errors and exit codes of the command-line client."""

from collections.abc import Sequence
import enum

import oriolestand_core as core


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    INVALID = 4
    CONFLICT = 5
    UNKNOWN = 6
    NOT_IN_FORCE = 7
    NOT_FOUND = 8
    DIFFERS = 10


EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  the daemon or the store failed; nothing was changed
  2  wrong usage of the command line
  3  no daemon could be reached
  4  a file or an edit is invalid; all problems are listed
  5  the tables changed since the version that was edited, or the failure
     domain is evacuated already
  6  unknown whether the edit took effect
  7  accepted, but not in force everywhere before the time-out
  8  no such entry, version, trace or failure domain
  10 diff found differences
"""


class CommandError(core.OriolestandError):
    """Ends a command with an exit code and a list of details."""

    code = 'command_failed'

    def __init__(
        self,
        message: str,
        exit_code: ExitCode = ExitCode.FAILED,
        details: Sequence[str] = (),
        verdict: core.Verdict | None = None,
        code: str = '',
    ) -> None:
        super().__init__(message, verdict)
        self.exit_code = exit_code
        self.details = tuple(details)
        if code:
            self.code = code


class UnreachableError(CommandError):
    """No daemon could be reached; nothing was sent."""

    code = 'daemon_unreachable'


class AnswerLostError(CommandError):
    """A request was sent to a daemon, but no complete answer arrived."""

    code = 'answer_lost'
    verdict = core.Verdict.MAY_HAVE_RUN
