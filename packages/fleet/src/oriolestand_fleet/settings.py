"""Settings of the fleet daemon.

The adapter fills them in from the platform's settings file.
"""

import abc
import dataclasses

from oriolestand_policy import scheduling


class JobCodec(abc.ABC):
    """Decode request bodies and encode response bodies for the frontend."""

    content_type: str

    @abc.abstractmethod
    def decode_job(
        self, body: bytes, job: str, route: str, accepted_ms: int
    ) -> scheduling.JobSpec:
        """Return the decoded job; raise InvalidJobError if it is invalid."""

    @abc.abstractmethod
    def encode_state(self, state: str) -> bytes:
        """Return the response body for the state of a job."""

    @abc.abstractmethod
    def encode_waiting(self, count: int) -> bytes:
        """Return the response body for the number of waiting jobs."""

    @abc.abstractmethod
    def encode_error(self, code: str, message: str, verdict: str) -> bytes:
        """Return the response body for an error."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """A host and port to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits that the platform guarantees or requires.

    ``lease_max_ms``: the longest lease that a worker grants.
    ``retention_ms``: how long the state of an ended job must be available.
    ``shutdown_ms``: time between SIGTERM and SIGKILL.
    ``row_bytes``: the largest size of a row's value.
    ``processors``: processor time that the instance may use, in cores.
    ``evacuate_ms``: time after the store has acknowledged the evacuation of a
    failure domain from which no task may start there, None if not limited.
    """

    lease_max_ms: int
    retention_ms: int
    shutdown_ms: int
    row_bytes: int
    processors: float = 1.0
    evacuate_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Log level and maximum number of lines written per second."""

    level: str = 'INFO'
    lines_per_s: int = 150


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Settings of one daemon."""

    instance: str
    failure_domain: str
    front: Address
    ready: Address
    metrics: Address
    limits: Limits
    log: LogSettings
    codec: JobCodec
