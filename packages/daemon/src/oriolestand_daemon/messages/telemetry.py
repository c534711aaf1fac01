"""Define messages to the telemetry service and the context of a trace."""

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
    """Name one span of a trace; ids are in hex, as in W3C traceparent."""

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
    """Return the context in a traceparent header; None when invalid.

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
    """Return a new span under a sampled parent; None when not sampled."""
    # The flags are the last part; most requests end here.
    if not traceparent or traceparent[-2:] == '00':
        return None
    parent = parse_traceparent(traceparent)
    if parent is None or not parent.is_sampled:
        return None
    return parent.child()


def parent_id(traceparent: str) -> str:
    """Return the id of the span in a traceparent; empty when invalid."""
    context = parse_traceparent(traceparent) if traceparent else None
    return context.span_id if context is not None else ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hop:
    """Hold what a request's first hop knows of its trace.

    ``context`` is None without sampling; ``traceparent`` is passed on.
    """

    context: TraceContext | None = None
    parent_id: str = ''
    traceparent: str = ''


_UNSAMPLED = Hop()


class Sampler:
    """Choose which requests are traced.

    :param rate: part of the requests without a valid traceparent that are
        traced, 0 to 1. A caller's own choice is respected.
    """

    def __init__(
        self, rate: float, draw: Callable[[], float] = random.random
    ) -> None:
        self._rate = rate
        self._draw = draw

    def begin(self, traceparent: str) -> Hop:
        """Return the trace of a request that came from a caller."""
        parent = parse_traceparent(traceparent) if traceparent else None
        if parent is not None:
            if not parent.is_sampled:
                return Hop(traceparent=traceparent)
            own = parent.child()
            return Hop(
                context=own, parent_id=parent.span_id, traceparent=str(own)
            )
        if not self._rate or self._draw() >= self._rate:
            return _UNSAMPLED
        own = TraceContext(
            trace_id=f'{random.getrandbits(TRACE_ID_BITS) or 1:032x}',
            span_id=_span_id(),
            is_sampled=True,
        )
        return Hop(context=own, traceparent=str(own))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnded:
    """Report how a caller's request ended; ``status`` 0 means no response."""

    route: str
    pool: str
    verdict: core.Verdict
    status: int
    latency_ms: float
    has_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpanEnded:
    """Report one hop of a sampled request; times are monotonic."""

    name: str
    context: TraceContext
    parent_id: str
    started: core.Millis
    ended: core.Millis
    attributes: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetMetrics:
    """Ask for all metrics in Prometheus text format, as ``bytes``."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetTrace:
    """Ask for the kept spans of a trace, as ``tuple[SpanRecord, ...]``."""

    trace_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpanRecord:
    """Hold one span, ready for JSON; ``start_ms`` is since the epoch."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    instance_id: str
    start_ms: int
    duration_ms: int
    attributes: tuple[tuple[str, str], ...] = ()
