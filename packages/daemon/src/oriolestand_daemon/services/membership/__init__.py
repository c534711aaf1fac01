"""Membership service: which instances are live, leaving or gone."""

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.membership._task import MembershipTask


def setup(kernel: core.Kernel, cfg: settings.Settings) -> MembershipTask:
    """Set up the membership service."""
    return MembershipTask(kernel)
