"""Define and read the settings of a daemon."""

from collections.abc import Sequence
import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

import oriolestand_core as core
from oriolestand_models import _address
from oriolestand_models import _json

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]


class SettingsError(core.OriolestandError):
    """Raised for invalid settings; each problem names its field's path."""

    code = 'invalid_settings'

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__('; '.join(problems))
        self.problems = tuple(problems)


class _StrictModel(pydantic.BaseModel):
    """Base of immutable models that reject unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ListenerSettings(_StrictModel):
    """Address to listen on; port 0 lets the system choose a port."""

    host: _address.Host = '127.0.0.1'
    port: Port = 0


class TlsSettings(_StrictModel):
    """Paths of the PEM files of a certificate chain and its private key."""

    certificate: str = pydantic.Field(min_length=1)
    key: str = pydantic.Field(min_length=1)


class PeerTlsSettings(TlsSettings):
    """TLS settings for peers, with the PEM file of the common authority.

    The authority certifies all daemons. The common name of a daemon's
    certificate is its instance id.
    """

    authority: str = pydantic.Field(min_length=1)


class PeerListenerSettings(ListenerSettings):
    """Address to listen on for peers, a specific address of this instance.

    The address identifies the instance: a daemon that listens on it takes
    over the slots of the daemon that listened there before. Without
    ``tls``, links are neither encrypted nor authenticated.
    """

    tls: PeerTlsSettings | None = None

    @pydantic.field_validator('host')
    @classmethod
    def _check_host(cls, host: str) -> str:
        """Reject wildcard addresses, which do not identify an instance."""
        if ipaddress.ip_address(host).is_unspecified:
            raise ValueError('must be a specific address, not a wildcard')
        return host


class CallerListenerSettings(ListenerSettings):
    """Address to listen on for callers, optionally over TLS."""

    tls: TlsSettings | None = None


class TelemetrySettings(_StrictModel):
    """Sampling rate of traces and number of spans that are kept."""

    sample_rate: float = pydantic.Field(default=0.01, ge=0, le=1)
    span_limit: int = pydantic.Field(default=4_096, ge=1)
    exporter: Literal['none', 'console'] = 'none'


class EmbeddedPlatform(_StrictModel):
    """Keep the platform's tables in the memory of this process."""

    kind: Literal['embedded'] = 'embedded'


class HttpPlatformSettings(_StrictModel):
    """Access the platform over HTTP."""

    kind: Literal['http']
    url: str = pydantic.Field(pattern=r'^http://[^/?#\s]+(/[^?#\s]*)?$')
    timeout_ms: int = pydantic.Field(default=1_000, ge=10)


class LogSettings(_StrictModel):
    """Format and level of logs."""

    format: Literal['console', 'json'] = 'console'
    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class LimitSettings(_StrictModel):
    """Resource limits and timeouts of a daemon.

    ``shutdown_timeout_ms`` exceeds the longest timeout of a route, one
    hour. ``region_bytes_per_s`` is this daemon's share of the bandwidth
    between regions: eight daemons use half of 15 Mbit/s.
    """

    max_body_bytes: int = pydantic.Field(default=64 * 1024 * 1024, ge=0)
    max_header_bytes: int = pydantic.Field(default=16 * 1024, ge=1024)
    idle_timeout_ms: int = pydantic.Field(default=60_000, ge=100)
    head_timeout_ms: int = pydantic.Field(default=10_000, ge=100)
    linger_ms: int = pydantic.Field(default=500, ge=0)
    shutdown_timeout_ms: int = pydantic.Field(default=3_900_000, ge=100)
    abort_grace_ms: int = pydantic.Field(default=250, ge=0)
    region_bytes_per_s: int = pydantic.Field(default=125_000, ge=1)
    region_burst_bytes: int = pydantic.Field(default=262_144, ge=1)


class ShareSettings(_StrictModel):
    """Shares of services and batch work; all daemons should agree.

    To favour tail latency, set ``service_share`` to 0.8 and
    ``headroom_sigmas`` to -0.25; to favour batch throughput and few
    evictions, set them to 0.5 and -0.1. ``service_wait`` and
    ``batch_wait`` limit the time in the queue, in mean slot times.
    """

    service_share: float = pydantic.Field(default=0.7, ge=0, le=1)
    headroom_sigmas: float = pydantic.Field(default=0.0, ge=-3, le=3)
    service_wait: float = pydantic.Field(default=1.2, gt=0)
    batch_wait: float = pydantic.Field(default=10.0, gt=0)


class Settings(_StrictModel):
    """All settings of a daemon."""

    instance_id: str = pydantic.Field(pattern=r'^[A-Za-z0-9._-]{1,64}$')
    failure_domain: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    callers: CallerListenerSettings = CallerListenerSettings()
    peers: PeerListenerSettings = PeerListenerSettings()
    admin: ListenerSettings = ListenerSettings()
    seed_peers: tuple[_address.Address, ...] = ()
    platform: EmbeddedPlatform | HttpPlatformSettings = pydantic.Field(
        default=EmbeddedPlatform(), discriminator='kind'
    )
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    shares: ShareSettings = ShareSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    tables_file: str = ''


def parse_settings(data: Any) -> Settings:
    """Return validated settings, or raise SettingsError with all problems.

    >>> parse_settings({'instance_id': 'a', 'region': 'r', 'size': 3})
    Traceback (most recent call last):
    ...
    oriolestand_models.settings.SettingsError: invalid_settings: \
failure_domain: Field required; size: Extra inputs are not permitted
    """
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as exc:
        raise SettingsError(_json.format_problems(exc)) from exc


def parse_bytes(data: bytes) -> Settings:
    """Parse settings in UTF-8 encoded JSON, or raise SettingsError."""
    try:
        parsed = _json.parse(data)
    except ValueError as exc:
        raise SettingsError([f'.: not valid JSON: {exc}']) from exc
    return parse_settings(parsed)


def read_settings(path: pathlib.Path) -> Settings:
    """Read settings from a JSON file, or raise SettingsError."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise SettingsError([f'{path}: {exc.strerror}']) from exc
    return parse_bytes(data)
