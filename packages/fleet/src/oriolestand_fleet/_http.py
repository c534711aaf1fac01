"""Base class of the HTTP listeners of the daemon.

``twisted.web.http`` is all that they need; ``twisted.web.server`` imports the
library's remote object protocol and templates, which takes a tenth of the
processor time of a start.
"""

from typing import Any

from twisted.web import http


class QuietFactory(http.HTTPFactory):
    """Accept connections without an access log.

    The services log the requests. The base class would set a timer in each
    second to keep the time of the log's next line.
    """

    noisy = False

    def startFactory(self) -> None:  # noqa: N802
        """Open no log file."""

    def stopFactory(self) -> None:  # noqa: N802
        """Do nothing, as no log file is open."""

    def log(self, request: Any) -> None:
        """Write no line."""
