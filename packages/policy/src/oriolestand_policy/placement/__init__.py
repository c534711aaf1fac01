"""Choose upstreams and keep an eye on their health."""

from oriolestand_policy.placement._placement import Candidate
from oriolestand_policy.placement._placement import Placement
from oriolestand_policy.placement._placement import TwoChoicesPlacement

__all__ = ['Candidate', 'Placement', 'TwoChoicesPlacement']
