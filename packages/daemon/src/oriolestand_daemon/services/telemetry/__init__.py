"""Collect metrics and the spans of sampled requests."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.telemetry._export import make_processor
from oriolestand_daemon.services.telemetry._task import TelemetryTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> TelemetryTask:
    """Set up the telemetry service."""
    return TelemetryTask(
        kernel,
        cfg.instance_id,
        cfg.telemetry.span_limit,
        make_processor(cfg.telemetry.exporter),
    )
