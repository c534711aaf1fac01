"""Export spans with OpenTelemetry."""

from opentelemetry import trace
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export

from oriolestand_daemon.messages import telemetry

NANOS_PER_MILLI = 1_000_000


def make_processor(name: str) -> sdk_trace.SpanProcessor | None:
    """Return the span processor for an exporter name, None for 'none'.

    The processor exports in its own thread and does not block the reactor.
    """
    if name == 'none':
        return None
    return make_batch_processor(export.ConsoleSpanExporter())


def make_batch_processor(
    exporter: export.SpanExporter,
) -> sdk_trace.SpanProcessor:
    """Return a processor that exports batches in its own thread."""
    return export.BatchSpanProcessor(exporter)


def to_readable_span(span: telemetry.SpanRecord) -> sdk_trace.ReadableSpan:
    """Convert a span for OpenTelemetry exporters."""
    start = span.start_ms * NANOS_PER_MILLI
    return sdk_trace.ReadableSpan(
        name=span.name,
        context=_context(span.trace_id, span.span_id),
        parent=(
            _context(span.trace_id, span.parent_id) if span.parent_id else None
        ),
        attributes={
            'service.instance.id': span.instance_id,
            **dict(span.attributes),
        },
        start_time=start,
        end_time=start + span.duration_ms * NANOS_PER_MILLI,
    )


def _context(trace_id: str, span_id: str) -> trace.SpanContext:
    """Return the context of a sampled span."""
    return trace.SpanContext(
        trace_id=int(trace_id, 16),
        span_id=int(span_id, 16),
        is_remote=False,
        trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
    )
