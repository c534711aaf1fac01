"""Tests that the cell has one acting owner when the store is seen late."""

import itertools
import json
import random

import pytest

from oriolestand_fleet import layout
from oriolestand_fleet.messages import store
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_fleet.services.jobs import _owner_view
from oriolestand_policy import fencing
from oriolestand_policy import ownership
from oriolestand_policy import scheduling
from oriolestand_standins import fleet
from oriolestand_standins.fleet import follower_of
from oriolestand_standins.fleet import owner_of
from oriolestand_standins.fleet import result_of

ONE_TASK = (scheduling.StepSpec(count=1, cpu=1_000),)
SECOND_EPOCH = fencing.next_epoch(1)


def stored_owner(site):
    """Return the content of the owner row."""
    key = (layout.TABLE, layout.CELL_PART, layout.OWNER_KEY)
    return json.loads(site.store.rows[key].value)


def record_claims(site):
    """Return a list to which the time of each attempted claim is added."""
    times = []
    commit = site.store.commit

    def record(msg):
        if any(put.key == layout.OWNER_KEY for put in msg.puts):
            times.append(site.clock.now())
        return commit(msg)

    site.store.commit = record
    return times


def acting_owners(daemons):
    """Return the daemons that act as owner."""
    return [daemon for daemon in daemons if daemon.is_owner]


@pytest.mark.parametrize('delay_ms', [2_000, 3_000, 5_000, 9_000])
def test_late_view_does_not_replace_a_healthy_owner(site, daemons, delay_ms):
    # A daemon that receives renewals seconds late must not take the cell
    # from an owner that renews.
    owner = owner_of(daemons)
    before = stored_owner(site)
    site.submit(daemons[0], 'a' * 16, duration_ms=12_000)
    follower = follower_of(daemons)
    for fault_ms in (delay_ms, 0, delay_ms):
        follower.store.faults.change_delay_ms = fault_ms
        site.run(12_000)
        assert stored_owner(site) == before
        assert owner.is_owner
    assert site.overlapping_runs() == []
    assert len(site.history) == 2


def test_daemon_with_a_late_view_takes_over_a_silent_owner(site, daemons):
    # The condition on the renewal row must not prevent a takeover when only
    # a daemon that sees the store late is left.
    lost = owner_of(daemons)
    follower = follower_of(daemons)
    for daemon in daemons:
        if daemon not in (lost, follower):
            daemon.disconnect()
    follower.store.faults.change_delay_ms = 4_000
    site.run(10_000)
    assert lost.is_owner
    lost.disconnect()
    site.run_until(lambda: stored_owner(site)['epoch'] == SECOND_EPOCH, 8_000)


def test_new_owner_renews_while_it_loads_the_cell(site, daemons):
    # A new owner behind a slow link was deposed before it had read the jobs,
    # and the next one after it.
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    lost.disconnect()
    site.run_until(lambda: stored_owner(site)['epoch'] == SECOND_EPOCH, 8_000)
    for daemon in rest:
        daemon.store.faults.change_delay_ms = 5_000
    site.run_until(lambda: bool(acting_owners(rest)), 7_000)
    assert stored_owner(site)['epoch'] == SECOND_EPOCH


def test_owner_that_cannot_load_the_cell_gives_it_up(site, daemons):
    # A cell whose owner renews but never acts would stand still.
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    lost.disconnect()
    site.run_until(lambda: stored_owner(site)['epoch'] == SECOND_EPOCH, 8_000)
    name = stored_owner(site)['instance']
    first = next(
        d for d in rest if d.kernel.find('cell')._cfg.instance == name
    )
    first.store.faults.paused_tables = {layout.TABLE}
    second = next(daemon for daemon in rest if daemon is not first)
    site.run_until(lambda: second.is_owner, 16_000)


def test_unexpected_error_while_loading_does_not_block_the_cell(
    site, daemons, monkeypatch
):
    # The claim of an owner that never acts would be renewed for ever.
    failures = []

    def fail_once(self):
        failures.append(1)
        monkeypatch.undo()
        raise RuntimeError('unexpected')

    monkeypatch.setattr(_owner_view.OwnerView, 'load', fail_once)
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    lost.disconnect()
    site.run_until(lambda: bool(failures), 8_000)
    site.run_until(lambda: bool(acting_owners(rest)), 8_000)


