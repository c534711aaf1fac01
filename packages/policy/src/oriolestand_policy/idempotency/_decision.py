"""Decide how to handle a request whose key has a stored row."""

import dataclasses

import oriolestand_core as core
from oriolestand_policy.idempotency import _errors
from oriolestand_policy.idempotency import _record


class Decision:
    """Base class of the decisions on a request with a key."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run(Decision):
    """Claim the key at the given row version, then run the request."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DigestBody(Decision):
    """Read and digest the body without running the request; decide again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay(Decision):
    """Replay the response of the first request."""

    answer: _record.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse(Decision):
    """Respond with an error."""

    error: core.OriolestandError


def decide(
    stored: _record.VersionedRecord,
    method: str,
    target: str,
    digest: str | None,
) -> Decision:
    """Return the decision on a request whose key has a stored row.

    :param stored: the record of the key and its row version.
    :param digest: hex digest of the request body, None until it is read.
    """
    record = stored.record
    if (method, target) != (record.method, record.target):
        return _refuse_reused('the key belongs to another method or target')
    if record.digest:
        if digest is None:
            return DigestBody()
        if digest != record.digest:
            return _refuse_reused('the key belongs to another body')
    if record.state is _record.KeyState.DID_NOT_RUN:
        return Run(version=stored.version)
    if record.answer is not None:
        return Replay(answer=record.answer)
    verdict = record.state.verdict
    return Refuse(
        error=_errors.DuplicateRequestError(
            'a request with this key was sent before',
            verdict,
            state=record.state.value,
        )
    )


def _refuse_reused(message: str) -> Refuse:
    """Return the refusal of a key that belongs to another request."""
    return Refuse(error=_errors.KeyReusedError(message))
