"""Dispatch service: decides which upstream or peer serves each request."""

import random

import oriolestand_core as core
from oriolestand_daemon import settings
from oriolestand_daemon.services.dispatch._task import DispatchTask
from oriolestand_policy import admission
from oriolestand_policy import dispatching
from oriolestand_policy import placement


def setup(kernel: core.Kernel, cfg: settings.Settings) -> DispatchTask:
    """Set up the dispatch service."""
    shares = admission.ShareConfig(**cfg.shares.model_dump())
    dispatcher = dispatching.Dispatcher(
        placement.TwoChoicesPlacement(random.Random(kernel.incarnation)),
        lambda limit: admission.FairQueue(limit, shares),
    )
    return DispatchTask(kernel, dispatcher)
