"""Define the verdict on whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Say whether a request may have run at an upstream.

    >>> Verdict.DID_NOT_RUN.worst(Verdict.MAY_HAVE_RUN)
    <Verdict.MAY_HAVE_RUN: 'may_have_run'>
    """

    DID_NOT_RUN = 'did_not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def is_safe_to_retry(self) -> bool:
        """Return whether a repeat cannot cause a second run."""
        return self is Verdict.DID_NOT_RUN

    def worst(self, other: 'Verdict') -> 'Verdict':
        """Return the verdict that claims less about not having run."""
        order = (Verdict.DID_NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
