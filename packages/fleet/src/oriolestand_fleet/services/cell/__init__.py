"""Elect the owner of the cell and schedule tasks on its workers."""

import oriolestand_core as core
from oriolestand_fleet import settings
from oriolestand_fleet.services.cell._task import CellTask


def setup(kernel: core.Kernel, cfg: settings.FleetSettings) -> CellTask:
    """Set up the cell service."""
    return CellTask(kernel, cfg)
