"""Account of the processors, memory and accelerators of a worker.

All formulas of a worker's capacity are here. Processors are in thousandths of
a core, memory in MB.
"""

from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from oriolestand_policy.scheduling import _amounts
from oriolestand_policy.scheduling import _figures
from oriolestand_policy.scheduling import _obstacles
from oriolestand_policy.scheduling import _specs

SERVICE_CPU_UTILIZATION = 0.55
"""Share of their requested processors that busy service tasks use."""

FULL_PACE = 100
"""Pace in percent of a run that is not slowed."""


def paced_cpu(cpu: int, pace: int) -> float:
    """Return the processors that a run uses at a pace in percent.

    >>> paced_cpu(4_000, 25)
    1000.0
    """
    return cpu * pace / FULL_PACE


class Use(NamedTuple):
    """What a run requests, and its pace in percent."""

    spec: _specs.StepSpec
    pace: int


class UseUntil(NamedTuple):
    """What a run requests, and the time until it ends."""

    remaining_ms: int
    use: Use


@dataclasses.dataclass(slots=True, kw_only=True)
class Capacity:
    """Size of a worker, and what its runs and waiting tasks take of it.

    ``cpu``, ``memory_mb`` and ``accelerators`` are the size. The ``used``
    amounts are the claims of all runs. ``plain_cpu`` is the request of plain
    and gang runs, ``service_cpu`` that of services, ``filling_cpu`` that of
    filling runs; a service may be a filling run too. ``slowed_percent`` is
    what runs leave idle as they are slowed, in hundredths of a unit. The
    ``reserved`` amounts are kept free for waiting tasks. ``kept`` is the
    filling task that idle processors are kept for, and ``kept_cpu`` what
    plain and gang tasks leave free for it.
    """

    cpu: int
    memory_mb: int
    accelerators: int = 0
    used_cpu: int = 0
    used_memory: int = 0
    used_accelerators: int = 0
    plain_cpu: int = 0
    service_cpu: int = 0
    filling_cpu: int = 0
    slowed_percent: int = 0
    reserved_cpu: int = 0
    reserved_memory: int = 0
    reserved_accelerators: int = 0
    kept: _specs.StepSpec | None = None
    kept_cpu: int = 0

    # Changes.

    def resize(self, cpu: int, memory_mb: int, accelerators: int) -> None:
        """Set the size that the worker reports of itself."""
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    def add(self, spec: _specs.StepSpec, pace: int, sign: int = 1) -> None:
        """Add (``sign`` 1) or remove (-1) the use of a run."""
        cpu = sign * spec.cpu
        if spec.is_filling:
            self.filling_cpu += cpu
        else:
            self.used_cpu += cpu
        if spec.is_service:
            self.service_cpu += cpu
        elif not spec.is_filling:
            self.plain_cpu += cpu
        self.used_memory += sign * spec.memory_mb
        self.used_accelerators += sign * spec.accelerators
        if pace < FULL_PACE:
            self.slowed_percent += cpu * (FULL_PACE - pace)

    def change_pace(self, spec: _specs.StepSpec, old: int, new: int) -> None:
        """Set the pace of a run."""
        self.slowed_percent += spec.cpu * (
            min(old, FULL_PACE) - min(new, FULL_PACE)
        )

    def reserve(self, spec: _specs.StepSpec, sign: int = 1) -> None:
        """Reserve capacity for a waiting task, or return it (``sign`` -1)."""
        self.reserved_cpu += sign * spec.cpu
        self.reserved_memory += sign * spec.memory_mb
        self.reserved_accelerators += sign * spec.accelerators

    def keep(self, spec: _specs.StepSpec | None) -> bool:
        """Keep idle processors for a filling task; return whether it is new.

        Services leave a part of their own capacity idle, so that plain and
        gang tasks need to leave only the rest.
        """
        cpu = 0
        if spec is not None:
            idle = self.idle_beside_services() - (self.cpu - self.service_cpu)
            cpu = max(0, spec.cpu - int(idle))
        if spec is self.kept and cpu == self.kept_cpu:
            return False
        self.kept = spec
        self.kept_cpu = cpu
        return True

    # Processors.

    @property
    def free_cpu(self) -> int:
        """Return what plain, gang and service runs leave; may be negative."""
        return self.cpu - self.used_cpu

    @property
    def idle_in_services(self) -> float:
        """Return what busy services leave idle of what they request."""
        return self.service_cpu * (1.0 - SERVICE_CPU_UTILIZATION)

    def idle_cpu(self) -> float:
        """Return what no run uses while services are busy.

        It is negative while plain tasks displace filling ones.
        """
        idle = self.idle_in_services
        slowed = self.slowed_percent / FULL_PACE
        return self.cpu - (self.used_cpu + self.filling_cpu - idle - slowed)

    def unkept_cpu(self) -> float:
        """Return what no run uses and is kept for no waiting filling task."""
        kept = self.kept.cpu if self.kept is not None else 0
        return self.idle_cpu() - kept

    def idle_beside_services(self) -> float:
        """Return what busy services would leave idle without other runs.

        The sum with ``idle_in_services`` is rounded below whole numbers, so
        that a task which needs exactly this much would not fit.
        """
        return self.cpu - self.service_cpu * SERVICE_CPU_UTILIZATION

    def share(self, cpu: float) -> float:
        """Return an amount as a share of the worker's processors."""
        # An ``or`` costs less than a call, and sizes are not negative.
        return cpu / (self.cpu or 1)

    def paced_share(self, cpu: int, pace: int) -> float:
        """Return the share that a run uses at a pace in percent."""
        return cpu * pace / FULL_PACE / (self.cpu or 1)

    # Room for tasks.

    @property
    def size(self) -> _amounts.Amounts:
        """Return the amounts of an empty worker."""
        return _amounts.Amounts(self.cpu, self.memory_mb, self.accelerators)

    @property
    def is_mixed(self) -> bool:
        """Return whether filling tasks may disturb service tasks here."""
        return bool(self.service_cpu and self.filling_cpu)

    @property
    def is_reserved(self) -> bool:
        """Return whether capacity is reserved."""
        return bool(
            self.reserved_cpu
            or self.reserved_memory
            or self.reserved_accelerators
        )

    def is_over(self) -> bool:
        """Return whether the runs need more than the present size."""
        return (
            self.used_cpu > self.cpu
            or self.used_memory > self.memory_mb
            or self.used_accelerators > self.accelerators
        )

    def has_room_for_reserved(self) -> bool:
        """Return whether all of the reserved capacity has become free."""
        return (
            self.used_cpu + self.reserved_cpu <= self.cpu
            and self.used_memory + self.reserved_memory <= self.memory_mb
            and self.used_accelerators + self.reserved_accelerators
            <= self.accelerators
        )

    def shortage(
        self, spec: _specs.StepSpec, *, is_kept: bool = False
    ) -> _obstacles.Obstacle | None:
        """Return what a task lacks beside the runs and reservations.

        ``is_kept`` is whether idle processors are kept for this task.
        """
        cpu = self.used_cpu
        reserved_cpu = 0
        if not spec.is_filling:
            cpu += spec.cpu
            reserved_cpu = self.reserved_cpu
        if cpu > self.cpu:
            return _obstacles.Obstacle.CPU
        memory = self.used_memory + spec.memory_mb
        if memory > self.memory_mb:
            return _obstacles.Obstacle.MEMORY
        accelerators = self.used_accelerators + spec.accelerators
        if accelerators > self.accelerators:
            return _obstacles.Obstacle.ACCELERATORS
        memory += self.reserved_memory
        accelerators += self.reserved_accelerators
        kept = self.kept
        if kept is not None and not (is_kept or spec.is_service):
            reserved_cpu += 0 if spec.is_filling else self.kept_cpu
            memory += kept.memory_mb
            accelerators += kept.accelerators
        if (
            cpu + reserved_cpu > self.cpu
            or memory > self.memory_mb
            or accelerators > self.accelerators
        ):
            return _obstacles.Obstacle.RESERVED
        return None

    def unreserved(self) -> _amounts.Amounts:
        """Return what runs and reservations leave; it may be negative."""
        return _amounts.Amounts(
            self.cpu - self.used_cpu - self.reserved_cpu,
            self.memory_mb - self.used_memory - self.reserved_memory,
            self.accelerators
            - self.used_accelerators
            - self.reserved_accelerators,
        )

    def room_for(self, spec: _specs.StepSpec, limit: int) -> int:
        """Return how many tasks fit beside what is kept, at most ``limit``.

        One of them must fit.
        """
        left = self.unreserved()
        if self.kept is not None and not spec.is_service:
            left = left.minus(
                _amounts.Amounts(
                    self.kept_cpu, self.kept.memory_mb, self.kept.accelerators
                )
            )
        for amount, claim in zip(left, _amounts.claim_of(spec), strict=True):
            if claim:
                limit = min(limit, amount // claim)
        return limit

    def missing(self, demand: _amounts.Amounts) -> _amounts.Amounts:
        """Return how much is missing for a demand; not positive: enough."""
        return _amounts.Amounts(
            self.used_cpu + demand.cpu - self.cpu,
            self.used_memory + demand.memory_mb - self.memory_mb,
            self.used_accelerators + demand.accelerators - self.accelerators,
        )

    def has_room_beside(
        self, specs: Iterable[_specs.StepSpec], demand: _amounts.Amounts
    ) -> bool:
        """Return whether a demand fits once only some runs are left."""
        claims = _amounts.total(map(_amounts.claim_of, specs))
        return claims.plus(demand).is_within(self.size)

    def has_idle_room_beside(
        self, specs: Iterable[_specs.StepSpec], task: _specs.StepSpec
    ) -> bool:
        """Return whether a filling task fits once only some runs are left.

        The processors of services that are not busy count as idle.
        """
        claims = _amounts.total(map(_amounts.claim_of, specs)).plus(
            _amounts.claim_of(task)
        )
        return (
            task.cpu <= self.idle_beside_services()
            and claims.memory_mb <= self.memory_mb
            and claims.accelerators <= self.accelerators
        )

    def time_until_room_ms(
        self, demand: _amounts.Amounts, ends: Iterable[UseUntil]
    ) -> int:
        """Return when a demand fits, if runs end in this order."""
        cpu, memory, accelerators = self.missing(demand)
        passed_ms = 0
        for remaining_ms, (spec, _) in ends:
            if cpu <= 0 and memory <= 0 and accelerators <= 0:
                break
            passed_ms = remaining_ms
            if not spec.is_filling:
                cpu -= spec.cpu
            memory -= spec.memory_mb
            accelerators -= spec.accelerators
        return passed_ms

    def time_until_idle_ms(
        self, task: _specs.StepSpec, ends: Iterable[UseUntil]
    ) -> int:
        """Return when a filling task fits, if runs end in this order.

        If it fits by now, services lack headroom. Which runs leave enough is
        not known, so the time is that of the last end.
        """
        cpu = task.cpu - self.idle_cpu()
        memory = self.missing(_amounts.claim_of(task)).memory_mb
        needs_all = cpu <= 0 and memory <= 0
        passed_ms = 0
        for remaining_ms, (spec, pace) in ends:
            if cpu <= 0 and memory <= 0 and not needs_all:
                break
            passed_ms = remaining_ms
            cpu -= paced_cpu(spec.cpu, pace)
            memory -= spec.memory_mb
        return passed_ms

    # Reports and checks.

    def add_to(self, figures: _figures.Figures) -> None:
        """Add the account of the processors, in whole thousandths."""
        services = self.service_cpu - round(self.idle_in_services)
        used_by_filling = self.used_cpu + self.filling_cpu
        used_by_filling -= self.plain_cpu + self.service_cpu
        used_by_filling -= round(self.slowed_percent / FULL_PACE)
        idle = self.cpu - services - self.plain_cpu - used_by_filling
        kept = self.kept.cpu if self.kept is not None else 0
        free = max(0, self.free_cpu)
        figures.size_cpu += self.cpu
        figures.busy_service_cpu += services
        figures.plain_cpu += self.plain_cpu
        figures.paced_filling_cpu += used_by_filling
        figures.idle_cpu += max(0, idle)
        figures.overcommitted_cpu += max(0, -idle)
        figures.largest_idle_cpu = max(figures.largest_idle_cpu, idle - kept)
        figures.reserved_cpu += self.reserved_cpu
        figures.kept_cpu += kept
        figures.free_cpu += free
        figures.largest_free_cpu = max(figures.largest_free_cpu, free)
        figures.filling_cpu += self.filling_cpu

    def discrepancies(
        self, uses: Iterable[Use], reserved: Iterable[_specs.StepSpec]
    ) -> list[str]:
        """Return which sums differ from what follows from runs and tasks.

        :param uses: what all runs use.
        :param reserved: the tasks that capacity is reserved for.
        """
        expected = Capacity(
            cpu=self.cpu,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            kept=self.kept,
            kept_cpu=self.kept_cpu,
        )
        for use in uses:
            expected.add(use.spec, use.pace)
        for spec in reserved:
            expected.reserve(spec)
        found = []
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            wanted = getattr(expected, field.name)
            if value != wanted:
                found.append(f'{field.name} is {value}, not {wanted}')
            elif isinstance(value, int) and value < 0:
                found.append(f'{field.name} is {value}')
        if self.plain_cpu + self.service_cpu < self.used_cpu:
            found.append(f'used_cpu is {self.used_cpu}, more than its parts')
        if self.slowed_percent > FULL_PACE * self.filling_cpu:
            found.append('filling runs are slowed by more than they request')
        if self.kept is None and self.kept_cpu:
            found.append(f'{self.kept_cpu} are kept for no task')
        figures = _figures.Figures()
        self.add_to(figures)
        if not figures.is_balanced:
            found.append(f'the parts do not add up to the size: {figures}')
        difference = figures.idle_cpu - figures.overcommitted_cpu
        if abs(difference - self.idle_cpu()) > 1:
            found.append(f'idle_cpu is {self.idle_cpu()}, not {difference}')
        return found
