"""Store the spans of recent traces."""

import collections

import oriolestand_core as core
from oriolestand_daemon.messages import telemetry


class SpanBuffer:
    """Stores the most recent spans, with look-up by trace.

    :param limit: maximum number of spans; the oldest is dropped first.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._order: collections.deque[telemetry.SpanRecord] = (
            collections.deque()
        )
        self._by_trace: dict[str, collections.deque[telemetry.SpanRecord]] = {}

    def __len__(self) -> int:
        """Return the number of stored spans."""
        return len(self._order)

    def add(self, span: telemetry.SpanRecord) -> None:
        """Store a span; drop the oldest if the buffer is full."""
        if len(self._order) >= self._limit:
            oldest = self._order.popleft()
            spans = self._by_trace[oldest.trace_id]
            spans.popleft()
            if not spans:
                del self._by_trace[oldest.trace_id]
        self._order.append(span)
        self._by_trace.setdefault(span.trace_id, collections.deque()).append(
            span
        )

    def find(self, trace_id: str) -> tuple[telemetry.SpanRecord, ...]:
        """Return the stored spans of a trace, sorted by start time."""
        spans = self._by_trace.get(trace_id, ())
        return tuple(sorted(spans, key=lambda s: (s.start_ms, s.span_id)))


def make_span_record(
    msg: telemetry.SpanEnded, instance_id: str, clock: core.Clock
) -> telemetry.SpanRecord:
    """Return a span as a record with its start in Unix time."""
    age = clock.now() - msg.started
    return telemetry.SpanRecord(
        trace_id=msg.context.trace_id,
        span_id=msg.context.span_id,
        parent_id=msg.parent_id,
        name=msg.name,
        instance_id=instance_id,
        start_ms=clock.wall() - age,
        duration_ms=msg.ended - msg.started,
        attributes=msg.attributes,
    )
