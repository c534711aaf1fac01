"""Test the trace context."""

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
    """A broken header must neither fail nor join a request to a trace."""
    hop = telemetry.Sampler(1.0).begin(text)
    assert hop.context is not None and hop.parent_id == ''
    assert hop.context.trace_id != TRACE


def test_callers_choice_is_respected() -> None:
    """A trace must be whole or absent, so the first hop decides."""
    hop = telemetry.Sampler(0).begin(f'00-{TRACE}-{SPAN}-01')
    assert hop.context is not None
    assert (hop.context.trace_id, hop.parent_id) == (TRACE, SPAN)
    text = f'00-{TRACE}-{SPAN}-00'
    hop = telemetry.Sampler(1.0).begin(text)
    assert (hop.context, hop.traceparent) == (None, text)


def test_rate_bounds_the_traced_requests() -> None:
    """Tracing all requests would cost the hot path."""
    draws = iter([0.009, 0.01, 0.5])
    sampler = telemetry.Sampler(0.01, lambda: next(draws))
    traced = [sampler.begin('').context is not None for _ in range(3)]
    assert traced == [True, False, False]


def test_child_keeps_the_trace() -> None:
    """Spans of one request must share its trace and differ themselves."""
    child = telemetry.sampled_child(f'00-{TRACE}-{SPAN}-01')
    assert child is not None and child.trace_id == TRACE
    assert child.span_id != SPAN
    assert telemetry.sampled_child(f'00-{TRACE}-{SPAN}-00') is None
