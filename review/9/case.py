"""A worker comes back as another kind while the store is away."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import fleet  # noqa: E402

WORKERS = 24
STORE_DOWN_S = 4.5
WORKER_DOWN_S = 2.0
CRASH_AFTER_S = 1.7
LABEL = 'b'


async def case(platform, trouble):
    """Return whether a task starts on a worker without its label."""
    await platform.begin(3, WORKERS)
    # One machine is of kind b.
    special = platform.workers[5]
    special.kind = LABEL
    await asyncio.sleep(3)
    job = fleet.job_id()
    body = {
        'spec': '{"ms":3000}',
        'steps': [
            {'count': 2, 'cpu': 1000, 'mem_mb': 512, 'estimate_ms': 3000},
            {
                'count': 4,
                'cpu': 1000,
                'mem_mb': 512,
                'estimate_ms': 3000,
                'after': [0],
                'requires': LABEL,
            },
        ],
    }
    status, _ = await platform.daemons[0].call(
        'POST', fleet.PREFIX + job, body
    )
    if status != 200:
        raise RuntimeError('the submission was not accepted')
    await asyncio.sleep(0.3)
    if trouble:
        platform.store.is_down = True
        platform.record('the store is down')
        await asyncio.sleep(CRASH_AFTER_S)
        special.crash()
        await asyncio.sleep(WORKER_DOWN_S)
        special.kind = 'a'
        await special.start(keeps_id=True)
        await asyncio.sleep(STORE_DOWN_S - WORKER_DOWN_S - CRASH_AFTER_S)
        platform.store.is_down = False
        platform.record('the store is back')
    await asyncio.sleep(6)
    wrong = [
        start
        for start in platform.starts
        if start[2].startswith(f'{job}.0.1.') and start[4] != LABEL
    ]
    right = [s for s in platform.starts if s[4] == LABEL and '.0.1.' in s[2]]
    platform.record(
        f'{len(wrong)} starts without the label, {len(right)} with'
    )
    if not trouble and not right:
        raise RuntimeError('the second step did not start')
    return bool(wrong)


fleet.run_case(case, FOLDER)
