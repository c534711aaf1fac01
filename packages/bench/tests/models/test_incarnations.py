"""Test what the model of incarnations shows without some of its rules."""

import minicheck

from oriolestand_bench.models import _incarnations as model


def test_late_start_meets_the_next_incarnation_without_the_rules() -> None:
    """Guards against a model that misses the order of events of review/6.

    That has one owner; a successor gives another trace of the same length.
    """
    protocol = model.build('rules_of_0036')
    spec = model.Transitions('rules_of_0036')
    protocol.transitions = lambda state: [
        step for step in spec.steps(state) if step[0] != 'b claims'
    ]
    found = minicheck.check_safety(protocol, model.MAX_STATES_WITHOUT)
    trace = found['properties']['one_run']['counterexample']
    assert [step['label'] for step in trace[1:]] == [
        'a starts at w1, no answer',
        'w1 restarts',
        'time passes',
        'a releases the run',
        'a starts elsewhere',
        'w1 carries out start 1',
    ]
    last = trace[-1]['state']
    assert last['w1'].incarnation == 1
    assert last['owner'].known == 0


def test_answers_bound_leases_if_no_order_is_late() -> None:
    """Guards against a bound by answers that only seems to be needed.

    The model without it and without the bound for workers in doubt fails.
    """
    protocol = model.build('doubt_hold')
    spec = model.Transitions('doubt_hold', max_orders=0)
    protocol.transitions = spec.steps
    found = minicheck.check_safety(protocol, model.MAX_STATES_WITHOUT)
    assert found['exhaustive']
    assert found['properties']['lease_counted']['holds'] is True
