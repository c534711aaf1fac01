"""Reasons why a task is not started."""

import enum


class Obstacle(enum.Enum):
    """What keeps a task from a usable worker.

    CPU, MEMORY, ACCELERATORS: the runs on the worker leave too little.
    RESERVED: what they leave is kept for another task. LABEL: the worker
    lacks a label. MAX_PER_WORKER: it runs the tasks of the step that it may.
    RETURNED: its failure domain was taken back, and it has had the starts that
    it may have had by now.

    For filling tasks: BUSY_CPU: too few processors are idle. HIGH_TAIL: a
    service task is near its latency target. NO_HEADROOM: nothing may be
    added to the load of a service. HEADROOM: the task would add too much.
    TRIAL: it would by the upper bound of its effect, which is not known well,
    and another task is already tried beside the service.
    """

    CPU = 'cpu'
    MEMORY = 'memory'
    ACCELERATORS = 'accelerators'
    RESERVED = 'reserved'
    LABEL = 'label'
    MAX_PER_WORKER = 'max_per_worker'
    RETURNED = 'returned'
    BUSY_CPU = 'busy_cpu'
    HIGH_TAIL = 'high_tail'
    NO_HEADROOM = 'no_headroom'
    HEADROOM = 'headroom'
    TRIAL = 'trial'


class Hold(enum.Enum):
    """Why a round did not start a task.

    NOT_REACHED: the round started as many tasks as it may before. NO_ROUTE:
    the policy of its job is not known. FORMER_RUNS: it may run on a worker of
    a former owner. SUSPECT: it may have crashed a worker and is tried apart.
    FIT_BUDGET: the round had examined enough filling tasks. NO_WORKER: each
    worker has an obstacle for it or for a task with the same demands; a gang
    may lack workers for all members at once. INCOMPLETE: members of its gang
    are not ready.
    """

    NOT_REACHED = 'not_reached'
    NO_ROUTE = 'no_route'
    FORMER_RUNS = 'former_runs'
    SUSPECT = 'suspect'
    FIT_BUDGET = 'fit_budget'
    NO_WORKER = 'no_worker'
    INCOMPLETE = 'incomplete'
