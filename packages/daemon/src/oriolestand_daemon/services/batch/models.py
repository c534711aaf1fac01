"""Validation and conversion of job submissions and stored task rows."""

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
    """Immutable base model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class DemandModel(_Model):
    """Resources that a task needs on one worker."""

    slots: int = pydantic.Field(default=1, ge=1)
    accelerators: int = pydantic.Field(default=0, ge=0)
    memory_mb: int = pydantic.Field(default=0, ge=0)


class JobModel(_Model):
    """A job submission; submitting the same name again has no effect."""

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
    """A stored task row; ``write_id`` is the request id of its last write."""

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
    """The index row of a queued task."""

    name: str
    team: str
    priority: int
    demand: DemandModel
    pool: str
    avoid: str = ''
    lease_ms: int = 30_000


def parse_job(document: bytes, pool_tables: tables.Tables) -> batch.TaskRow:
    """Return the task row for a submission.

    :raises InvalidJobError: if the document is invalid; lists all problems.
    """
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
    problems += _pool_problems(data, pool_tables)
    if problems:
        raise errors.InvalidJobError(problems)
    fields = job.model_dump(exclude={'demand'})
    return batch.TaskRow(
        demand=batch.Demand(**job.demand.model_dump()),
        retries_left=job.retries,
        **fields,
    )


def _pool_problems(data: Any, pool_tables: tables.Tables) -> list[str]:
    """Return the reasons why the pool cannot run a job.

    ``data`` is not validated and may have other invalid fields.
    """
    if not isinstance(data, dict) or not isinstance(data.get('pool'), str):
        return []
    pool = pool_tables.pools.get(data['pool'])
    if pool is None:
        names = ', '.join(sorted(pool_tables.pools)) or 'none'
        return [f'pool: no pool named {data["pool"]}; known pools: {names}']
    demand = data.get('demand')
    slots = demand.get('slots', 1) if isinstance(demand, dict) else 1
    if isinstance(slots, int) and slots > pool.slots_per_upstream:
        return [
            f'demand.slots: workers of pool {pool.name} have only'
            f' {pool.slots_per_upstream} slots'
        ]
    return []


def dump_row(row: batch.TaskRow, write_id: str) -> dict[str, Any]:
    """Serialize a task row for the store."""
    value = dataclasses.asdict(row)
    value['state'] = row.state.value
    return {**value, 'write_id': write_id}


def parse_row(value: dict[str, Any]) -> batch.TaskRow:
    """Parse a stored task row."""
    model = RowModel.model_validate(value)
    fields = model.model_dump(exclude={'demand', 'write_id'})
    return batch.TaskRow(
        demand=batch.Demand(**model.demand.model_dump()), **fields
    )


def dump_entry(row: batch.TaskRow) -> dict[str, Any]:
    """Serialize the index row of a task."""
    return {
        'name': row.name,
        'team': row.team,
        'priority': row.priority,
        'demand': dataclasses.asdict(row.demand),
        'pool': row.pool,
        'avoid': row.avoid,
        'lease_ms': row.lease_ms,
    }


def to_entry(row: batch.TaskRow) -> batch.QueuedTask:
    """Return the queue entry for a task row."""
    return batch.QueuedTask(
        name=row.name,
        team=row.team,
        priority=row.priority,
        demand=row.demand,
        pool=row.pool,
        avoid=row.avoid,
        lease_ms=row.lease_ms,
    )


def parse_entry(value: dict[str, Any]) -> batch.QueuedTask:
    """Parse an index row into a queue entry."""
    model = EntryModel.model_validate(value)
    return batch.QueuedTask(
        demand=batch.Demand(**model.demand.model_dump()),
        **model.model_dump(exclude={'demand'}),
    )


def is_same_job(stored: batch.TaskRow, submitted: batch.TaskRow) -> bool:
    """Return whether two rows have the same submitted fields."""
    return all(
        getattr(stored, name) == getattr(submitted, name)
        for name in JobModel.model_fields
    )


def to_status(row: batch.TaskRow) -> contracts.JobStatus:
    """Return the status that operators see for a task row."""
    return contracts.JobStatus(
        state=row.state.value,
        **{
            field.name: getattr(row, field.name)
            for field in dataclasses.fields(contracts.JobStatus)
            if field.name != 'state'
        },
    )
