"""Decide when to claim a cell and how long its owner may act.

A daemon that owns a cell schedules its jobs; there is one owner at a time.
"""

from oriolestand_policy.ownership._admission import OwnerAdmission
from oriolestand_policy.ownership._election import MAX_UNRENEWED_MS
from oriolestand_policy.ownership._election import OWNER_TIMEOUT_MS
from oriolestand_policy.ownership._election import RENEW_INTERVAL_MS
from oriolestand_policy.ownership._election import ClaimReason
from oriolestand_policy.ownership._election import Election
from oriolestand_policy.ownership._election import Owner
from oriolestand_policy.ownership._election import Renewal
from oriolestand_policy.ownership._election import claim_delay_ms
from oriolestand_policy.ownership._election import takeover_wait_ms
from oriolestand_policy.ownership._election import unsettled_ms
from oriolestand_policy.ownership._handover import GIVE_UP_DELAY_MS
from oriolestand_policy.ownership._handover import Candidacy
from oriolestand_policy.ownership._handover import Candidate
from oriolestand_policy.ownership._handover import HandOver
from oriolestand_policy.ownership._lease_votes import MAX_LIMITED_DELAY_MS
from oriolestand_policy.ownership._lease_votes import UNVOTED_MS
from oriolestand_policy.ownership._lease_votes import VOTE_POLL_WAIT_MS
from oriolestand_policy.ownership._lease_votes import VOTED_LEASE_MS
from oriolestand_policy.ownership._lease_votes import FormerLeases
from oriolestand_policy.ownership._lease_votes import LeaseVotes
from oriolestand_policy.ownership._lease_votes import majority
from oriolestand_policy.ownership._store_clock import StoreClock

__all__ = [
    'Candidacy',
    'Candidate',
    'ClaimReason',
    'Election',
    'FormerLeases',
    'GIVE_UP_DELAY_MS',
    'HandOver',
    'LeaseVotes',
    'MAX_LIMITED_DELAY_MS',
    'MAX_UNRENEWED_MS',
    'OWNER_TIMEOUT_MS',
    'Owner',
    'OwnerAdmission',
    'RENEW_INTERVAL_MS',
    'Renewal',
    'StoreClock',
    'UNVOTED_MS',
    'VOTED_LEASE_MS',
    'VOTE_POLL_WAIT_MS',
    'claim_delay_ms',
    'majority',
    'takeover_wait_ms',
    'unsettled_ms',
]
