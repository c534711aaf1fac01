"""Offer to take the cell of an owner that is too slow."""

import oriolestand_core as core
from oriolestand_fleet import _commits
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import ownership


class CellOffers:
    """Follow the candidate row, and write it when this daemon has time."""

    def __init__(
        self,
        kernel: core.Kernel,
        instance: str,
        election: ownership.Election,
    ) -> None:
        self._kernel = kernel
        self._instance = instance
        self._election = election
        self._log = core.get_logger(const.DOMAIN)
        self._candidacy = ownership.Candidacy()
        self._version = 0

    def apply(self, row: store.Row) -> ownership.Candidate | None:
        """Apply the candidate row; return its content if that is new.

        Raise MalformedRowError if the row is malformed; it is then ignored.
        """
        if row.version <= self._version:
            return None
        self._version = row.version
        candidate = models.decode_candidate(row.value)
        if candidate is not None:
            self._candidacy.on_offer(candidate)
        return candidate

    async def offer_if_due(self, own_delay_ms: int) -> None:
        """Offer to take the cell if its owner is too slow.

        ``own_delay_ms`` is the recent delay of this daemon's event loop.
        """
        owner = self._election.owner
        renewal = self._election.renewal_of_owner
        if owner is None or renewal is None or not owner.instance:
            return
        if not self._candidacy.is_due(
            epoch=owner.epoch,
            owner_delay_ms=renewal.delay_ms,
            own_delay_ms=own_delay_ms,
            wait_ms=self._election.delay_ms,
            now_ms=self._kernel.clock.now(),
        ):
            return
        candidate = ownership.Candidate(
            epoch=owner.epoch, instance=self._instance
        )
        self._candidacy.on_offer(candidate)
        outcome = await _commits.try_commit(
            self._kernel, self._make_offer(candidate)
        )
        self._log.info(
            'Cell offered to be taken',
            epoch=owner.epoch,
            owner=owner.instance,
            owner_delay_ms=renewal.delay_ms,
            is_stored=outcome.result is not None and outcome.result.is_applied,
        )

    def _make_offer(self, candidate: ownership.Candidate) -> store.CommitRows:
        """Return the commit of an offer; only one of several is applied."""
        return store.CommitRows(
            table=layout.TABLE,
            part=layout.CELL_PART,
            checks=(
                store.Check(key=layout.CANDIDATE_KEY, version=self._version),
            ),
            puts=(
                store.Put(
                    key=layout.CANDIDATE_KEY,
                    value=models.encode_candidate(candidate),
                ),
            ),
        )
