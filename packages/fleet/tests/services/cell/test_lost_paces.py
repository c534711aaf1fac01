"""Tests of paces that do not reach their worker."""

from oriolestand_policy import scheduling
from oriolestand_standins.fleet import owner_of

JOB = 'a' * 16
FILLING = scheduling.StepSpec(count=1, cpu=1_000, is_filling=True)


def test_resumption_that_was_lost_is_sent_again(site, daemons):
    # Guards against a task that stays paused: the owner counted it as resumed
    # although the worker had not received the order.
    owner = owner_of(daemons)
    site.submit(owner, JOB, (FILLING,), duration_ms=60_000)
    site.run(500)
    (run,) = site.history
    received = []
    reach_worker = owner.orders._pace

    async def pace(msg):
        await reach_worker(msg)
        received.append(msg.percent)

    owner.orders._pace = pace
    owner.orders.faults.unreachable = {run.worker}
    effect = scheduling.PaceTask(
        worker=run.worker, key=run.key, run=run.number, percent=100
    )
    owner.kernel.find('cell')._owner_term._orders.send([effect])
    site.run(100)
    owner.orders.faults.unreachable = set()
    site.run(5_000)
    assert received == [100]