def test_refused_claim_is_repeated_only_after_further_silence(site, daemons):
    # A daemon that learns from a refusal that the owner renews must not send
    # claim after claim.
    times = record_claims(site)
    follower_of(daemons).store.faults.change_delay_ms = 9_000
    site.run(9_000)
    assert len(times) >= 2
    pauses = [later - time for time, later in itertools.pairwise(times)]
    assert min(pauses) >= 2_600


def test_late_changes_do_not_undo_the_rows_of_a_refusal(site, daemons):
    # A claim that names the older version of a late change would be refused
    # again, even if the owner is gone.
    follower = follower_of(daemons)
    follower.store.faults.change_delay_ms = 5_000
    cell = follower.kernel.find('cell')
    versions = []
    for _ in range(100):
        site.run(100)
        versions.append(cell._renewal_version)
    assert versions == sorted(versions)
    assert versions[-1] > versions[0]


@pytest.mark.parametrize(
    ('unanswered_commits', 'effect_delay_ms'), [(2, 0), (2, 1_200), (4, 3_000)]
)
def test_unanswered_claim_does_not_leave_the_cell_without_an_owner(
    site, daemons, unanswered_commits, effect_delay_ms
):
    # A claim may be applied, also late, although its response is lost.
    site.submit(daemons[0], 'a' * 16, duration_ms=9_000)
    site.run(500)
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    for daemon in rest:
        daemon.store.faults.unanswered_commits = unanswered_commits
        daemon.store.faults.effect_delay_ms = effect_delay_ms
    lost.disconnect()
    site.run_until(lambda: stored_owner(site)['epoch'] == SECOND_EPOCH, 10_000)
    site.run_until(lambda: acting_owners(rest) != [], 2_000)
    for daemon in rest:
        daemon.store.faults.unanswered_commits = 0
    site.submit(rest[0], 'b' * 16, duration_ms=1_000)
    site.run(15_000)
    assert len(acting_owners(rest)) == 1
    assert site.overlapping_runs() == []
    assert site.state(rest[0], 'a' * 16) == 'completed'
    assert site.state(rest[0], 'b' * 16) == 'completed'
    assert [run.outcome for run in site.history].count('done') == 4


def test_owner_before_an_unanswered_claim_is_waited_for(site, daemons):
    # That owner may still extend leases of a worker that only it reaches, so
    # the tasks there must not start elsewhere.
    site.submit(daemons[0], 'a' * 16, ONE_TASK, duration_ms=30_000)
    site.run(500)
    worker = site.history[0].worker
    lost = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not lost]
    for daemon in rest:
        daemon.orders.faults.unreachable = {worker}
        daemon.store.faults.unanswered_commits = 2
    lost.store.faults.is_unresponsive = True
    lost.orders.faults.unreachable = set(site.workers) - {worker}
    site.run_until(lambda: acting_owners(rest) != [], 8_000)
    site.run(25_000)
    assert site.overlapping_runs() == []
    assert len(site.history) == 2


def test_owner_that_could_not_renew_claims_the_cell_again(site, daemons):
    # After an outage that outlasts its term, the last owner may be the only
    # daemon that reaches the store.
    owner = owner_of(daemons)
    for daemon in daemons:
        daemon.store.faults.is_unresponsive = True
    site.run_until(lambda: not owner.is_owner, 15_000)
    owner.store.faults.is_unresponsive = False
    site.run_until(lambda: owner.is_owner, 3_000)


def test_owner_that_fails_at_once_does_not_keep_the_cell(site, daemons):
    # A daemon whose terms end with an error at once must claim the cell more
    # and more rarely, so that another daemon can own it.
    broken = owner_of(daemons)
    rest = [daemon for daemon in daemons if daemon is not broken]
    times = record_claims(site)

    def is_owned_by_another():
        owner_term = broken.kernel.find('cell')._owner_term
        if owner_term is not None:
            owner_term._on_ownership_lost('fault')
        return acting_owners(rest) != []

    site.run_until(is_owned_by_another, 8_000)
    assert len(times) <= 6


