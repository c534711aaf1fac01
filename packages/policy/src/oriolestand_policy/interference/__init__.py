"""Estimate which work slows which, and decide what to do about it."""

from oriolestand_policy.interference._interference import HARMFUL
from oriolestand_policy.interference._interference import Advice
from oriolestand_policy.interference._interference import Interference
from oriolestand_policy.interference._interference import LearnedInterference
from oriolestand_policy.interference._interference import NoInterference
from oriolestand_policy.interference._interference import Step
from oriolestand_policy.interference._interference import UsageReport

__all__ = [
    'Advice',
    'HARMFUL',
    'Interference',
    'LearnedInterference',
    'NoInterference',
    'Step',
    'UsageReport',
]
