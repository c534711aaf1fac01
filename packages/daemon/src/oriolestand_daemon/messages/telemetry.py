"""Define the messages of the telemetry service and the trace context."""

from collections.abc import Callable
import dataclasses
import random
import re

import oriolestand_core as core

TRACE_ID_BITS = 128
SPAN_ID_BITS = 64
SAMPLED_FLAG = 0x01

_TRACEPARENT = re.compile(
    r'([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TraceContext:
    """The ids of a span and its trace in hex, as in W3C traceparent."""

    trace_id: str
    span_id: str
    is_sampled: bool

    def __str__(self) -> str:
        """Return the value of a traceparent header."""
        return f'00-{self.trace_id}-{self.span_id}-{int(self.is_sampled):02x}'

    def child(self) -> 'TraceContext':
        """Return the context of a new span under this one."""
        return dataclasses.replace(self, span_id=_span_id())


def _span_id() -> str:
    """Return a random span id; all zeros are not allowed."""
    return f'{random.getrandbits(SPAN_ID_BITS) or 1:016x}'


def parse_traceparent(text: str) -> TraceContext | None:
    """Return the context of a traceparent header, None if it is invalid.

    >>> text = f'00-{"a" * 32}-{"b" * 16}-01'
    >>> str(parse_traceparent(text)) == text
    True
    >>> parse_traceparent('00-0-0-01') is None
    True
    """
    found = _TRACEPARENT.fullmatch(text)
    if found is None:
        return None
    version, trace_id, span_id, flags, rest = found.groups()
    if version == 'ff' or (version == '00' and rest):
        return None
    if not int(trace_id, 16) or not int(span_id, 16):
        return None
    return TraceContext(
        trace_id=trace_id,
        span_id=span_id,
        is_sampled=bool(int(flags, 16) & SAMPLED_FLAG),
    )


def sampled_child(traceparent: str) -> TraceContext | None:
    """Return a new child of a sampled parent, None if it is not sampled."""
    # Most requests are not sampled, which the trailing flags show without
    # parsing.
    if not traceparent or traceparent[-2:] == '00':
        return None
    parent = parse_traceparent(traceparent)
    if parent is None or not parent.is_sampled:
        return None
    return parent.child()


def parent_id(traceparent: str) -> str:
    """Return the span id of a traceparent, empty if it is invalid."""
    context = parse_traceparent(traceparent) if traceparent else None
    return context.span_id if context is not None else ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestTrace:
    """The trace of a request at the daemon that received it.

    ``context`` is None if the request is not sampled. ``traceparent`` is the
    header value to forward.
    """

    context: TraceContext | None = None
    parent_id: str = ''
    traceparent: str = ''


_UNSAMPLED = RequestTrace()


class Sampler:
    """Decides which requests are traced.

    :param rate: fraction of the requests without a valid traceparent that
        are traced, 0 to 1. With one, its sampled flag decides.
    :param draw: returns random numbers in [0, 1).
    """

    def __init__(
        self, rate: float, draw: Callable[[], float] = random.random
    ) -> None:
        self._rate = rate
        self._draw = draw

    def start_trace(self, traceparent: str) -> RequestTrace:
        """Return the trace of a request, given its traceparent header."""
        parent = parse_traceparent(traceparent) if traceparent else None
        if parent is not None:
            if not parent.is_sampled:
                return RequestTrace(traceparent=traceparent)
            context = parent.child()
            return RequestTrace(
                context=context,
                parent_id=parent.span_id,
                traceparent=str(context),
            )
        if not self._rate or self._draw() >= self._rate:
            return _UNSAMPLED
        context = TraceContext(
            trace_id=f'{random.getrandbits(TRACE_ID_BITS) or 1:032x}',
            span_id=_span_id(),
            is_sampled=True,
        )
        return RequestTrace(context=context, traceparent=str(context))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnded:
    """Report the end of a request; ``status`` is 0 without a response.

    ``has_left`` is True if the caller left before the end.
    """

    route: str
    pool: str
    verdict: core.Verdict
    status: int
    latency_ms: float
    has_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpanEnded:
    """Report a span of a sampled request; times are monotonic."""

    name: str
    context: TraceContext
    parent_id: str
    started: core.Millis
    ended: core.Millis
    attributes: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetMetrics:
    """Request all metrics; replies ``bytes`` in Prometheus text format."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetTrace:
    """Request the stored spans of a trace; replies a tuple of SpanRecord."""

    trace_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpanRecord:
    """A stored span that can be dumped as JSON; ``start_ms`` is Unix time."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    instance_id: str
    start_ms: int
    duration_ms: int
    attributes: tuple[tuple[str, str], ...] = ()
