"""Record the learned interference model for the next owner."""

import oriolestand_core as core
from oriolestand_fleet import _rows
from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import _owner_commits
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class InterferenceRecord:
    """Restore the interference model from its row and keep the row current."""

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        model: scheduling.InterferenceModel,
        row: store.Row | None,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._model = model
        self._log = core.get_logger(const.DOMAIN)
        self._next_ms = kernel.clock.now() + const.PRESSURE_INTERVAL_MS
        self._saved = self._decode(row)
        model.restore(self._saved)

    def _decode(self, row: store.Row | None) -> scheduling.LearnedPressure:
        """Decode the stored model; a malformed one is learned again."""
        try:
            return models.decode_pressure(row.value if row else None)
        except _rows.MalformedRowError as exc:
            self._log.error(
                'Malformed interference model ignored',
                key=layout.PRESSURE_KEY,
                why=str(exc),
            )
            return scheduling.LearnedPressure()

    async def update(self) -> None:
        """Write the row if it is due and the model has changed enough."""
        now = self._kernel.clock.now()
        if now < self._next_ms:
            return
        self._next_ms = now + const.PRESSURE_INTERVAL_MS
        learned = self._model.learned()
        if not learned.differs_significantly_from(self._saved):
            return
        value = models.encode_pressure(learned)
        outcome = await _owner_commits.commit_as_owner(
            self._kernel,
            self._term,
            (
                store.Put(
                    key=layout.PRESSURE_KEY,
                    value=value,
                    table=layout.OWNER_TABLE,
                ),
            ),
        )
        if outcome.result is not None and outcome.result.is_applied:
            self._saved = learned
            return
        # The write is retried at the next interval. A successor before then
        # would have to learn the model again.
        self._log.info('Learned pressure not written', why=outcome.error)
