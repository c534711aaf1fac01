"""Note what the processors are used for over the load."""

import collections
from collections.abc import Mapping
import dataclasses

from oriolestand_policy import scheduling

MS_PER_S = 1_000


@dataclasses.dataclass(slots=True, kw_only=True)
class CpuRecord:
    """Use of processors over time, in thousandths of a core times seconds.

    ``noted_ms`` is the time of the last account, -1 if there was none.
    """

    uses: collections.Counter[scheduling.CpuUse] = dataclasses.field(
        default_factory=collections.Counter
    )
    noted_ms: int = -1

    def note(self, accounts: Mapping[str, scheduling.IdleAccount]) -> None:
        """Add accounts, each for the time since the one before.

        Accounts that were noted before, and the first ones, add nothing.
        """
        if not accounts:
            return
        now_ms = max(account.now_ms for account in accounts.values())
        passed_ms = now_ms - self.noted_ms if self.noted_ms >= 0 else 0
        if passed_ms > 0:
            for account in accounts.values():
                for use, cpu in account.uses.items():
                    self.uses[use] += cpu * passed_ms // MS_PER_S
        self.noted_ms = max(self.noted_ms, now_ms)
