"""Define the verdict on whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request has run at an upstream, as far as is certain.

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
        """Return the worse of two verdicts; RAN is worse than MAY_HAVE_RUN."""
        order = (Verdict.DID_NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
        return max(self, other, key=order.index)
