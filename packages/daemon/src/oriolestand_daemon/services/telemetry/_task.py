"""Own the metrics and the recent spans."""

from opentelemetry.sdk import trace as sdk_trace

import oriolestand_core as core
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.telemetry import _export
from oriolestand_daemon.services.telemetry import _metrics
from oriolestand_daemon.services.telemetry import _spans
from oriolestand_daemon.services.telemetry import const


class TelemetryTask(core.Task):
    """Record what the other services report.

    :param span_limit: number of spans kept for look-ups by trace.
    :param processor: gets each span, and exports from its own thread.
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
        self._spans = _spans.SpanRing(span_limit)
        self._processor = processor

    @core.handles(telemetry.RequestEnded)
    def _on_request(self, msg: telemetry.RequestEnded) -> None:
        """Count a request."""
        self._metrics.record(msg)

    @core.handles(telemetry.SpanEnded)
    def _on_span(self, msg: telemetry.SpanEnded) -> None:
        """Keep a span and hand it to the exporter."""
        span = _spans.make_record(msg, self._instance_id, self.kernel.clock)
        self._spans.add(span)
        if self._processor is not None:
            self._processor.on_end(_export.to_otel(span))

    @core.handles(telemetry.GetMetrics)
    def _on_metrics(self, msg: telemetry.GetMetrics) -> bytes:
        """Return all metrics as text."""
        return self._metrics.text()

    @core.handles(telemetry.GetTrace)
    def _on_trace(
        self, msg: telemetry.GetTrace
    ) -> tuple[telemetry.SpanRecord, ...]:
        """Return the kept spans of a trace."""
        return self._spans.find(msg.trace_id)

    def stop(self) -> object:
        """Export what waits."""
        super().stop()
        if self._processor is not None:
            self._processor.shutdown()
        return None
