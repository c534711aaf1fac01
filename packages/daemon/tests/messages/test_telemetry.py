"""Test the trace context and sampling."""

import pytest

from oriolestand_daemon.messages import telemetry

TRACE = 'a' * 32
SPAN = 'b' * 16


@pytest.mark.parametrize(
    'text',
    [
        '',
        'x',
        f'00-{"0" * 32}-{SPAN}-01',
        f'00-{TRACE}-{"0" * 16}-01',
        f'ff-{TRACE}-{SPAN}-01',
        f'00-{TRACE}-{SPAN}-01-more',
        f'00-{TRACE.upper()}-{SPAN}-01',
    ],
)
def test_invalid_traceparent_starts_a_new_trace(text: str) -> None:
    """An invalid header must neither raise nor affect the new trace."""
    trace = telemetry.Sampler(1.0).start_trace(text)
    assert trace.context is not None and trace.parent_id == ''
    assert trace.context.trace_id != TRACE


def test_sampled_flag_of_the_caller_is_kept() -> None:
    """The first hop decides, as a trace must be complete or absent."""
    trace = telemetry.Sampler(0).start_trace(f'00-{TRACE}-{SPAN}-01')
    assert trace.context is not None
    assert (trace.context.trace_id, trace.parent_id) == (TRACE, SPAN)
    text = f'00-{TRACE}-{SPAN}-00'
    trace = telemetry.Sampler(1.0).start_trace(text)
    assert (trace.context, trace.traceparent) == (None, text)


def test_sampling_rate_limits_the_traced_requests() -> None:
    """Tracing all requests would slow down the hot path."""
    draws = iter([0.009, 0.01, 0.5])
    sampler = telemetry.Sampler(0.01, lambda: next(draws))
    traced = [sampler.start_trace('').context is not None for _ in range(3)]
    assert traced == [True, False, False]


def test_child_keeps_the_trace() -> None:
    """Spans of a request share the trace id but have their own span ids."""
    child = telemetry.sampled_child(f'00-{TRACE}-{SPAN}-01')
    assert child is not None and child.trace_id == TRACE
    assert child.span_id != SPAN
    assert telemetry.sampled_child(f'00-{TRACE}-{SPAN}-00') is None
