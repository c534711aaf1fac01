"""Validation and conversion of stored shard rows."""

from typing import Any

import pydantic

from oriolestand_daemon.services.grants import errors
import oriolestand_platform as platform
from oriolestand_policy import grants


class _Model(pydantic.BaseModel):
    """Immutable base model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ShareModel(_Model):
    """The slots of an upstream granted to one holder."""

    slots: int = pydantic.Field(ge=1)
    horizon_ms: int = pydantic.Field(ge=0)
    address: str = ''


class UpstreamModel(_Model):
    """The capacity and shares of one upstream."""

    capacity: int = pydantic.Field(ge=0)
    shares: dict[str, ShareModel] = {}


class ShardModel(_Model):
    """The grants of a shard; ``written_by`` is the request id of the write."""

    upstreams: dict[str, UpstreamModel] = {}
    written_by: str = ''


def parse_row(row: platform.Row | None) -> grants.ShardRow:
    """Parse a stored shard row; a missing row has no grants.

    :raises MalformedShardError: if the value does not match ``ShardModel``.
    """
    if row is None:
        return grants.ShardRow()
    try:
        model = ShardModel.model_validate(row.value)
    except pydantic.ValidationError as exc:
        raise errors.MalformedShardError(
            'malformed shard row', key=row.key, reason=str(exc)
        ) from exc
    return grants.ShardRow(
        upstreams={
            address: grants.UpstreamGrants(
                capacity=item.capacity,
                shares={
                    grants.Holder.parse(key): grants.Share(
                        slots=share.slots,
                        horizon_ms=share.horizon_ms,
                        address=share.address,
                    )
                    for key, share in item.shares.items()
                },
            )
            for address, item in model.upstreams.items()
        }
    )


def dump_row(row: grants.ShardRow, written_by: str) -> dict[str, Any]:
    """Serialize a shard row for the store."""
    model = ShardModel(
        upstreams={
            address: UpstreamModel(
                capacity=item.capacity,
                shares={
                    str(holder): ShareModel(
                        slots=share.slots,
                        horizon_ms=share.horizon_ms,
                        address=share.address,
                    )
                    for holder, share in sorted(item.shares.items())
                },
            )
            for address, item in sorted(row.upstreams.items())
        },
        written_by=written_by,
    )
    return model.model_dump()


class HomeModel(_Model):
    """The failure domain whose shard grants the slots of an upstream."""

    failure_domain: str


def parse_home(row: platform.Row | None) -> str:
    """Return the failure domain in a home row, or an empty string.

    :raises MalformedShardError: if the value does not match ``HomeModel``.
    """
    if row is None:
        return ''
    try:
        return HomeModel.model_validate(row.value).failure_domain
    except pydantic.ValidationError as exc:
        raise errors.MalformedShardError(
            'malformed home row', key=row.key, reason=str(exc)
        ) from exc
