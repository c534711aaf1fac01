"""Tests of the rows of jobs, also between this version and the one before."""

import dataclasses
import json
from typing import Any

import pydantic
import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.jobs import _replica
from oriolestand_fleet.services.jobs import models
from oriolestand_policy import scheduling
from oriolestand_standins.fleet import make_route

JOB = 'a' * 16
POLICY = scheduling.RoutePolicy(
    name='r-batch',
    pool='blendhouse',
    priority=2,
    max_attempts=3,
    stretch=1.5,
    target_ms=600,
    needs_tickets=True,
)
ROUTE = store.Route(host='nony24.example', prefix='/pufi791/', policy=POLICY)
SPEC = scheduling.JobSpec(
    id=JOB,
    route='r-batch',
    payload='p',
    steps=(scheduling.StepSpec(count=1, cpu=1_000, after=()),),
    accepted_ms=5,
)
FORMER_ROW = b'{"route":"r-batch"}'
FORMER_SPEC_FIELDS = {
    'id',
    'route',
    'payload',
    'steps',
    'repeat_count',
    'first_due_ms',
    'period_ms',
    'accepted_ms',
}
"""The version before refuses a specification with any other field."""


class FormerRow(pydantic.BaseModel):
    """Row of a job as the version before reads it."""

    model_config = pydantic.ConfigDict(strict=True)

    route: str
    steps: list[Any] | None = None


def entry_of(value):
    """Return the entry of a job with a row."""
    entry = models.Entry(id=JOB)
    entry.set_row(value)
    return entry


def test_jobs_of_a_route_share_its_policy_and_path():
    # Guards against memory that each waiting job takes for copies of them.
    row = models.encode_row(SPEC, ROUTE)
    first, second = entry_of(row), entry_of(row)
    assert first.policy is second.policy
    assert first.path is second.path
    assert first.route is second.route
    other = dataclasses.replace(POLICY, priority=1)
    route = dataclasses.replace(ROUTE, policy=other)
    assert entry_of(models.encode_row(SPEC, route)).policy == other


@pytest.mark.parametrize(
    'policy',
    [
        POLICY,
        scheduling.RoutePolicy(name='r-batch', pool='p'),
        scheduling.RoutePolicy(name='r-batch', pool='p', stretch=2),
    ],
)
def test_row_holds_the_policy_and_the_path(policy):
    # A new owner knew neither after the route had left the configuration.
    route = store.Route(host='h', prefix='/p/', policy=policy)
    entry = entry_of(models.encode_row(SPEC, route))
    assert entry.policy == policy
    assert entry.path == 'h/p/'
    assert entry.spec is None


def test_version_before_reads_the_row():
    # While daemons are replaced one by one, the older ones must serve jobs
    # that the newer ones have accepted.
    decoded = FormerRow.model_validate_json(models.encode_row(SPEC, ROUTE))
    assert decoded == FormerRow(route='r-batch')


def test_version_before_reads_the_specification():
    # An owner of that version ignores, and so loses, a job whose
    # specification has a field that it does not know.
    fields = json.loads(models.encode_spec(SPEC))
    assert set(fields) == FORMER_SPEC_FIELDS
    assert set(fields['steps'][0]) == {'count', 'cpu'}


def test_row_of_the_version_before_is_read():
    # Its jobs must not be lost in an upgrade: the name decides.
    entry = entry_of(FORMER_ROW)
    assert entry.is_stored
    assert entry.policy is None
    assert entry.belongs_to(ROUTE)
    assert not entry.belongs_to(make_route('other', '/pufi791/'))


def test_row_with_fields_of_a_later_version_is_read():
    # The next version may add fields in turn.
    row = json.loads(models.encode_row(SPEC, ROUTE))
    row['policy'].append('later')
    row['later'] = [1]
    assert entry_of(json.dumps(row).encode()).policy == POLICY


@pytest.mark.parametrize(
    'policy', [[], 'p', 1, {}, [1], ['p', 'x'], ['p', 0, 1, None]]
)
def test_malformed_policy_does_not_hide_the_job(capsys, policy):
    # An accepted job would be answered 410 if its row were ignored.
    row = {'route': 'r-batch', 'path': ROUTE.path, 'policy': policy}
    replica = _replica.Replica()
    replica.apply(
        store.Row(
            part='p',
            key=layout.JOB_PREFIX + JOB,
            value=json.dumps(row).encode(),
            version=1,
        )
    )
    entry = replica.find(JOB, ROUTE)
    assert entry is not None
    assert entry.policy is None
    assert 'Malformed policy ignored' in capsys.readouterr().out


def test_path_decides_before_the_name():
    # A route may be renamed, and its name given to a route of another path.
    entry = entry_of(models.encode_row(SPEC, ROUTE))
    renamed = scheduling.RoutePolicy(name='renamed', pool='x')
    assert entry.belongs_to(
        store.Route(host=ROUTE.host, prefix=ROUTE.prefix, policy=renamed)
    )
    for host, prefix in (
        ('other.example', ROUTE.prefix),
        (ROUTE.host, '/pufi79/'),
    ):
        assert not entry.belongs_to(
            store.Route(host=host, prefix=prefix, policy=POLICY)
        )


def test_row_does_not_grow_with_its_job():
    # It crosses the links of all daemons (0018).
    large = dataclasses.replace(
        SPEC, payload='p' * 4_000, steps=SPEC.steps * 9
    )
    assert models.encode_row(large, ROUTE) == models.encode_row(SPEC, ROUTE)
