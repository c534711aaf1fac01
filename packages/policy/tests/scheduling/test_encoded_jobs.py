"""Test that jobs are stored in the same form as by a general conversion.

Guards against a field that the record of a job leaves out or stores in
another form, so that another version of the daemon reads another job.
"""

import dataclasses
import json
import random

import pytest

from oriolestand_policy import scheduling
from oriolestand_policy.scheduling import _record


def reference(spec):
    """Return the mapping by a conversion of all fields."""
    mapping = dataclasses.asdict(spec)
    defaults = {
        field.name: field.default
        for field in dataclasses.fields(scheduling.StepSpec)
    }
    mapping['steps'] = [
        {k: v for k, v in step.items() if v != defaults[k]}
        for step in mapping['steps']
    ]
    return mapping


def draw_step(rng, number):
    """Return a step in which each field may have its default value."""
    fields = {}
    for field in dataclasses.fields(scheduling.StepSpec):
        if field.name == 'count' or rng.random() < 0.4:
            value = {
                'int': rng.randrange(1, 9),
                'bool': True,
                'str': f'x{rng.randrange(9)}é',
            }.get(str(getattr(field.type, '__name__', field.type)))
            if field.name == 'after':
                value = tuple(range(number))
            if value is not None:
                fields[field.name] = value
    return scheduling.StepSpec(**fields)


@pytest.mark.parametrize('seed', range(20))
def test_jobs_are_stored_in_the_same_form(seed):
    rng = random.Random(seed)
    spec = scheduling.JobSpec(
        id=f'{seed:016x}',
        route='r',
        payload='é' * rng.randrange(9),
        steps=tuple(draw_step(rng, n) for n in range(1 + seed % 4)),
        repeat_count=rng.randrange(3),
        period_ms=rng.randrange(3),
        accepted_ms=rng.randrange(9),
    )
    found = _record.job_to_dict(spec)
    assert json.dumps(found) == json.dumps(reference(spec))
    assert _record.job_from_dict(json.loads(json.dumps(found))) == spec
