"""Tasks run twice after the owner was frozen and a worker restarted."""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / 'standins'))
import deployment  # noqa: E402

DAEMONS = 10
FREEZE_S = 1.7
DOWN_S = 0.4
STEPS = [{'count': 4, 'cpu': 7_000, 'mem_mb': 13_000, 'estimate_ms': 2_000}]
PATH = '/pufi791/7a1d94b36f85c0'


async def play(site, is_troubled):
    await site.open(
        DAEMONS, [{'pool': 'blendhouse', 'zone': 'ponmudi'}] * 8,
        [('r-batch', '/pufi791/', {'priority': 2})], is_far=True)
    owner = await site.wait_for_owner()
    other = next(d for d in site.daemons if d is not owner)
    twice = []

    def on_start(worker, run):
        for w in site.workers:
            first = w.running.get(run['task']) if w.is_up else None
            if w is not worker and first is not None:
                twice.append(run['task'])
                site.record.write(
                    'task runs twice', task=run['task'],
                    workers=[w.id, worker.id], runs=[first['run'], run['run']])

    for worker in site.workers:
        worker.on_start = on_start
    for number in range(2):
        # A submission shows which worker comes first.
        if not await site.submit(f'{PATH}{2 * number:02x}', [1_000], STEPS):
            raise deployment.CannotRun('a submission was not accepted')
        await asyncio.sleep(0.5)
        busy = [w for w in site.workers if w.running]
        if not busy:
            raise deployment.CannotRun('no task runs')
        await asyncio.sleep(2.5)
        if is_troubled:
            owner.signal(signal.SIGSTOP)
        began = deployment.now_ms()
        await asyncio.sleep(0.02)
        body = {'spec': json.dumps([2_000]), 'steps': STEPS}
        status, _ = await site.request(
            'POST', f'{PATH}{2 * number + 1:02x}', body, other)
        if status != 200:
            raise deployment.CannotRun('a submission was not accepted')
        left_ms = began + 1_050 - deployment.now_ms()
        await asyncio.sleep(max(0, left_ms) / 1000)
        if is_troubled:
            for worker in busy[:1]:
                worker.crash()
            await asyncio.sleep(DOWN_S)
            for worker in busy[:1]:
                await worker.start(new_id=False)
        left_ms = began + FREEZE_S * 1000 - deployment.now_ms()
        await asyncio.sleep(max(0, left_ms) / 1000)
        if is_troubled:
            owner.signal(signal.SIGCONT)
        await asyncio.sleep(8)
        owner = await site.wait_for_owner()
        other = next(d for d in site.daemons if d is not owner)
    return [f'TWICE: {len(twice)} tasks ran on two workers at the same time: '
            + ', '.join(twice)] if twice else []


deployment.main(play, HERE)
