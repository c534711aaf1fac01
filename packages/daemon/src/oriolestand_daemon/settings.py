"""Provide the settings of a daemon, which the client validates as well."""

from oriolestand_models.settings import EmbeddedPlatform
from oriolestand_models.settings import HttpPlatformSettings
from oriolestand_models.settings import LimitSettings
from oriolestand_models.settings import ListenerSettings
from oriolestand_models.settings import LogSettings
from oriolestand_models.settings import PeerListenerSettings
from oriolestand_models.settings import Settings
from oriolestand_models.settings import SettingsError
from oriolestand_models.settings import parse_settings
from oriolestand_models.settings import read_settings

__all__ = [
    'EmbeddedPlatform',
    'HttpPlatformSettings',
    'LimitSettings',
    'ListenerSettings',
    'LogSettings',
    'PeerListenerSettings',
    'Settings',
    'SettingsError',
    'parse_settings',
    'read_settings',
]