@pytest.mark.parametrize('seed', range(1, 9))
def test_daemon_with_more_processor_time_owns_the_cell(seed):
    # The owner does most of the work, so a slow instance should own the cell
    # only if there is no faster one.
    site = fleet.FleetSimulation(seed)
    site.add_worker('w0')
    slow = [site.add_daemon(f'slow-{n}', processors=0.3) for n in range(3)]
    fast = [site.add_daemon(f'fast-{n}', processors=2.15) for n in range(2)]
    site.run_until(lambda: acting_owners(slow + fast) != [], 5_000)
    first = owner_of(slow + fast)
    assert first in fast
    site.run(1_000)
    site.shut_down(first)
    fast.remove(first)
    site.run_until(lambda: acting_owners(slow + fast) != [], 5_000)
    second = owner_of(slow + fast)
    assert second in fast
    site.run(1_000)
    second.disconnect()
    site.run_until(lambda: acting_owners(slow) != [], 5_000)


def is_delayed_as_far(daemon):
    """Return whether the claims of a daemon wait as if the store were far."""
    delay_ms = daemon.kernel.find('cell')._election.delay_ms
    return delay_ms > const.CLAIM_JITTER_MS


def test_failed_measurement_of_the_store_latency_counts_as_far(site):
    # A daemon with a bad connection to the store must not claim the cell
    # before others. The connection may be bad only while all daemons start.
    daemon = site.add_daemon('front-0')
    daemon.store.faults.is_down = True
    assert is_delayed_as_far(daemon)
    site.run(4_000)
    assert is_delayed_as_far(daemon)
    daemon.store.faults.is_down = False
    site.run(10_000)
    assert not is_delayed_as_far(daemon)


@pytest.mark.parametrize('fault', ['is_down', 'is_unresponsive'])
def test_store_latency_is_measured_again(site, fault):
    # The store may become far, or be reached over a busy network, at any time.
    daemon = site.add_daemon('front-0')
    site.run(1_000)
    assert not is_delayed_as_far(daemon)
    setattr(daemon.store.faults, fault, True)
    site.run(61_000)
    assert is_delayed_as_far(daemon)


def test_delays_of_claims_are_bounded():
    # A takeover from a silent owner must end within a few seconds even if
    # only a far, slow daemon is left.
    longest_ms = ownership.claim_delay_ms(
        jitter_ms=const.CLAIM_JITTER_MS, store_latency_ms=None, processors=0.01
    )
    assert longest_ms <= 1_500


def test_terms_of_a_daemon_have_different_epochs(site, daemons):
    # Run numbers are derived from the epoch. A term may end before its daemon
    # receives the owner row that it wrote itself.
    lost = owner_of(daemons)
    follower = follower_of(daemons)
    epochs = []

    async def end_at_once(term):
        epochs.append(term.epoch)

    follower.kernel.find('cell')._start_term = end_at_once
    follower.store.faults.change_delay_ms = 2_000
    for daemon in daemons:
        if daemon is not follower:
            daemon.disconnect()
    site.run(12_000)
    assert not lost.is_owner
    assert len(epochs) > 1
    assert len(set(epochs)) == len(epochs)


def replace_owner(site):
    """Write an owner row in the name of another daemon."""
    other = ownership.Owner(instance='other', incarnation='1', epoch=2)
    put = store.Put(key=layout.OWNER_KEY, value=models.encode_owner(other))
    site.store.commit(
        store.CommitRows(
            table=layout.TABLE, part=layout.CELL_PART, checks=(), puts=(put,)
        )
    )


def test_replaced_owner_with_a_late_view_does_not_claim(site, daemons):
    # Its replica names it as the owner until it receives the change, but the
    # refusal of its renewal tells it the new owner.
    former = owner_of(daemons)
    former.store.faults.change_delay_ms = 5_000
    replace_owner(site)
    times = record_claims(site)
    site.run(2_000)
    assert not former.is_owner
    assert times == []


