"""Estimate how batch tasks slow services, and choose mitigations."""

from oriolestand_policy.interference._interference import NOISY_SLOWDOWN
from oriolestand_policy.interference._interference import Advice
from oriolestand_policy.interference._interference import Interference
from oriolestand_policy.interference._interference import LearnedInterference
from oriolestand_policy.interference._interference import NoInterference
from oriolestand_policy.interference._interference import Step
from oriolestand_policy.interference._interference import UsageReport
from oriolestand_policy.interference._meter import Slowdown
from oriolestand_policy.interference._meter import SlowdownMeter

__all__ = [
    'Slowdown',
    'SlowdownMeter',
    'Advice',
    'NOISY_SLOWDOWN',
    'Interference',
    'LearnedInterference',
    'NoInterference',
    'Step',
    'UsageReport',
]
