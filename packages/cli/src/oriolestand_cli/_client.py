"""HTTP client for the admin interface of a daemon."""

from collections.abc import Mapping
from collections.abc import Sequence
import http.client
import json
from typing import Any
from urllib import parse

from oriolestand_cli import _errors
import oriolestand_core as core

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 20.0
"""Exceeds the time for which a daemon tries to find out an edit's outcome."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_EXIT_BY_CODE = {
    'invalid_tables': _errors.ExitCode.INVALID,
    'bad_request': _errors.ExitCode.INVALID,
    'edit_conflict': _errors.ExitCode.CONFLICT,
    'store_behind': _errors.ExitCode.CONFLICT,
    'unknown_entry': _errors.ExitCode.NOT_FOUND,
    'unknown_version': _errors.ExitCode.NOT_FOUND,
    'unknown_trace': _errors.ExitCode.NOT_FOUND,
    'invalid_job': _errors.ExitCode.INVALID,
    'job_exists': _errors.ExitCode.CONFLICT,
    'unknown_job': _errors.ExitCode.NOT_FOUND,
}


class AdminClient:
    """Client that sends each request to the first reachable daemon.

    :param addresses: admin addresses, ``ip:port``, in order of preference.
    :param timeout_s: seconds to wait for an answer once connected.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s

    def get(self, path: str, **args: object) -> Any:
        """Send a GET request and return the decoded JSON answer."""
        return json.loads(self.send('GET', path, args))

    def send(
        self,
        method: str,
        path: str,
        args: Mapping[str, object] | None = None,
        body: bytes | None = None,
    ) -> bytes:
        """Send a request and return the body of the answer.

        :raises CommandError: if no daemon can be reached, the answer is lost
            or the daemon reports an error.
        """
        if args:
            path = f'{path}?{parse.urlencode(args)}'
        reasons = []
        for address in self._addresses:
            try:
                conn = self._connect(address)
            except (OSError, ValueError) as exc:
                reasons.append(f'{address}: {exc}')
                continue
            return self._exchange(conn, address, method, path, body)
        raise _errors.UnreachableError(
            'no daemon can be reached; set the admin address of one with '
            '--daemon or ORIOLESTAND_DAEMON',
            _errors.ExitCode.UNREACHABLE,
            reasons,
        )

    def _connect(self, address: str) -> http.client.HTTPConnection:
        """Return an open connection to a daemon."""
        host, _, port = address.rpartition(':')
        conn = http.client.HTTPConnection(
            host.strip('[]'), int(port), timeout=CONNECT_TIMEOUT_S
        )
        conn.connect()
        conn.sock.settimeout(self._timeout_s)
        return conn

    def _exchange(
        self,
        conn: http.client.HTTPConnection,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> bytes:
        """Send a request on a connection, close it and return the answer."""
        try:
            conn.request(method, path, body)
            response = conn.getresponse()
            data = response.read(MAX_ANSWER_BYTES)
        except (OSError, http.client.HTTPException) as exc:
            verdict = core.Verdict.MAY_HAVE_RUN
            if method == 'GET':
                verdict = core.Verdict.DID_NOT_RUN
            raise _errors.AnswerLostError(
                f'no complete answer from {address}: {exc!r}',
                _errors.ExitCode.UNKNOWN
                if method != 'GET'
                else _errors.ExitCode.UNREACHABLE,
                verdict=verdict,
            ) from exc
        finally:
            conn.close()
        if response.status == http.HTTPStatus.OK:
            return data
        raise _to_error(address, response.status, data)


def _to_error(address: str, status: int, data: bytes) -> Exception:
    """Convert an error response of a daemon to an exception."""
    try:
        body = json.loads(data)
        code = str(body['code'])
        message = str(body['message'])
        verdict = core.Verdict(body['verdict'])
        details = [*body.get('problems', ()), *body.get('changes', ())]
        values = body.get('values', {})
    except (ValueError, KeyError, TypeError):
        return _errors.CommandError(
            f'{address} answered with status {status}; is this the admin '
            'address of a daemon?'
        )
    exit_code = _EXIT_BY_CODE.get(code, _errors.ExitCode.FAILED)
    if verdict is core.Verdict.MAY_HAVE_RUN:
        exit_code = _errors.ExitCode.UNKNOWN
    if values:
        pairs = ', '.join(f'{key} {value}' for key, value in values.items())
        message = f'{message} ({pairs})'
    return _errors.CommandError(
        message, exit_code, [str(item) for item in details], verdict, code
    )
