"""Traffic of quick and filling jobs at a given load."""

from collections.abc import Iterator
import dataclasses
import enum
import itertools
import math
import random

from oriolestand_policy import scheduling

FILLING_IMAGES = 30
FAILURE_DOMAINS = 3
LATE_FACTOR = 3
"""A job that takes up to this many times its objective counts as late."""

QUICK_SHARE = 0.07
"""Share of quick jobs in the offered work: about one job in three."""

TASK_SPREAD = 0.15
"""Spread of the run times of the tasks of one step."""

MIN_RUN_MS = 50
MS_PER_S = 1_000


class Kind(enum.StrEnum):
    """Kind of a job, and the name of its route."""

    QUICK = 'quick'
    FILLING = 'filling'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Amount:
    """Lognormal distribution with a mean, a spread and an upper limit."""

    mean: float
    spread: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Return a random value."""
        location = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, rng.lognormvariate(location, self.spread))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Profile:
    """Sizes and objectives of the jobs of a kind.

    ``run_ms`` is the run time of a task, ``cpu`` in thousandths of a core.
    ``estimate_spread`` is that of the factor by which estimates are off.
    """

    priority: int
    stretch: float
    target_ms: int
    steps: Amount
    width: Amount
    run_ms: Amount
    cpu: Amount
    memory_mb: int
    estimate_spread: float = 0.0
    checkpoint_share: float = 0.0


PROFILES = {
    Kind.QUICK: Profile(
        priority=0,
        stretch=1.5,
        target_ms=600,
        steps=Amount(mean=1.6, spread=0.4, most=4),
        width=Amount(mean=6, spread=0.8, most=34),
        run_ms=Amount(mean=800, spread=0.5, most=2_000),
        cpu=Amount(mean=4_600, spread=0.45, most=14_000),
        memory_mb=7_600,
    ),
    Kind.FILLING: Profile(
        priority=2,
        stretch=2.0,
        target_ms=1_000,
        steps=Amount(mean=2, spread=0.4, most=5),
        width=Amount(mean=8, spread=0.6, most=32),
        run_ms=Amount(mean=2_200, spread=0.5, most=5_400),
        cpu=Amount(mean=7_000, spread=0.3, most=14_000),
        memory_mb=13_000,
        estimate_spread=0.9,
        checkpoint_share=0.85,
    ),
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStep:
    """Step of a planned job, with the run time of each task."""

    cpu: int
    run_ms: tuple[int, ...]
    estimate_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannedJob:
    """Job that will be submitted; its steps follow each other.

    ``arrival_ms`` counts from the begin of its traffic. ``domain`` is the
    failure domain of the caller, which the scheduler does not know.
    """

    kind: Kind
    arrival_ms: int
    domain: int
    image: str
    has_checkpoints: bool
    steps: tuple[PlannedStep, ...]

    @property
    def work(self) -> float:
        """Return the processor time of all tasks, in core seconds."""
        total = sum(step.cpu * sum(step.run_ms) for step in self.steps)
        return total / 1_000 / MS_PER_S

    @property
    def objective_ms(self) -> int:
        """Return the time in which the job should complete."""
        profile = PROFILES[self.kind]
        chain_ms = sum(max(step.run_ms) for step in self.steps)
        return int(profile.stretch * chain_ms) + profile.target_ms

    def specs(self) -> tuple[scheduling.StepSpec, ...]:
        """Return the steps as they are submitted."""
        is_filling = self.kind is Kind.FILLING
        return tuple(
            scheduling.StepSpec(
                count=len(step.run_ms),
                cpu=step.cpu,
                memory_mb=PROFILES[self.kind].memory_mb,
                estimate_ms=step.estimate_ms,
                after=(number - 1,) if number else (),
                has_checkpoints=self.has_checkpoints,
                is_filling=is_filling,
                image=self.image,
            )
            for number, step in enumerate(self.steps)
        )


def _draw_step(
    rng: random.Random, profile: Profile, width_factor: int
) -> PlannedStep:
    """Return a random step."""
    width = max(1, round(width_factor * profile.width.draw(rng)))
    step_ms = profile.run_ms.draw(rng)
    run_ms = tuple(
        max(
            MIN_RUN_MS,
            round(
                min(
                    profile.run_ms.most,
                    step_ms * rng.lognormvariate(0.0, TASK_SPREAD),
                )
            ),
        )
        for _ in range(width)
    )
    error = rng.lognormvariate(0.0, profile.estimate_spread)
    return PlannedStep(
        cpu=max(100, round(profile.cpu.draw(rng))),
        run_ms=run_ms,
        estimate_ms=max(1, round(step_ms * error)),
    )


def _draw_job(rng: random.Random, kind: Kind, width_factor: int) -> PlannedJob:
    """Return a random job that arrives at 0."""
    profile = PROFILES[kind]
    image = rng.randrange(FILLING_IMAGES)
    return PlannedJob(
        kind=kind,
        arrival_ms=0,
        domain=rng.randrange(FAILURE_DOMAINS),
        image=f'f{image}' if kind is Kind.FILLING else '',
        has_checkpoints=rng.random() < profile.checkpoint_share,
        steps=tuple(
            _draw_step(rng, profile, width_factor)
            for _ in range(max(1, round(profile.steps.draw(rng))))
        ),
    )


def _jobs_of_kind(
    seed: str, kind: Kind, work: float, duration_ms: int, width_factor: int
) -> Iterator[PlannedJob]:
    """Yield the first jobs of a kind that need some core seconds together.

    Job number N is the same whatever the work. Arrivals are those of a
    Poisson process with the number of jobs given, so that short runs offer
    the work that they should.
    """
    arrivals = random.Random(f'{seed}/{kind}/arrivals')
    for number in itertools.count():
        rng = random.Random(f'{seed}/{kind}/{number}')
        job = _draw_job(rng, kind, width_factor)
        # The last job is left out if half of it would be too much.
        work -= job.work
        if work < -job.work / 2:
            return
        yield dataclasses.replace(
            job, arrival_ms=arrivals.randrange(duration_ms)
        )


def plan(
    seed: str, cores: float, duration_ms: int, width_factor: int
) -> list[PlannedJob]:
    """Return the jobs that need so many cores on average, by arrival."""
    work = cores * duration_ms / MS_PER_S
    shares = {Kind.QUICK: QUICK_SHARE, Kind.FILLING: 1.0 - QUICK_SHARE}
    jobs = itertools.chain.from_iterable(
        _jobs_of_kind(seed, kind, share * work, duration_ms, width_factor)
        for kind, share in shares.items()
    )
    return sorted(jobs, key=lambda job: (job.arrival_ms, job.kind))
