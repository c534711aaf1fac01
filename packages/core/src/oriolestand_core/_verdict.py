"""Define the verdict on whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Tell whether a request may have run at an upstream.

    >>> Verdict.DID_NOT_RUN.worst(Verdict.MAY_HAVE_RUN)
    <Verdict.MAY_HAVE_RUN: 'may_have_run'>
    """

    DID_NOT_RUN = 'did_not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def is_safe_to_retry(self) -> bool:
        """Return whether a retry cannot run the request twice."""
        return self is Verdict.DID_NOT_RUN

    def worst(self, other: 'Verdict') -> 'Verdict':
        """Return the more pessimistic verdict: RAN over MAY_HAVE_RUN."""
        order = (Verdict.DID_NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
