"""Run the telemetry service."""

from opentelemetry.sdk import trace as sdk_trace

import oriolestand_core as core
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.telemetry import _export
from oriolestand_daemon.services.telemetry import _metrics
from oriolestand_daemon.services.telemetry import _spans
from oriolestand_daemon.services.telemetry import const


class TelemetryTask(core.Task):
    """Record the metrics and spans that other services report.

    :param span_limit: number of spans stored for look-ups by trace.
    :param processor: exports each span in its own thread.
    """

    inbox_limit = 16_384

    def __init__(
        self,
        kernel: core.Kernel,
        instance_id: str,
        span_limit: int,
        processor: sdk_trace.SpanProcessor | None = None,
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._instance_id = instance_id
        self._metrics = _metrics.RequestMetrics()
        self._spans = _spans.SpanBuffer(span_limit)
        self._processor = processor

    @core.handles(telemetry.RequestEnded)
    def _on_request(self, msg: telemetry.RequestEnded) -> None:
        """Count a request."""
        self._metrics.record(msg)

    @core.handles(telemetry.SpanEnded)
    def _on_span(self, msg: telemetry.SpanEnded) -> None:
        """Store a span and export it."""
        span = _spans.make_span_record(
            msg, self._instance_id, self.kernel.clock
        )
        self._spans.add(span)
        if self._processor is not None:
            self._processor.on_end(_export.to_readable_span(span))

    @core.handles(telemetry.GetMetrics)
    def _on_metrics(self, msg: telemetry.GetMetrics) -> bytes:
        """Return all metrics in Prometheus text format."""
        return self._metrics.render()

    @core.handles(telemetry.GetTrace)
    def _on_trace(
        self, msg: telemetry.GetTrace
    ) -> tuple[telemetry.SpanRecord, ...]:
        """Return the stored spans of a trace."""
        return self._spans.find(msg.trace_id)

    def stop(self) -> object:
        """Export the remaining spans and stop the exporter."""
        super().stop()
        if self._processor is not None:
            self._processor.shutdown()
        return None
