"""Access to the shard rows in the table service."""

from collections.abc import Sequence
import dataclasses

import oriolestand_core as core
from oriolestand_daemon.messages import platform as store
from oriolestand_daemon.services.grants import const
from oriolestand_daemon.services.grants import models
import oriolestand_platform as platform
from oriolestand_policy import grants


@dataclasses.dataclass(slots=True, kw_only=True)
class _TransactionParts:
    """The checks and puts collected for one transaction."""

    checks: list[platform.Check]
    puts: list[platform.Put]


class ShardStore:
    """Reads and writes shard rows through the platform service.

    :param failure_domain: domain that becomes the home of new upstreams.
    """

    def __init__(self, kernel: core.Kernel, failure_domain: str) -> None:
        self._kernel = kernel
        self._failure_domain = failure_domain

    async def read(self, key: str) -> tuple[grants.ShardRow, int]:
        """Return a shard's row and its version, which is 0 without a row."""
        row = await self._read(const.TABLE, key)
        return models.parse_row(row), row.version if row else 0

    async def _read(self, table: str, key: str) -> platform.Row | None:
        """Return a row of a table, or None."""
        row: platform.Row | None = await self._kernel.ask(
            'platform', store.ReadRow(table=table, key=key)
        )
        return row

    async def write(
        self,
        key: str,
        former: grants.ShardRow,
        row: grants.ShardRow,
        version: int,
    ) -> bool:
        """Write a row if its version is unchanged; return whether applied.

        The same transaction makes this shard the home of the upstreams that
        are new in it, so that an upstream whose failure domain was edited is
        never granted from two shards.
        """
        request_id = self._kernel.ids.request_id()
        parts = _TransactionParts(checks=[], puts=[])
        self._add_shard_write(parts, key, row, version, request_id)
        new_addresses = sorted(set(row.upstreams) - set(former.upstreams))
        if not await self._claim_homes(parts, new_addresses, request_id):
            return False
        result = await self._kernel.ask(
            'platform',
            store.Commit(
                transaction=platform.Transaction(
                    request_id=request_id,
                    checks=tuple(parts.checks),
                    puts=tuple(parts.puts),
                )
            ),
        )
        return bool(result.applied)

    def _add_shard_write(
        self,
        parts: _TransactionParts,
        key: str,
        row: grants.ShardRow,
        version: int,
        request_id: str,
    ) -> None:
        """Add the write of a shard's row to a transaction."""
        parts.checks.append(
            platform.Check(table=const.TABLE, key=key, version=version)
        )
        parts.puts.append(
            platform.Put(
                table=const.TABLE,
                key=key,
                value=models.dump_row(row, request_id),
            )
        )

    async def _claim_homes(
        self,
        parts: _TransactionParts,
        addresses: Sequence[str],
        request_id: str,
    ) -> bool:
        """Make this failure domain the home of upstreams.

        Returns False if the former home still has shares of one of them.
        """
        for address in addresses:
            home = await self._read(const.HOME_TABLE, address)
            domain = models.parse_home(home)
            parts.checks.append(
                platform.Check(
                    table=const.HOME_TABLE,
                    key=address,
                    version=home.version if home else 0,
                )
            )
            if domain == self._failure_domain:
                continue
            if domain and not await self._remove_from_shard(
                parts, domain, address, request_id
            ):
                return False
            parts.puts.append(
                platform.Put(
                    table=const.HOME_TABLE,
                    key=address,
                    value={'failure_domain': self._failure_domain},
                )
            )
        return True

    async def _remove_from_shard(
        self,
        parts: _TransactionParts,
        domain: str,
        address: str,
        request_id: str,
    ) -> bool:
        """Remove an upstream from its former shard.

        Returns False if it still has shares there.
        """
        key = grants.shard_key(domain, address)
        row, version = await self.read(key)
        former = row.upstreams.get(address)
        if former is not None and former.shares:
            return False
        rest = {a: g for a, g in row.upstreams.items() if a != address}
        self._add_shard_write(
            parts, key, grants.ShardRow(upstreams=rest), version, request_id
        )
        return True
