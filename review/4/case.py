"""Tasks that no worker can run keep a task that lasts from starting again."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / 'standins'))
import deployment  # noqa: E402

BATCH = '5c0e7a21d94b36f8'
LASTING = '94b36f85c07a1d00'
STEPS_BATCH = [{'count': 60, 'cpu': 1_000, 'mem_mb': 500, 'estimate_ms': 3_000,
            'requires': 'r9'}]
STEPS_LASTING = [{'count': 1, 'cpu': 13_000, 'mem_mb': 26_000,
                  'estimate_ms': 400, 'persistent': True}]
AFTER_START_MS = 400
DOWN_S = 3


async def play(site, is_troubled):
    await site.open(
        3, [{'pool': 'blendhouse'}] * 7 + [{'pool': 'blendhouse',
                                            'rack': 'r9'}],
        [('r-batch', '/pufi791/', {'priority': 2}),
         ('r-ledger', '/pule252/', {})])
    await site.wait_for_owner()
    loop = asyncio.get_running_loop()
    crashed = []

    def on_start(worker, run):
        # Each of the two submissions loses its first worker.
        job = run['task'].split('.')[0]
        if not is_troubled or job in crashed:
            return
        crashed.append(job)
        loop.call_later(AFTER_START_MS / 1000, worker.crash)
        if job == LASTING:
            loop.call_later(
                AFTER_START_MS / 1000 + DOWN_S,
                lambda: asyncio.ensure_future(worker.start()))

    for worker in site.workers:
        worker.on_start = on_start
    if not await site.submit('/pufi791/' + BATCH, [3_000], STEPS_BATCH):
        raise deployment.CannotRun('a submission was not accepted')
    # The lease of the lost worker is over after 6 s.
    await asyncio.sleep(10)
    if not await site.submit('/pule252/' + LASTING, [None], STEPS_LASTING):
        raise deployment.CannotRun('a submission was not accepted')
    await asyncio.sleep(DOWN_S + 1)
    if is_troubled and len(crashed) < 2:
        raise deployment.CannotRun('a submission was not started')
    # A task that lasts must run again 6 s after its last run; the 4 s before
    # and the 3 s of the check are calm.
    await asyncio.sleep(20)
    runs = set()
    end = deployment.now_ms() + 3_000
    while deployment.now_ms() < end:
        runs.update(site.runs_of(LASTING))
        await asyncio.sleep(0.02)
    up = sum(w.is_up for w in site.workers)
    state = await site.state('/pule252/' + LASTING)
    site.record.write('at the end', runs=sorted(runs), workers_up=up,
                      state=state)
    return [] if runs else [
        f'LOST: the task that lasts has not run for 23 s, with {up} workers '
        'up and free']


deployment.main(play, HERE)
