"""Schedule the tasks of jobs on the workers of one cell.

A cell is the unit of ownership: a set of workers and all jobs that may run
on them, with one owner at a time. This package does no I/O and reads no
clock: times are passed in, and orders to workers are returned as effects.
"""

from oriolestand_policy.scheduling._backlog import counts_for_pool
from oriolestand_policy.scheduling._effects import REPEATED_STOP
from oriolestand_policy.scheduling._effects import Effect
from oriolestand_policy.scheduling._effects import LogEvent
from oriolestand_policy.scheduling._effects import PaceTask
from oriolestand_policy.scheduling._effects import PollWorkerAgain
from oriolestand_policy.scheduling._effects import SaveJob
from oriolestand_policy.scheduling._effects import StartTask
from oriolestand_policy.scheduling._effects import StopTask
from oriolestand_policy.scheduling._effects import WithdrawStart
from oriolestand_policy.scheduling._eligibility import is_usable
from oriolestand_policy.scheduling._exclusions import FAILURE_AVOID_MS
from oriolestand_policy.scheduling._exclusions import WorkerFailures
from oriolestand_policy.scheduling._exclusions import recent as recent_failures
from oriolestand_policy.scheduling._fleet import Run
from oriolestand_policy.scheduling._fleet import RunPhase
from oriolestand_policy.scheduling._fleet import Worker
from oriolestand_policy.scheduling._fleet import WorkerInfo
from oriolestand_policy.scheduling._idle_account import CpuUse
from oriolestand_policy.scheduling._idle_account import IdleAccount
from oriolestand_policy.scheduling._jobs import EndKind
from oriolestand_policy.scheduling._jobs import Job
from oriolestand_policy.scheduling._jobs import Outcome
from oriolestand_policy.scheduling._jobs import Task
from oriolestand_policy.scheduling._jobs import TaskKey
from oriolestand_policy.scheduling._jobs import parse_key
from oriolestand_policy.scheduling._known_routes import KnownRoutes
from oriolestand_policy.scheduling._load import OwnerLoad
from oriolestand_policy.scheduling._mixed_placement import MixedPlacement
from oriolestand_policy.scheduling._order_queue import Order
from oriolestand_policy.scheduling._order_queue import OrderPriority
from oriolestand_policy.scheduling._order_queue import OrderQueue
from oriolestand_policy.scheduling._placement import FirstFitPlacement
from oriolestand_policy.scheduling._placement import Placement
from oriolestand_policy.scheduling._pressure import InterferenceModel
from oriolestand_policy.scheduling._pressure import LearnedPressure
from oriolestand_policy.scheduling._pressure import PairWeight
from oriolestand_policy.scheduling._record import Progress
from oriolestand_policy.scheduling._record import job_from_dict
from oriolestand_policy.scheduling._record import job_to_dict
from oriolestand_policy.scheduling._record import progress_of
from oriolestand_policy.scheduling._reports import UNKNOWN_PERCENT
from oriolestand_policy.scheduling._reports import EndReport
from oriolestand_policy.scheduling._reports import RunReport
from oriolestand_policy.scheduling._reports import StartOutcome
from oriolestand_policy.scheduling._reports import WorkerReport
from oriolestand_policy.scheduling._scheduler import Scheduler
from oriolestand_policy.scheduling._specs import InvalidJobError
from oriolestand_policy.scheduling._specs import JobSpec
from oriolestand_policy.scheduling._specs import RoutePolicy
from oriolestand_policy.scheduling._specs import StepSpec
from oriolestand_policy.scheduling._specs import TaskKind
from oriolestand_policy.scheduling._specs import check_job
from oriolestand_policy.scheduling._stored_policies import StoredPolicy
from oriolestand_policy.scheduling._takeover import FormerRuns
from oriolestand_policy.scheduling._unconfirmed_runs import Answer
from oriolestand_policy.scheduling._unconfirmed_runs import is_clock_of_other

__all__ = [
    'Answer',
    'FAILURE_AVOID_MS',
    'REPEATED_STOP',
    'UNKNOWN_PERCENT',
    'CpuUse',
    'Effect',
    'EndKind',
    'EndReport',
    'FirstFitPlacement',
    'FormerRuns',
    'IdleAccount',
    'InterferenceModel',
    'InvalidJobError',
    'Job',
    'JobSpec',
    'KnownRoutes',
    'LearnedPressure',
    'LogEvent',
    'MixedPlacement',
    'Order',
    'OrderPriority',
    'OrderQueue',
    'Outcome',
    'OwnerLoad',
    'PaceTask',
    'PollWorkerAgain',
    'PairWeight',
    'Placement',
    'Progress',
    'RoutePolicy',
    'Run',
    'RunPhase',
    'RunReport',
    'SaveJob',
    'Scheduler',
    'StartOutcome',
    'StartTask',
    'StepSpec',
    'StopTask',
    'StoredPolicy',
    'Task',
    'TaskKey',
    'TaskKind',
    'WithdrawStart',
    'Worker',
    'WorkerFailures',
    'WorkerInfo',
    'WorkerReport',
    'check_job',
    'counts_for_pool',
    'is_clock_of_other',
    'is_usable',
    'job_from_dict',
    'job_to_dict',
    'parse_key',
    'progress_of',
    'recent_failures',
]
