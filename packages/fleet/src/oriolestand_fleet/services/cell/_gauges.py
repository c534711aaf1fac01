"""Report the state of the cell as metrics."""

from collections.abc import Mapping

import oriolestand_core as core
from oriolestand_fleet.messages import telemetry
from oriolestand_fleet.services.cell import _order_sender
from oriolestand_fleet.services.cell import const
from oriolestand_fleet.services.cell import models
from oriolestand_policy import scheduling


class Gauges:
    """Report the gauges of one term at a fixed interval."""

    def __init__(
        self,
        kernel: core.Kernel,
        term: models.Term,
        scheduler: scheduling.Scheduler,
    ) -> None:
        self._kernel = kernel
        self._term = term
        self._scheduler = scheduler
        self._log = core.get_logger(const.DOMAIN)
        self._next_ms = 0
        self._next_idle_log_ms = 0
        self._former_labels: dict[str, set[str]] = {}

    def report(
        self,
        record_backlog: int,
        load: scheduling.OwnerLoad,
        order_sender: _order_sender.OrderSender,
    ) -> None:
        """Set the gauges if the interval has passed.

        ``record_backlog``: number of records that wait to be written.
        """
        now = self._kernel.clock.now()
        if now < self._next_ms:
            return
        self._next_ms = now + const.GAUGE_INTERVAL_MS
        scheduler = self._scheduler
        figures = scheduler.figures
        for kind, count in figures.ready_by_kind().items():
            self._set('ready_tasks', count, kind.value)
        for kind, age_ms in figures.oldest_ready_ms(now).items():
            self._set('oldest_ready_task_ms', age_ms, kind.value)
        self._report_waits(now)
        for state, count in figures.workers_by_state(now).items():
            self._set('worker_states', count, state.value)
        for kind, count in figures.running_by_kind().items():
            self._set('running_tasks', count, kind.value)
        for (kind, wait), count in scheduler.evacuated_tasks(now).items():
            label = f'{kind.value} {wait.value}'
            self._set('evacuated_tasks', count, label)
        self._report_domains(now)
        self._report_cpu(now)
        learned = scheduler.pressure.learned()
        self._set('service_tasks_over_target', figures.slow_service_count())
        self._set('known_image_pairs', len(learned.pairs))
        self._set('load_period_ms', int(learned.period_ms or 0))
        self._set('waiting_jobs', figures.waiting_jobs())
        self._set('workers', len(scheduler.workers))
        self._set('record_backlog', record_backlog)
        self._set('owner_epoch', self._term.epoch)
        self._set('owner_delay_ms', load.delay_ms(now))
        self._set('round_ms', load.round_ms)
        self._set('unsent_starts', order_sender.unsent_start_count)
        self._set('oldest_unsent_start_ms', order_sender.oldest_unsent_ms())
        self._set('oldest_report_ms', figures.oldest_report_ms(now))

    def _report_waits(self, now_ms: int) -> None:
        """Set the ages of tasks that have not run; 0 where none waits."""
        ages = self._scheduler.oldest_not_run_ms(now_ms)
        self._set_all(
            'oldest_not_run_ms',
            {
                f'{route} {reason}': age_ms
                for (route, reason), age_ms in ages.items()
            },
        )

    def _report_domains(self, now: int) -> None:
        """Set the gauges of each failure domain; 0 where nothing is left."""
        self._set_all(
            'domain_workers', self._scheduler.figures.workers_by_domain()
        )
        tasks = self._scheduler.evacuated_tasks_by_domain(now)
        self._set_all(
            'domain_evacuated_tasks',
            {
                f'{kind.value} {wait.value} {domain}': count
                for (domain, kind, wait), count in tasks.items()
            },
        )

    def _report_cpu(self, now_ms: int) -> None:
        """Set the gauges of what the processors of each pool are used for.

        No promise depends on them. So an error here must not end the term.
        """
        try:
            accounts = self._scheduler.idle_account(now_ms)
        except Exception:
            self._log.exception('Processors not accounted for')
            accounts = {}
        self._set_all(
            'pool_cpu',
            {
                f'{pool} {use.value}': cpu
                for pool, account in accounts.items()
                for use, cpu in account.uses.items()
            },
        )
        if now_ms >= self._next_idle_log_ms:
            self._next_idle_log_ms = now_ms + const.IDLE_LOG_INTERVAL_MS
            self._log_idle(accounts)

    def _log_idle(
        self, accounts: Mapping[str, scheduling.IdleAccount]
    ) -> None:
        """Log the use of pools in which much is idle while tasks wait."""
        for pool, account in sorted(accounts.items()):
            idle_share = account.idle_cpu / (account.size_cpu or 1)
            if account.waiting and idle_share > const.LOGGED_IDLE_SHARE:
                self._log.info(
                    'Processors idle while tasks wait',
                    pool=pool,
                    waiting=account.waiting,
                    size_cpu=account.size_cpu,
                    idle_cpu=account.idle_cpu,
                    uses={
                        use.value: cpu
                        for use, cpu in account.uses.items()
                        if cpu
                    },
                )

    def _set_all(self, name: str, counts: Mapping[str, int]) -> None:
        """Set the gauges of a name, and those that were set before to 0."""
        labels = self._former_labels.setdefault(name, set())
        for label in sorted(labels - counts.keys()):
            self._set(name, 0, label)
        for label, count in counts.items():
            self._set(name, count, label)
        labels.clear()
        labels.update(counts)

    def _set(self, name: str, value: int, label: str = '') -> None:
        """Set one gauge."""
        self._kernel.post(
            telemetry.SERVICE,
            telemetry.SetGauge(name=name, label=label, value=value),
        )
