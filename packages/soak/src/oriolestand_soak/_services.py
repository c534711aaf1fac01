"""Services of the stand-ins, which faults control by messages."""

import random
from typing import Any

import oriolestand_core as core
from oriolestand_soak import _fault_stack
from oriolestand_soak import _links
from oriolestand_soak import _plan
from oriolestand_soak import _recorder
from oriolestand_soak import _store
from oriolestand_soak import _workers
from oriolestand_soak import history
from oriolestand_soak import messages


class StoreTask(core.Task):
    """The store and its frontend for each daemon."""

    def __init__(self, kernel: core.Kernel) -> None:
        super().__init__(kernel, messages.STORE)
        self.store = _store.RowStore(kernel.clock)
        self._frontends: dict[str, _store.StoreFrontend] = {}
        self._stacks: dict[str, Any] = {}

    def add_frontend(
        self, daemon: str, rng: random.Random, addresses: dict[str, str]
    ) -> _store.StoreFrontend:
        """Add the frontend of a daemon."""
        frontend = _store.StoreFrontend(
            self.kernel, self.store, rng, addresses
        )
        self._frontends[daemon] = frontend
        self._stacks[daemon] = _fault_stack.FaultStack(_store.StoreFaults)
        return frontend

    @core.handles(messages.SetFaults)
    def _on_faults(self, msg: messages.SetFaults) -> None:
        """Set the faults that some daemons meet."""
        for daemon in msg.targets:
            self._frontends[daemon].faults = self._stacks[daemon].set(
                msg.fault, msg.faults
            )

    @core.handles(messages.ForgetHistory)
    def _on_forget(self, msg: messages.ForgetHistory) -> None:
        """Forget the log of changes."""
        self.store.forget()


class NetworkTask(core.Task):
    """The links between the daemons and the stand-ins."""

    def __init__(self, kernel: core.Kernel, network: _links.Network) -> None:
        super().__init__(kernel, messages.NETWORK)
        self._network = network
        self._stacks: dict[_links.Link, Any] = {}

    @core.handles(messages.SetFaults)
    def _on_faults(self, msg: messages.SetFaults) -> None:
        """Set the faults of the links of some daemons."""
        for daemon in msg.targets:
            for link in self._network.select(daemon, msg.peer):
                stack = self._stacks.setdefault(
                    link, _fault_stack.FaultStack(_links.LinkFaults)
                )
                link.set_faults(stack.set(msg.fault, msg.faults))

    @core.handles(messages.DisturbConnections)
    def _on_disturb(self, msg: messages.DisturbConnections) -> None:
        """Reset or silence the open connections of some daemons."""
        for daemon in msg.daemons:
            for link in self._network.select(daemon, msg.peer):
                if msg.is_silent:
                    link.silence()
                else:
                    link.reset()

    @core.handles(messages.SetBandwidth)
    def _on_bandwidth(self, msg: messages.SetBandwidth) -> None:
        """Limit the shared link."""
        self._network.inbound.bytes_per_s = msg.bytes_per_s
        self._network.outbound.bytes_per_s = msg.bytes_per_s

    @core.handles(messages.GetOwner)
    def _on_get_owner(self, msg: messages.GetOwner) -> str:
        """Return the daemon that last opened a connection to a worker."""
        return self._network.last_owner


class WorkersTask(core.Task):
    """The workers by machine."""

    def __init__(
        self, kernel: core.Kernel, workers: dict[str, _workers.Worker]
    ) -> None:
        super().__init__(kernel, messages.WORKERS)
        self._workers = workers
        self._stacks = {
            name: _fault_stack.FaultStack(_workers.WorkerFaults)
            for name in workers
        }

    @core.handles(messages.SetFaults)
    def _on_faults(self, msg: messages.SetFaults) -> None:
        """Set the faults of some workers."""
        for name in msg.targets:
            faults: Any = msg.faults
            self._workers[name].faults = self._stacks[name].set(
                msg.fault, faults
            )

    @core.handles(messages.CrashWorker)
    def _on_crash(self, msg: messages.CrashWorker) -> None:
        """Crash a worker."""
        self._workers[msg.worker].crash()

    @core.handles(messages.StartWorker)
    def _on_start(self, msg: messages.StartWorker) -> None:
        """Start a worker unless it is up."""
        worker = self._workers[msg.worker]
        if worker.is_up and worker.is_draining:
            worker.leave()
        if not worker.is_up:
            worker.start(msg.keeps_id)

    @core.handles(messages.DrainWorker)
    def _on_drain(self, msg: messages.DrainWorker) -> None:
        """Announce that a worker leaves."""
        self._workers[msg.worker].drain()

    def stop(self) -> object:
        """End all workers."""
        super().stop()
        for worker in self._workers.values():
            worker.crash()
        return None


class OperatorTask(core.Task):
    """Writes the configurations."""

    def __init__(
        self,
        kernel: core.Kernel,
        recorder: _recorder.Recorder,
        store: _store.RowStore,
    ) -> None:
        super().__init__(kernel, messages.OPERATOR)
        self._recorder = recorder
        self._store = store

    def write(self, config: _plan.PlannedConfig) -> None:
        """Write a configuration."""
        self._recorder.record(
            history.ConfigSent(version=config.version, routes=config.routes)
        )
        routes = [
            {
                'name': route.name,
                'host': _plan.HOST,
                'path_prefix': f'/{route.name}/',
                'service': route.pool,
                'max_attempts': route.max_attempts,
                'priority': 0,
                'stretch': 2.0,
                'target_latency_ms': 500,
            }
            for route in config.routes
        ]
        self._store.put(
            _store.OPERATOR_TABLE,
            'config',
            {
                'version': config.version,
                'routes': routes,
                'services': [
                    {'name': pool, 'admission_check': False}
                    for pool in _plan.POOLS
                ],
            },
        )
        self._recorder.record(
            history.ConfigAcknowledged(version=config.version)
        )
