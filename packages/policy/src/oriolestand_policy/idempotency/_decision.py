"""Decide what a request may do when its key is known."""

import dataclasses

import oriolestand_core as core
from oriolestand_policy.idempotency import _errors
from oriolestand_policy.idempotency import _record


class Decision:
    """Say what happens to a request with a key."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run(Decision):
    """Claim the key at a version, then run the request."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DigestBody(Decision):
    """Read the body without running the request, then decide again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replay(Decision):
    """Answer as the first request was answered."""

    answer: _record.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse(Decision):
    """Answer with an error."""

    error: core.OriolestandError


def decide(
    known: _record.VersionedRecord,
    method: str,
    target: str,
    digest: str | None,
) -> Decision:
    """Decide on a request whose key has a row.

    :param digest: hex digest of the request's body, None until it is read.
    """
    record = known.record
    if (method, target) != (record.method, record.target):
        return _reused('the key belongs to another method or target')
    if record.digest:
        if digest is None:
            return DigestBody()
        if digest != record.digest:
            return _reused('the key belongs to another body')
    if record.state is _record.KeyState.DID_NOT_RUN:
        return Run(version=known.version)
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


def _reused(message: str) -> Refuse:
    """Return the refusal of a key that belongs to another request."""
    return Refuse(error=_errors.KeyReusedError(message))
