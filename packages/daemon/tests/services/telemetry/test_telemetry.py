"""Test the metrics and spans of the telemetry service."""

import dataclasses
import json
from typing import Any

from opentelemetry.sdk.trace.export import in_memory_span_exporter
from prometheus_client import parser
import pytest

import oriolestand_core as core
from oriolestand_daemon.messages import telemetry
from oriolestand_daemon.services.telemetry import _export
from oriolestand_daemon.services.telemetry import _task
from oriolestand_daemon.services.telemetry import const

TRACE = f'{7:032x}'


def make_task(span_limit: int = 4, processor: Any = None) -> Any:
    """Return a telemetry service with a manual clock."""
    clock = core.ManualClock(start=1_000, wall=50_000)
    kernel = core.Kernel(clock, core.IdSource(1))
    return _task.TelemetryTask(kernel, 'a', span_limit, processor)


def ask(task: Any, message: object) -> Any:
    """Return the reply of the service to a message."""
    replies: list[Any] = []
    task.ask(message).addCallback(replies.append)
    return replies[0]


def ended(route: str = 'r', latency_ms: float = 10) -> telemetry.RequestEnded:
    """Return the report of a request that ended."""
    return telemetry.RequestEnded(
        route=route,
        pool='p',
        verdict=core.Verdict.RAN,
        status=200,
        latency_ms=latency_ms,
    )


def span(trace_id: str = TRACE, number: int = 1) -> telemetry.SpanEnded:
    """Return a span that started 100 ms ago and took 60 ms."""
    return telemetry.SpanEnded(
        name='frontend',
        context=telemetry.TraceContext(
            trace_id=trace_id, span_id=f'{number:016x}', is_sampled=True
        ),
        parent_id=f'{99:016x}',
        started=core.Millis(900),
        ended=core.Millis(960),
        attributes=(('k', 'v'),),
    )


def samples(task: Any) -> dict[tuple[str, ...], float]:
    """Return the exposed samples by name and sorted label values."""
    text = ask(task, telemetry.GetMetrics()).decode()
    return {
        (s.name, *sorted(s.labels.values())): s.value
        for family in parser.text_string_to_metric_families(text)
        for s in family.samples
    }


def test_latencies_are_exposed_by_route_pool_and_verdict() -> None:
    """Operators need latencies per route to find a slow one."""
    task = make_task()
    for latency in range(1, 101):
        task.post(ended(latency_ms=latency))
    found = samples(task)
    name = 'oriolestand_request_latency_ms'
    assert found[(f'{name}_count', 'p', 'r', 'ran')] == 100
    assert found[(f'{name}_sum', 'p', 'r', 'ran')] == 5_050
    quantile = 'oriolestand_request_latency_quantile_ms'
    assert found[(quantile, '0.99', 'p', 'r', 'ran')] == pytest.approx(
        99, 0.02
    )
    assert found[('oriolestand_responses_total', '200')] == 100


def test_number_of_series_is_bounded() -> None:
    """The histograms of removed routes must not exhaust the memory."""
    task = make_task()
    for number in range(const.SERIES_LIMIT + 5):
        task.post(ended(route=f'r{number}'))
    found = samples(task)
    key = ('oriolestand_request_latency_ms_count', '_other', '_other', 'ran')
    assert found[key] == 5


def test_oldest_spans_are_dropped_when_the_buffer_is_full() -> None:
    """Dropped spans must also be removed from the index."""
    task = make_task(span_limit=2)
    for number in (1, 2, 3):
        task.post(span(number=number))
    found = ask(task, telemetry.GetTrace(trace_id=TRACE))
    assert [s.span_id[-1] for s in found] == ['2', '3']
    assert (found[0].start_ms, found[0].duration_ms) == (49_900, 60)
    assert json.dumps([dataclasses.asdict(s) for s in found])
    for number in (4, 5):
        task.post(span(trace_id='b' * 32, number=number))
    assert ask(task, telemetry.GetTrace(trace_id=TRACE)) == ()


def test_spans_reach_the_exporter() -> None:
    """The ids of exported spans must match those of other hops."""
    exporter = in_memory_span_exporter.InMemorySpanExporter()
    task = make_task(processor=_export.make_batch_processor(exporter))
    task.post(span())
    task.stop()
    (found,) = exporter.get_finished_spans()
    assert (found.context.trace_id, found.parent.span_id) == (7, 99)
    assert found.end_time - found.start_time == 60_000_000
