"""A submission runs although its cancelling was acknowledged."""

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
FREEZE_S = 3.5
BUDGET_MS = 3_000
JOB = '1d94b36f85c07a00'
PATH = '/pufi791/' + JOB
STEP = {'count': 4, 'cpu': 2_000, 'mem_mb': 256, 'estimate_ms': 4_000}
STEPS = [STEP, {**STEP, 'after': [0]}]


async def play(site, is_troubled):
    await site.open(DAEMONS, [{'pool': 'blendhouse'}] * 8,
                    [('r-batch', '/pufi791/', {'priority': 2})])
    owner = await site.wait_for_owner()
    first, second = [d for d in site.daemons if d is not owner][:2]
    late = []
    acknowledged = None

    def on_start(worker, run):
        if acknowledged is not None:
            after = deployment.now_ms() - acknowledged
            if after > deployment.BOUNDS['cancel_ms']:
                late.append((run['task'], after))

    for worker in site.workers:
        worker.on_start = on_start
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()
    if is_troubled:
        first.signal(signal.SIGSTOP)
        loop.call_later(FREEZE_S, first.signal, signal.SIGCONT)
    began = deployment.now_ms()
    body = {'spec': json.dumps([4_000, 500]), 'steps': STEPS}
    status, _ = await deployment.call(
        first.front, 'POST', PATH, site.HOST, body, BUDGET_MS)
    site.record.write('request', method='POST', path=PATH, daemon=first.name,
                      status=status, took_ms=deployment.now_ms() - began)
    # The requester leaves and cancels, at another daemon.
    status, _ = await site.request('DELETE', PATH, daemon=second)
    if not (200 <= status < 300 or status == 410):
        raise deployment.CannotRun('the cancelling was not acknowledged')
    acknowledged = deployment.now_ms()
    await asyncio.sleep(14)
    status, body = await site.request('GET', PATH, daemon=second)
    site.record.write('starts later than cancel_ms after the ack', late=late)
    return [f'UNASKED: {len(late)} starts, the last '
            f'{late[-1][1]} ms after the ack of the cancelling, by a machine '
            'in touch'] if late else []


deployment.main(play, HERE)
