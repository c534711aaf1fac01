"""Count requests and expose the counts in Prometheus text format."""

from collections.abc import Iterable
import dataclasses

from hdrh import histogram
import prometheus_client
from prometheus_client import core as metrics_core

from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.telemetry import const

LABELS = ('route', 'pool', 'verdict')
OTHER = '_other'


@dataclasses.dataclass(slots=True, kw_only=True)
class _Series:
    """Hold the latencies of one route, pool and verdict."""

    latencies: histogram.HdrHistogram
    sum_ms: float = 0.0
    pending: dict[int, int] = dataclasses.field(default_factory=dict)

    def flush(self) -> None:
        """Move the pending counts into the histogram."""
        for latency, count in self.pending.items():
            self.latencies.record_value(latency, count)
        self.pending.clear()


class RequestMetrics:
    """Collect the latencies of requests; a Prometheus collector."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str, str], _Series] = {}
        self._responses: dict[int, int] = {}
        self._left = 0
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        prometheus_client.ProcessCollector(registry=self._registry)

    def record(self, msg: telemetry.RequestEnded) -> None:
        """Count one request."""
        key = (msg.route, msg.pool, msg.verdict.value)
        series = self._series.get(key)
        if series is None:
            series = self._add(key)
        latency = msg.latency_ms
        value = min(
            max(int(latency), const.LOWEST_LATENCY_MS),
            const.HIGHEST_LATENCY_MS,
        )
        # Counting whole milliseconds first saves most histogram updates.
        pending = series.pending
        pending[value] = pending.get(value, 0) + 1
        if len(pending) >= const.PENDING_LIMIT:
            series.flush()
        series.sum_ms += latency
        self._responses[msg.status] = self._responses.get(msg.status, 0) + 1
        self._left += msg.has_left

    def _add(self, key: tuple[str, str, str]) -> _Series:
        """Return the series of a key, or a shared one past the limit."""
        if len(self._series) >= const.SERIES_LIMIT:
            key = (OTHER, OTHER, key[2])
        if key not in self._series:
            self._series[key] = _Series(
                latencies=histogram.HdrHistogram(
                    const.LOWEST_LATENCY_MS,
                    const.HIGHEST_LATENCY_MS,
                    const.SIGNIFICANT_FIGURES,
                )
            )
        return self._series[key]

    def collect(self) -> Iterable[metrics_core.Metric]:
        """Return the metrics as Prometheus families."""
        latency = metrics_core.SummaryMetricFamily(
            'oriolestand_request_latency_ms',
            "Latency of callers' requests in milliseconds.",
            labels=LABELS,
        )
        quantiles = metrics_core.GaugeMetricFamily(
            'oriolestand_request_latency_quantile_ms',
            'Quantiles of the latency since the start of the daemon.',
            labels=(*LABELS, 'quantile'),
        )
        for key, series in sorted(self._series.items()):
            series.flush()
            found = series.latencies
            latency.add_metric(key, found.get_total_count(), series.sum_ms)
            for part in const.QUANTILES:
                quantiles.add_metric(
                    (*key, str(part)),
                    found.get_value_at_percentile(part * 100),
                )
        responses = metrics_core.CounterMetricFamily(
            'oriolestand_responses',
            'Responses to callers by status; 0 means none was begun.',
            labels=('status',),
        )
        for status, count in sorted(self._responses.items()):
            responses.add_metric((str(status),), count)
        left = metrics_core.CounterMetricFamily(
            'oriolestand_callers_left',
            'Callers that left before their response was complete.',
            value=self._left,
        )
        return (latency, quantiles, responses, left)

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
