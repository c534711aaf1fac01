"""Define the errors of links to peers."""

import oriolestand_core as core


class PeerUnreachableError(core.OriolestandError):
    """Raise when there is no active link to a peer; nothing was sent."""

    code = 'peer_unreachable'
    http_status = 502


class PeerLostError(core.OriolestandError):
    """Raise when a link is lost while a forwarded request is in progress."""

    code = 'peer_lost'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502


class PeerTimeoutError(PeerLostError):
    """Raise when a peer does not end an exchange by its deadline."""

    code = 'peer_timeout'
    http_status = 504


class PeerResponseError(PeerLostError):
    """Raise when a response from a peer is malformed or truncated."""

    code = 'peer_answer_invalid'


class PeerFailedError(core.OriolestandError):
    """Raise when a peer reports that a forwarded request failed."""

    code = 'peer_refused'
    http_status = 503


class UnknownGenerationError(PeerFailedError):
    """Raise when a request refers to tables that are not stored here."""

    code = 'unknown_generation'


class HopLimitError(PeerFailedError):
    """Raise when a request would be forwarded more than once."""

    code = 'hop_limit'
    http_status = 508


class ForwardedRequestError(core.OriolestandError):
    """Raise when the head of a forwarded request is not acceptable."""

    code = 'bad_request'
    http_status = 400


class ForwardedBodyError(core.OriolestandError):
    """Raise when the body of a forwarded request cannot be delivered."""

    code = 'body_lost'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 502


class RegionBudgetError(core.OriolestandError):
    """Raise when the budget for traffic between regions is used up."""

    code = 'region_budget_used_up'
    http_status = 503


class CallerLeftError(core.OriolestandError):
    """Raise when the caller of a forwarded request has left."""

    code = 'caller_left'
    verdict = core.Verdict.MAY_HAVE_RUN
    http_status = 499


class HandshakeError(core.OriolestandError):
    """Raise when the handshake of a link fails."""

    code = 'handshake_failed'


class ProtocolError(core.OriolestandError):
    """Raise when a message of a peer violates the protocol."""

    code = 'protocol_violation'


class SilentPeerError(core.OriolestandError):
    """Raise when no data is received from a peer within the timeout."""

    code = 'peer_silent'


class TlsSettingsError(core.OriolestandError):
    """Raise when the files named in the TLS settings cannot be used."""

    code = 'invalid_tls_settings'
