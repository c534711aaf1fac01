"""Define the settings of the fleet daemon.

The adapter fills them in from the platform's settings file.
"""

import abc
import dataclasses

from oriolestand_policy import scheduling


class JobCodec(abc.ABC):
    """Translate the bodies of requests; the frontend knows no encoding."""

    content_type: str

    @abc.abstractmethod
    def decode_job(
        self, body: bytes, job: str, route: str, accepted_ms: int
    ) -> scheduling.JobSpec:
        """Return the job of a body, or raise scheduling.BadJobError."""

    @abc.abstractmethod
    def encode_state(self, state: str) -> bytes:
        """Return the body that tells a job's state."""

    @abc.abstractmethod
    def encode_waiting(self, count: int) -> bytes:
        """Return the body that tells how many jobs wait."""

    @abc.abstractmethod
    def encode_error(self, code: str, message: str, verdict: str) -> bytes:
        """Return the body that tells an error."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """Hold an address to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Hold the figures that the platform guarantees or demands.

    ``lease_max_ms``: the longest lease that a worker grants.
    ``retention_ms``: how long the state of an ended job can be asked for.
    ``shutdown_ms``: time between the signal to end and the kill.
    ``row_bytes``: the largest value of a row.
    """

    lease_max_ms: int
    retention_ms: int
    shutdown_ms: int
    row_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Hold how much is logged; ``lines_per_s`` bounds decision lines."""

    level: str = 'INFO'
    lines_per_s: int = 150


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Hold the settings of one daemon."""

    instance: str
    failure_domain: str
    front: Address
    ready: Address
    metrics: Address
    limits: Limits
    log: LogSettings
    codec: JobCodec
