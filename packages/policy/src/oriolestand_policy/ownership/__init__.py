"""Decide when to claim a cell and how long its owner may act.

A daemon that owns a cell schedules its jobs; there is one owner at a time.
"""

from oriolestand_policy.ownership._election import BLIND_LIMIT_MS
from oriolestand_policy.ownership._election import RENEW_INTERVAL_MS
from oriolestand_policy.ownership._election import ClaimReason
from oriolestand_policy.ownership._election import Election
from oriolestand_policy.ownership._election import Owner
from oriolestand_policy.ownership._election import Renewal
from oriolestand_policy.ownership._election import settle_delay_ms

__all__ = [
    'BLIND_LIMIT_MS',
    'ClaimReason',
    'Election',
    'Owner',
    'RENEW_INTERVAL_MS',
    'Renewal',
    'settle_delay_ms',
]
