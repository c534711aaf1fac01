"""Collect counters, gauges and latency histograms."""

from typing import Any

from hdrh import histogram
from twisted.internet import defer

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.messages import telemetry as messages
from oriolestand_fleet.services.telemetry import _listener
from oriolestand_fleet.services.telemetry import const

SeriesKey = tuple[str, str]
"""Name and label of a series."""


class TelemetryTask(core.Task):
    """Collect all metrics and serve them over HTTP."""

    def __init__(
        self, kernel: core.Kernel, cfg: settings.FleetSettings
    ) -> None:
        super().__init__(kernel, const.DOMAIN)
        self._address = cfg.metrics
        self._log = core.get_logger(const.DOMAIN)
        self._counters: dict[SeriesKey, int] = {}
        self._gauges: dict[SeriesKey, int] = {}
        self._latency_histograms: dict[SeriesKey, histogram.HdrHistogram] = {}
        self._port: Any = None

    def start(self) -> None:
        """Listen on the metrics address."""
        reactor = self.kernel.reactor
        self._port = reactor.listenTCP(
            self._address.port,
            _listener.MetricsFactory(reactor, self.render),
            interface=self._address.host,
        )
        defer.ensureDeferred(self._measure_loop_delay())

    async def _measure_loop_delay(self) -> None:
        """Record how late timers fire, which shows a busy processor."""
        clock = self.kernel.clock
        while not self.is_stopped:
            due_ms = clock.now() + const.LOOP_CHECK_INTERVAL_MS
            await self.kernel.sleep(const.LOOP_CHECK_INTERVAL_MS)
            delay_ms = clock.now() - due_ms
            self._on_observe(
                messages.Observe(
                    name='loop_delay', label='', latency_ms=delay_ms
                )
            )
            if delay_ms >= const.LONG_LOOP_DELAY_MS:
                self._log.warning('Event loop delayed', delay_ms=delay_ms)

    def stop(self) -> object:
        """Close the listener."""
        super().stop()
        return self._port.stopListening() if self._port else None

    @core.handles(messages.Count)
    def _on_count(self, msg: messages.Count) -> None:
        """Add to a counter.

        The message is ignored if it needs a new series and the limit is
        reached.
        """
        key = (msg.name, msg.label)
        if key not in self._counters and self._is_series_limit_reached():
            return
        self._counters[key] = self._counters.get(key, 0) + msg.amount

    @core.handles(messages.SetGauge)
    def _on_gauge(self, msg: messages.SetGauge) -> None:
        """Set a gauge."""
        self._gauges[(msg.name, msg.label)] = msg.value

    @core.handles(messages.Observe)
    def _on_observe(self, msg: messages.Observe) -> None:
        """Record a latency.

        The message is ignored if it needs a new series and the limit is
        reached.
        """
        key = (msg.name, msg.label)
        latency_histogram = self._latency_histograms.get(key)
        if latency_histogram is None:
            if self._is_series_limit_reached():
                return
            latency_histogram = histogram.HdrHistogram(
                const.LOWEST_LATENCY_MS,
                const.HIGHEST_LATENCY_MS,
                const.SIGNIFICANT_FIGURES,
            )
            self._latency_histograms[key] = latency_histogram
        latency_histogram.record_value(
            min(
                max(msg.latency_ms, const.LOWEST_LATENCY_MS),
                const.HIGHEST_LATENCY_MS,
            )
        )

    def _is_series_limit_reached(self) -> bool:
        """Return whether no counter or histogram may be added.

        Gauges do not count towards the limit.
        """
        return (
            len(self._counters) + len(self._latency_histograms)
            >= const.MAX_SERIES
        )

    @core.handles(messages.GetMetrics)
    def _on_get_metrics(self, msg: messages.GetMetrics) -> str:
        """Return all metrics in the Prometheus text format."""
        return self.render()

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, label), value in sorted(self._counters.items()):
            lines.append(f'{_format_series(name + "_total", label)} {value}')
        for (name, label), value in sorted(self._gauges.items()):
            lines.append(f'{_format_series(name, label)} {value}')
        for (name, label), latency_histogram in sorted(
            self._latency_histograms.items()
        ):
            metric = f'{name}_ms'
            for quantile in const.QUANTILES:
                value = latency_histogram.get_value_at_percentile(
                    quantile * 100
                )
                series = _format_series(metric, label, str(quantile))
                lines.append(f'{series} {int(value)}')
            count = latency_histogram.get_total_count()
            lines.append(f'{_format_series(metric + "_count", label)} {count}')
        return '\n'.join(lines) + '\n'


def _format_series(name: str, label: str, quantile: str = '') -> str:
    """Return the full name of a series with its labels.

    >>> _format_series('intake_total', 'stored')
    'oriolestand_intake_total{kind="stored"}'
    """
    labels = []
    if label:
        # Names of failure domains come from outside.
        escaped = label.replace('\\', r'\\').replace('"', r'\"')
        escaped = escaped.replace('\n', r'\n')
        labels.append(f'kind="{escaped}"')
    if quantile:
        labels.append(f'quantile="{quantile}"')
    suffix = '{' + ','.join(labels) + '}' if labels else ''
    return f'oriolestand_{name}{suffix}'
