"""Commit rows that only the owner of the cell may write."""

from collections.abc import Sequence

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import models


async def commit_as_owner(
    kernel: core.Kernel,
    term: models.Term,
    puts: Sequence[store.Put],
    checks: Sequence[store.Check] = (),
) -> _commits.CommitOutcome:
    """Commit rows on condition that the daemon still owns the cell."""
    owner = store.Check(key=layout.OWNER_KEY, version=term.owner_version)
    return await _commits.try_commit(
        kernel,
        store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=(owner, *checks),
            puts=tuple(puts),
        ),
    )
