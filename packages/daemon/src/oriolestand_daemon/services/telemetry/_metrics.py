"""Collect metrics of requests and expose them to Prometheus."""

from collections.abc import Iterable
import dataclasses

from hdrh import histogram
import prometheus_client
from prometheus_client import core as metrics_core

from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.telemetry import const

LABELS = ('route', 'pool', 'verdict')
OVERFLOW_LABEL = '_other'


@dataclasses.dataclass(slots=True, kw_only=True)
class _Series:
    """The latencies of one combination of route, pool and verdict.

    ``pending`` counts latencies by value that are not in the histogram yet.
    """

    latencies: histogram.HdrHistogram
    sum_ms: float = 0.0
    pending: dict[int, int] = dataclasses.field(default_factory=dict)

    def flush(self) -> None:
        """Move the pending counts into the histogram."""
        for latency, count in self.pending.items():
            self.latencies.record_value(latency, count)
        self.pending.clear()


class RequestMetrics:
    """A Prometheus collector for latencies and statuses of requests."""

    def __init__(self) -> None:
        self._series: dict[tuple[str, str, str], _Series] = {}
        self._responses: dict[int, int] = {}
        self._callers_left = 0
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        prometheus_client.ProcessCollector(registry=self._registry)

    def record(self, msg: telemetry.RequestEnded) -> None:
        """Count a request."""
        key = (msg.route, msg.pool, msg.verdict.value)
        series = self._series.get(key)
        if series is None:
            series = self._get_series(key)
        latency = msg.latency_ms
        value = min(
            max(int(latency), const.LOWEST_LATENCY_MS),
            const.HIGHEST_LATENCY_MS,
        )
        # Counting by whole milliseconds first saves most of the slower
        # histogram updates.
        pending = series.pending
        pending[value] = pending.get(value, 0) + 1
        if len(pending) >= const.PENDING_LIMIT:
            series.flush()
        series.sum_ms += latency
        self._responses[msg.status] = self._responses.get(msg.status, 0) + 1
        self._callers_left += msg.has_left

    def _get_series(self, key: tuple[str, str, str]) -> _Series:
        """Return the series of a key, creating it if necessary.

        Beyond the limit, keys of the same verdict share a series.
        """
        if len(self._series) >= const.SERIES_LIMIT:
            key = (OVERFLOW_LABEL, OVERFLOW_LABEL, key[2])
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
        """Return the metrics as Prometheus metric families."""
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
            latencies = series.latencies
            latency.add_metric(key, latencies.get_total_count(), series.sum_ms)
            for quantile in const.QUANTILES:
                quantiles.add_metric(
                    (*key, str(quantile)),
                    latencies.get_value_at_percentile(quantile * 100),
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
            value=self._callers_left,
        )
        return (latency, quantiles, responses, left)

    def render(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