def test_owner_whose_records_are_refused_can_claim_again(site, daemons):
    # The refusal of a record may be the first sign of a newer owner. The
    # daemon must still notice that its term is over.
    former = owner_of(daemons)
    former.store.faults.change_delay_ms = 500
    steps = tuple(
        scheduling.StepSpec(count=1, cpu=1_000, after=tuple(range(n)))
        for n in range(8)
    )
    site.submit(former, 'a' * 16, steps, duration_ms=100)
    site.run_until(lambda: len(site.history) > 2, 3_000)
    term = former.kernel.find('cell')._owner_term.term
    replace_owner(site)
    site.run_until(lambda: term.is_over, 1_000)
    site.run(1_000)
    assert not former.is_owner
    for daemon in daemons:
        if daemon is not former:
            daemon.disconnect()
    site.run_until(lambda: former.is_owner, 8_000)


def test_late_refusal_of_a_former_term_does_not_end_the_next(site, daemons):
    # A daemon may claim the cell again while the second copy of the last
    # renewal of its former term is on its way; that copy is refused.
    owner = owner_of(daemons)
    cell = owner.kernel.find('cell')
    owner.store.faults.unanswered_commits = 1
    site.run_until(lambda: not owner.store.faults.unanswered_commits, 2_000)
    cell._owner_term._on_ownership_lost('fault')
    assert not owner.is_owner
    site.run_until(lambda: owner.is_owner, 300)
    term = cell._owner_term.term
    site.run(2_000)
    assert not term.is_over
    assert stored_owner(site)['epoch'] == term.epoch == SECOND_EPOCH


def test_late_fence_of_a_former_term_does_not_end_the_next(site, daemons):
    # A worker that has seen the next term rejects late orders of the former
    # one.
    owner = owner_of(daemons)
    cell = owner.kernel.find('cell')
    former = cell._owner_term
    former._on_ownership_lost('fault')
    site.run_until(lambda: owner.is_owner, 300)
    term = cell._owner_term.term
    former._on_ownership_lost('fenced')
    site.run(2_000)
    assert not term.is_over
    assert stored_owner(site)['epoch'] == term.epoch == SECOND_EPOCH


def set_random_faults(daemon, workers, rng):
    """Set faults between a daemon, the store and workers."""
    store_faults = daemon.store.faults
    store_faults.is_down = rng.random() < 0.1
    store_faults.is_unresponsive = rng.random() < 0.15
    store_faults.unanswered_commits = rng.choice([0, 0, 1, 2, 3, 4])
    store_faults.effect_delay_ms = rng.choice([0, 500, 1_500, 4_000])
    store_faults.change_delay_ms = rng.choice([0, 0, 0, 1_000, 3_000, 6_000])
    order_faults = daemon.orders.faults
    order_faults.unanswered_starts = rng.choice([0, 0, 1])
    order_faults.effect_delay_ms = rng.choice([0, 3_000])
    is_isolated = rng.random() < 0.2
    order_faults.unreachable = {rng.choice(workers)} if is_isolated else set()


def clear_faults(daemon):
    """End the faults of a daemon."""
    daemon.store.faults = fleet.StoreFaults()
    daemon.orders.faults = fleet.OrderFaults()


@pytest.mark.parametrize('seed', range(1, 11))
def test_random_faults_leave_one_owner_and_no_overlapping_runs(seed):
    # Combinations of late changes, lost responses and outages must neither
    # run a task twice at once nor leave the cell without an acting owner.
    rng = random.Random(seed)
    site = fleet.FleetSimulation(seed)
    workers = ['w0', 'w1', 'w2']
    for name in workers:
        site.add_worker(name)
    daemons = [
        site.add_daemon(f'front-{number}', processors=rng.choice([0.3, 2.15]))
        for number in range(4)
    ]
    site.run(2_000)
    submitted = {}
    for number in range(60):
        for daemon in daemons:
            if rng.random() < 0.25:
                set_random_faults(daemon, workers, rng)
        job = f'{number:016x}'
        submitted[job] = site.submit(
            rng.choice(daemons),
            job,
            ONE_TASK,
            duration_ms=rng.choice([300, 3_000, 9_000]),
        )
        site.run(1_000)
    for daemon in daemons:
        clear_faults(daemon)
    site.run(40_000)
    assert len(acting_owners(daemons)) == 1
    assert site.overlapping_runs() == []
    for job, fut in submitted.items():
        if result_of(fut) is True:
            assert site.state(daemons[0], job) == 'completed'
