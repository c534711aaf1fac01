"""Provide the settings of a daemon, shared with the command-line client."""

from oriolestand_models.settings import CallerListenerSettings
from oriolestand_models.settings import EmbeddedPlatform
from oriolestand_models.settings import HttpPlatformSettings
from oriolestand_models.settings import LimitSettings
from oriolestand_models.settings import ListenerSettings
from oriolestand_models.settings import LogSettings
from oriolestand_models.settings import PeerListenerSettings
from oriolestand_models.settings import PeerTlsSettings
from oriolestand_models.settings import Settings
from oriolestand_models.settings import SettingsError
from oriolestand_models.settings import TelemetrySettings
from oriolestand_models.settings import TlsSettings
from oriolestand_models.settings import parse_settings
from oriolestand_models.settings import read_settings

__all__ = [
    'CallerListenerSettings',
    'EmbeddedPlatform',
    'HttpPlatformSettings',
    'LimitSettings',
    'ListenerSettings',
    'LogSettings',
    'PeerListenerSettings',
    'PeerTlsSettings',
    'Settings',
    'SettingsError',
    'TelemetrySettings',
    'TlsSettings',
    'parse_settings',
    'read_settings',
]
