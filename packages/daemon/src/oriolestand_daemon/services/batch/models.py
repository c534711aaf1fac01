"""Validate submissions and stored rows of tasks."""

import dataclasses
import json
from typing import Any

import pydantic

from oriolestand_daemon.messages import batch as contracts
from oriolestand_daemon.services.batch import errors
from oriolestand_policy import batch
from oriolestand_policy import tables

MAX_MS = 366 * 24 * 3_600_000
MAX_PAYLOAD_CHARS = 64 * 1024


class _Model(pydantic.BaseModel):
    """Refuse unknown keys and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class DemandModel(_Model):
    """State what a task needs of one worker."""

    slots: int = pydantic.Field(default=1, ge=1)
    accelerators: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)


class JobModel(_Model):
    """Validate a submission; the name makes it idempotent."""

    name: str = pydantic.Field(pattern=r'^[A-Za-z0-9._-]{1,128}$')
    pool: str = pydantic.Field(min_length=1)
    team: str = pydantic.Field(default='default', min_length=1)
    priority: int = pydantic.Field(default=0, ge=0, le=9)
    demand: DemandModel = DemandModel()
    payload: str = pydantic.Field(default='', max_length=MAX_PAYLOAD_CHARS)
    lease_ms: int = pydantic.Field(default=30_000, ge=1_000, le=600_000)
    time_limit_ms: int = pydantic.Field(default=0, ge=0, le=MAX_MS)
    retries: int = pydantic.Field(default=3, ge=0, le=100)


class RowModel(JobModel):
    """Validate a stored row; ``write_id`` names the write that made it."""

    state: batch.TaskState
    retries_left: int
    attempt: int = pydantic.Field(ge=0)
    epoch: int = pydantic.Field(ge=0)
    controller: str
    worker: str
    avoid: str
    checkpoint: str
    is_cancel_requested: bool
    reason: str
    result: str
    ran_ms: int
    evictions: int
    write_id: str


class EntryModel(_Model):
    """Validate the index row of a queued task."""

    name: str
    team: str
    priority: int
    demand: DemandModel
    pool: str
    avoid: str = ''
    lease_ms: int = 30_000


def parse_job(document: bytes, known: tables.Tables) -> batch.TaskRow:
    """Return the row of a submission, or raise with all problems."""
    try:
        data = json.loads(document)
    except ValueError as exc:
        raise errors.InvalidJobError([f'.: not valid JSON: {exc}']) from exc
    problems = []
    try:
        job = JobModel.model_validate(data)
    except pydantic.ValidationError as exc:
        problems = [
            f'{".".join(str(p) for p in item["loc"]) or "."}: {item["msg"]}'
            for item in exc.errors()
        ]
    problems += _pool_problems(data, known)
    if problems:
        raise errors.InvalidJobError(problems)
    fields = job.model_dump(exclude={'demand'})
    return batch.TaskRow(
        demand=batch.Demand(**job.demand.model_dump()),
        retries_left=job.retries,
        **fields,
    )


def _pool_problems(data: Any, known: tables.Tables) -> list[str]:
    """Return why a pool cannot take a job, also when fields are wrong."""
    if not isinstance(data, dict) or not isinstance(data.get('pool'), str):
        return []
    pool = known.pools.get(data['pool'])
    if pool is None:
        names = ', '.join(sorted(known.pools)) or 'none'
        return [f'pool: no pool is called {data["pool"]}; known: {names}']
    demand = data.get('demand')
    slots = demand.get('slots', 1) if isinstance(demand, dict) else 1
    if isinstance(slots, int) and slots > pool.slots_per_upstream:
        return [
            f'demand.slots: a worker of pool {pool.name} has'
            f' {pool.slots_per_upstream} slots'
        ]
    return []


def dump_row(row: batch.TaskRow, write_id: str) -> dict[str, Any]:
    """Return the stored form of a row."""
    value = dataclasses.asdict(row)
    value['state'] = row.state.value
    return {**value, 'write_id': write_id}


def parse_row(value: dict[str, Any]) -> batch.TaskRow:
    """Return the row with a stored form."""
    model = RowModel.model_validate(value)
    fields = model.model_dump(exclude={'demand', 'write_id'})
    return batch.TaskRow(
        demand=batch.Demand(**model.demand.model_dump()), **fields
    )


def dump_entry(row: batch.TaskRow) -> dict[str, Any]:
    """Return the index row of a task."""
    return {
        'name': row.name,
        'team': row.team,
        'priority': row.priority,
        'demand': dataclasses.asdict(row.demand),
        'pool': row.pool,
        'avoid': row.avoid,
        'lease_ms': row.lease_ms,
    }


def to_entry(row: batch.TaskRow) -> batch.Entry:
    """Return the queue entry of a row."""
    return batch.Entry(
        name=row.name,
        team=row.team,
        priority=row.priority,
        demand=row.demand,
        pool=row.pool,
        avoid=row.avoid,
        lease_ms=row.lease_ms,
    )


def parse_entry(value: dict[str, Any]) -> batch.Entry:
    """Return the queue entry with an index row."""
    model = EntryModel.model_validate(value)
    return batch.Entry(
        demand=batch.Demand(**model.demand.model_dump()),
        **model.model_dump(exclude={'demand'}),
    )


def is_same_job(one: batch.TaskRow, other: batch.TaskRow) -> bool:
    """Return whether two rows come from the same submission."""
    return all(
        getattr(one, name) == getattr(other, name)
        for name in JobModel.model_fields
    )


def to_status(row: batch.TaskRow) -> contracts.JobStatus:
    """Return what operators see of a row."""
    return contracts.JobStatus(
        state=row.state.value,
        **{
            field.name: getattr(row, field.name)
            for field in dataclasses.fields(contracts.JobStatus)
            if field.name != 'state'
        },
    )
