"""Provide the interface of the task that an attempt reports to."""

import abc
from typing import Any

import oriolestand_core as core
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.upstreams import _pool


class AttemptOwner(core.Task, abc.ABC):
    """The task that runs attempts and receives their messages."""

    abort_grace_ms: int
    log: Any
    pool: _pool.ConnectionPool

    @abc.abstractmethod
    def remove_attempt(self, xid: int) -> None:
        """Stop tracking an attempt that has ended."""

    @abc.abstractmethod
    def report_span(self, span: telemetry.SpanEnded) -> None:
        """Report the span of an attempt to telemetry, if loaded."""
