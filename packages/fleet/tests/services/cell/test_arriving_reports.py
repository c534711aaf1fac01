"""Test that the owner waits for a report that has begun to arrive."""

import pytest

from oriolestand_fleet.messages import orders
from oriolestand_standins.fleet import owner_of


@pytest.mark.parametrize(('epoch', 'is_awaited'), [(1, True), (9, False)])
def test_begun_report_is_noted_by_its_owner(site, daemons, epoch, is_awaited):
    # Guards against a lease that is judged before the rest of a report, and
    # against a wait for the report of another owner.
    kernel = owner_of(daemons).kernel
    kernel.publish(orders.ReportBegun(worker='w0', epoch=epoch))
    workers = kernel.find('cell')._owner_term._scheduler.workers
    assert workers['w0'].is_report_arriving is is_awaited
    assert not workers['w1'].is_report_arriving
    site.run(3_000)
    assert not workers['w0'].is_report_arriving
