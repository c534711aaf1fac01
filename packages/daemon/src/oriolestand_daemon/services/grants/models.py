"""Define the validated form of a shard's row."""

from typing import Any

import pydantic

import oriolestand_platform as platform
from oriolestand_policy import grants


class _Model(pydantic.BaseModel):
    """Refuse unknown keys and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ShareModel(_Model):
    """Grant slots to one holder."""

    slots: int = pydantic.Field(ge=1)
    horizon_ms: int = pydantic.Field(ge=0)


class UpstreamModel(_Model):
    """Record the capacity and shares of one upstream."""

    capacity: int = pydantic.Field(ge=0)
    shares: dict[str, ShareModel] = {}


class ShardModel(_Model):
    """Record the grants of a shard; ``written_by`` identifies the write."""

    upstreams: dict[str, UpstreamModel] = {}
    written_by: str = ''


def parse_row(row: platform.Row | None) -> grants.ShardRow:
    """Return the grants in a row; a missing row holds none."""
    if row is None:
        return grants.ShardRow()
    model = ShardModel.model_validate(row.value)
    return grants.ShardRow(
        upstreams={
            address: grants.UpstreamGrants(
                capacity=item.capacity,
                shares={
                    grants.Holder.parse(key): grants.Share(
                        slots=share.slots, horizon_ms=share.horizon_ms
                    )
                    for key, share in item.shares.items()
                },
            )
            for address, item in model.upstreams.items()
        }
    )


def dump_row(row: grants.ShardRow, written_by: str) -> dict[str, Any]:
    """Return the value of a row."""
    model = ShardModel(
        upstreams={
            address: UpstreamModel(
                capacity=item.capacity,
                shares={
                    str(holder): ShareModel(
                        slots=share.slots, horizon_ms=share.horizon_ms
                    )
                    for holder, share in sorted(item.shares.items())
                },
            )
            for address, item in sorted(row.upstreams.items())
        },
        written_by=written_by,
    )
    return model.model_dump()
