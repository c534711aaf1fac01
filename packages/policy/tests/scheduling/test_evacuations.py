"""Tests that workers of an evacuated failure domain get no new tasks."""

import dataclasses

import pytest

from oriolestand_policy import scheduling

POLL_MS = 250


class Site:
    """A harness with workers in the failure domains ``near`` and ``far``."""

    def __init__(self, make, near=1, far=1):
        self.make = make
        self.harness = make.Harness(near + far)
        for number, (name, info) in enumerate(self.harness.infos.items()):
            domain = 'near' if number < near else 'far'
            self.harness.infos[name] = dataclasses.replace(
                info, failure_domain=domain
            )
        self.scheduler = self.harness.scheduler
        self.scheduler.set_workers(self.harness.infos)
        self.scheduler.take_effects()
        self.running = {name: [] for name in self.harness.infos}
        self.sequence = 0

    def evacuate(self, *domains):
        """Evacuate exactly these failure domains."""
        self.scheduler.set_evacuated_domains(frozenset(domains))

    def start(self):
        """Run a round and confirm its starts; return their workers."""
        starts, _ = self.harness.decide(wall=self.harness.now)
        for start in starts:
            self.harness.answer(start)
            self.running[start.worker].append(start)
        return sorted(start.worker for start in starts)

    def end(self, worker, how='done'):
        """Let all runs on a worker end."""
        ends = []
        for start in self.running[worker]:
            self.sequence += 1
            ends.append(self.make.end(start, how, self.sequence))
        self.running[worker] = []
        self.harness.poll(worker, [], ends)

    def poll(self):
        """Let time pass and each worker list its runs."""
        self.harness.now += POLL_MS
        for name, starts in self.running.items():
            self.harness.poll(name, [self.make.report(s) for s in starts])


@pytest.fixture
def site(make):
    """Return a site with one worker in each domain."""
    return Site(make)


@pytest.mark.parametrize(
    'spec',
    [{}, {'is_service': True}, {'is_filling': True, 'image': 'i'}],
    ids=['plain', 'service', 'filling'],
)
@pytest.mark.parametrize('placement', ['mixed', 'first_fit'])
def test_tasks_start_elsewhere(site, spec, placement):
    # Guards against a kind of task, or a strategy, that uses the domain.
    if placement == 'first_fit':
        site.scheduler._task_starter._placement = (
            scheduling.FirstFitPlacement()
        )
    site.evacuate('near')
    site.harness.add('a', scheduling.StepSpec(count=4, cpu=2_000, **spec))
    assert set(site.start()) == {'w1'}
    site.evacuate()
    site.harness.add('b', scheduling.StepSpec(count=4, cpu=2_000))
    assert 'w0' in site.start()


def test_gang_waits_until_it_fits_elsewhere(site):
    # Guards against a member of a gang that is placed in the domain.
    site.evacuate('near')
    gang = scheduling.StepSpec(count=2, cpu=6_000, is_gang=True)
    site.harness.add('a', gang)
    assert site.start() == []
    site.evacuate()
    assert site.start() == ['w0', 'w1']


def test_ended_service_starts_elsewhere(site):
    # Guards against a restart at the place where the task ran before.
    spec = scheduling.StepSpec(count=1, cpu=1_000, is_service=True)
    site.harness.add('a', spec)
    (worker,) = site.start()
    domain = site.harness.infos[worker].failure_domain
    site.evacuate(domain)
    site.end(worker, 'failed')
    site.harness.now += 2_000
    site.poll()
    assert site.start() not in ([], [worker])


def test_reservation_in_the_domain_is_given_up(site):
    # A task would start there once its reservation is fulfilled.
    site.harness.add('a', scheduling.StepSpec(count=2, cpu=9_000))
    assert site.start() == ['w0', 'w1']
    site.harness.add('b', scheduling.StepSpec(count=2, cpu=10_000))
    for _ in range(120):
        site.poll()
        site.start()
    assert any(
        w.capacity.reserved_cpu for w in site.scheduler.workers.values()
    )
    site.evacuate('near', 'far')
    site.end('w0')
    site.end('w1')
    assert site.start() == []
    assert not any(
        w.capacity.reserved_cpu for w in site.scheduler.workers.values()
    )


def test_suspect_is_not_tried_in_the_domain(site):
    # Guards against workers that are kept for suspects of crashes.
    site.harness.add('a', scheduling.StepSpec(count=2, cpu=10_000))
    assert site.start() == ['w0', 'w1']
    site.scheduler.add_job(
        scheduling.JobSpec(
            id='b',
            route='r',
            payload='x',
            steps=(scheduling.StepSpec(count=1, cpu=10_000),),
        ),
        site.harness.now,
        progress={'crashes': [[0, 0, 0, [['z', 'shared']], None]]},
    )
    site.poll()
    site.start()
    workers = site.scheduler.workers
    (kept,) = [n for n, w in workers.items() if w.is_on_probation]
    site.evacuate(site.harness.infos[kept].failure_domain)
    site.end(kept)
    site.poll()
    assert site.start() == []
    site.end('w1' if kept == 'w0' else 'w0')
    site.poll()
    assert site.start() not in ([], [kept])


def test_worker_that_restarts_or_comes_back_is_evacuated(site):
    # Guards against new incarnations and new entries without the mark.
    site.evacuate('near')
    info = dataclasses.replace(site.harness.infos['w0'], process_start_ms=2)
    new = dataclasses.replace(info, id='w9', address='w9:1')
    site.scheduler.set_workers({**site.harness.infos, 'w0': info, 'w9': new})
    site.scheduler.add_former_worker(dataclasses.replace(info, id='w8'))
    assert {
        name: worker.is_evacuated
        for name, worker in site.scheduler.workers.items()
    } == {'w0': True, 'w1': False, 'w9': True, 'w8': True}
    moved = dataclasses.replace(info, failure_domain='far')
    site.scheduler.set_workers({**site.harness.infos, 'w0': moved})
    # The entry alone may be that of another writer.
    assert site.scheduler.workers['w0'].is_evacuated
    report = scheduling.WorkerReport(
        clock_ms=site.harness.now, process_start_ms=2, running=(), ended=()
    )
    now = site.harness.now
    site.scheduler.on_worker_report('w0', report, now, now)
    assert not site.scheduler.workers['w0'].is_evacuated


def test_start_that_is_not_sent_is_withdrawn(site):
    # Guards against an order that waits for a connection or for a record.
    site.harness.add(
        'a', scheduling.StepSpec(count=2, cpu=8_000, is_service=True)
    )
    starts, _ = site.harness.decide()
    (near,) = [s for s in starts if s.worker == 'w0']
    (far,) = [s for s in starts if s.worker == 'w1']
    site.evacuate('near')
    withdrawn = [
        e.worker
        for e in site.scheduler.take_effects()
        if isinstance(e, scheduling.WithdrawStart)
    ]
    assert withdrawn == ['w0']
    is_pending = site.scheduler.is_start_pending
    assert not is_pending('w0', near.key, near.run)
    assert is_pending('w1', far.key, far.run)


def test_nothing_starts_while_the_evacuations_are_not_known(site):
    # Guards against starts by an owner that is cut off from the store.
    site.harness.add('a', scheduling.StepSpec(count=1, cpu=1_000))
    site.scheduler.hold_starts(True)
    assert site.start() == []
    site.scheduler.hold_starts(False)
    assert len(site.start()) == 1
