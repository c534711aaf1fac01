"""Configure structured logging; events are prefixed with a component."""

import abc
import logging
import sys
from typing import Any
from typing import Literal

import structlog

LogFormat = Literal['console', 'json']

REPEAT_LIMIT = 5
REPEAT_WINDOW_MS = 10_000


class RepeatFilter:
    """Pass each event at most ``limit`` times in a window of ten seconds.

    Events are the same if they have the same component and event text.

    >>> repeat_filter = RepeatFilter(limit=1, now_ms=lambda: 0)
    >>> repeat_filter(None, 'info', {'event': 'Link lost'})
    {'event': 'Link lost'}
    >>> repeat_filter(None, 'info', {'event': 'Link lost'})
    Traceback (most recent call last):
    ...
    structlog.exceptions.DropEvent
    """

    def __init__(self, limit: int, now_ms: Any) -> None:
        self._limit = limit
        self._now_ms = now_ms
        self._window_start = 0
        self._counts: dict[str, int] = {}

    def __call__(self, logger: Any, method: str, event: Any) -> dict[str, Any]:
        """Return the event, or raise DropEvent above the limit."""
        now = self._now_ms()
        if now - self._window_start >= REPEAT_WINDOW_MS:
            self._window_start = now
            self._counts.clear()
        key = f'{event.get("part")}{event["event"]}'
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        if count > self._limit:
            raise structlog.DropEvent
        return dict(event)


class LimitedStream(abc.ABC):
    """Stream that limits the log volume before lines are rendered."""

    @abc.abstractmethod
    def admits(self, level: str, event: str) -> bool:
        """Return whether the next line is to be rendered and written.

        ``event`` is the text of its event.
        """

    @abc.abstractmethod
    def write(self, text: str) -> int:
        """Write a line; return its length."""

    @abc.abstractmethod
    def flush(self) -> None:
        """Write the lines that are queued."""


class _AdmissionFilter:
    """Drop events that a stream does not admit."""

    def __init__(self, stream: LimitedStream) -> None:
        self._stream = stream

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        """Return the event, or raise DropEvent."""
        if not self._stream.admits(method, event['event']):
            raise structlog.DropEvent
        return event


def _add_prefix(logger: Any, method: str, event: Any) -> dict[str, Any]:
    """Prefix the event text with the component in brackets."""
    part = event.get('part', 'daemon')
    return {**event, 'event': f'[{part}] {event["event"]}'}


def configure_logs(
    log_format: LogFormat,
    level: str,
    now_ms: Any,
    stream: Any = None,
    repeat_limit: int | None = REPEAT_LIMIT,
) -> None:
    """Configure structlog to write to a stream.

    :param log_format: ``console`` for people, ``json`` for programs.
    :param level: name of the lowest level written, such as ``INFO``.
    :param now_ms: callable that returns monotonic time in milliseconds, for
        the repeat limit.
    :param stream: defaults to standard error. A ``LimitedStream`` is asked
        about each line before it is rendered.
    :param repeat_limit: how many times the same event is written in ten
        seconds; None for a stream that limits the volume itself.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if log_format == 'console':
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    admission: list[Any] = []
    if isinstance(stream, LimitedStream):
        admission.append(_AdmissionFilter(stream))
    filters: list[Any] = []
    if repeat_limit is not None:
        filters.append(RepeatFilter(repeat_limit, now_ms))
    structlog.configure(
        processors=[
            *admission,
            structlog.contextvars.merge_contextvars,
            *filters,
            _add_prefix,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelName(level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(part: str) -> Any:
    """Return the logger of a component, whose name prefixes its events."""
    return structlog.get_logger(part=part)
