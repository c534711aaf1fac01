"""Define the errors of links to peers."""

import oriolestand_core as core


class PeerUnreachableError(core.OriolestandError):
    """Raise when there is no link to a peer; nothing was sent."""

    code = 'peer_unreachable'
    http_status = 502


class PeerLostError(core.OriolestandError):
    """Raise when a link broke after a request was forwarded on it."""

    code = 'peer_lost'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502


class PeerRefusedError(core.OriolestandError):
    """Raise when a peer reports that a forwarded request failed."""

    code = 'peer_refused'
    http_status = 503


class HandshakeError(core.OriolestandError):
    """Raise when a peer's first message is not an acceptable hello."""

    code = 'handshake_failed'
