"""Stand-ins for the platform and for upstreams, for tests and the demo."""

from oriolestand_standins._platform import PlatformFaults
from oriolestand_standins._platform import PlatformSite
from oriolestand_standins._upstream import UpstreamFaults
from oriolestand_standins._upstream import UpstreamSite

__all__ = [
    'PlatformFaults',
    'PlatformSite',
    'UpstreamFaults',
    'UpstreamSite',
]
