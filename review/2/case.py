"""A worker entry that cannot be read stops all scheduling."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / 'standins'))
import deployment  # noqa: E402

UNREADABLE = b'{"entry":' + b'[' * 1_200
"""1.2 KB that are no JSON; a row may have 64 KB."""

CPU = 2_000
STEPS = [{'count': 4, 'cpu': CPU, 'mem_mb': 256, 'estimate_ms': 800}]
JOBS = [f'5c0e7a21d94b36{n:02x}' for n in range(8)]
LAST_TRAFFIC_S = 6


async def play(site, is_troubled):
    await site.open(3, [{'pool': 'blendhouse'}] * 8,
                    [('r-quote', '/lohu930/', {})])
    await site.wait_for_owner()
    first = '00000000000000aa'
    await site.submit('/lohu930/' + first, [500], STEPS)
    await asyncio.sleep(3)
    if await site.state('/lohu930/' + first) != 'completed':
        raise deployment.CannotRun('the site does not run tasks')
    if is_troubled:
        # The other writer pings like any worker, every 1.5 s.
        async def write():
            count = 0
            while True:
                count += 1
                site.store.put('servers', 'i-0000bad0',
                               UNREADABLE + b'[' * (count % 7))
                await asyncio.sleep(deployment.PING_MS / 1000)
        writer = asyncio.ensure_future(write())
        site.record.write('entry of another writer', id='i-0000bad0',
                          bytes=len(UNREADABLE))
    accepted = []
    for job in JOBS:
        if await site.submit('/lohu930/' + job, [800], STEPS):
            accepted.append(job)
        await asyncio.sleep(LAST_TRAFFIC_S / len(JOBS))
    if len(accepted) < len(JOBS):
        raise deployment.CannotRun('not all submissions were accepted')
    # finish_s after the end of the traffic submissions are asked for.
    await asyncio.sleep(deployment.BOUNDS['finish_s'])
    states = {job: await site.state('/lohu930/' + job) for job in accepted}
    idle = set(accepted)
    end = deployment.now_ms() + 3_000
    while deployment.now_ms() < end:
        idle -= {job for job in idle if site.runs_of(job)}
        await asyncio.sleep(0.02)
    if is_troubled:
        writer.cancel()
    lost = [job for job in accepted
            if states[job] != 'completed' and job in idle]
    site.record.write('states after finish_s', states=states)
    return [f'LOST: {len(lost)} of {len(accepted)} accepted submissions have '
            'nothing running for 3 s, with all workers free'] if lost else []


deployment.main(play, HERE)
