"""Pace traffic on links that are billed by volume."""

from oriolestand_policy.pacing._budget import ByteBudget

__all__ = ['ByteBudget']
