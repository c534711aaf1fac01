"""Test each fault of a worker's connection in the stand-in."""

import io
import json
from typing import Any
from unittest import mock

import pytest
from twisted.internet import testing
from twisted.web.test import requesthelper

import oriolestand_platform as platform
from oriolestand_standins import _worker


class Rig:
    """Send requests to a worker without sockets."""

    def __init__(self) -> None:
        self.reactor: Any = testing.MemoryReactorClock()
        self.side = _worker.WorkerSide(self.reactor, 'w', 8)

    def post(self, path: str, body: str) -> Any:
        """Return the request after it was served."""
        request: Any = requesthelper.DummyRequest([])
        request.path = path.encode()
        request.content = io.BytesIO(body.encode())
        request._disconnected = False
        request.channel = mock.Mock()
        request.answer = self.side.render(request)
        return request

    def faults(self, **faults: Any) -> Any:
        return self.post('/_worker/faults', json.dumps(faults))

    def start(self) -> Any:
        run = platform.Renewal(task='t', attempt=1, lease_ms=60_000)
        message = platform.StartRequest(
            run=run,
            boot=self.side.worker.boot,
            not_after_ms=_worker._now_ms() + 60_000,
            payload='{"work_ms": 60000}',
        )
        return self.post('/_worker', message.model_dump_json())

    def runs(self) -> Any:
        return json.loads(self.post('/_worker/runs', '').answer)['runs']


@pytest.fixture
def rig() -> Rig:
    return Rig()


def is_aborted(request: Any) -> bool:
    return bool(request.channel.transport.abortConnection.called)


def test_answers_and_records_a_run(rig: Rig) -> None:
    """Without faults a start must be answered and recorded."""
    request = rig.start()
    reply = platform.WorkerReply.model_validate_json(b''.join(request.written))
    assert reply.reports[0].status is platform.RunStatus.RUNNING
    assert [run['status'] for run in rig.runs()] == ['running']
    assert rig.side.slots_in_use() == 1


def test_slow_worker_acts_and_answers_late(rig: Rig) -> None:
    """The delay must come before the effect, as a queue in front does."""
    rig.faults(delay_ms=500)
    request = rig.start()
    assert rig.runs() == []
    rig.reactor.advance(0.5)
    assert len(rig.runs()) == 1 and request.finished


def test_hanging_worker_neither_acts_nor_answers(rig: Rig) -> None:
    """A hang must leave the caller without an answer."""
    rig.faults(hangs=True)
    request = rig.start()
    rig.reactor.advance(60)
    assert not request.finished and not is_aborted(request)
    assert rig.runs() == []


def test_lost_answer_has_taken_effect(rig: Rig) -> None:
    """Only the counted answers must be lost, after their effect."""
    rig.faults(loses_answers=1)
    assert is_aborted(rig.start())
    assert len(rig.runs()) == 1
    assert not is_aborted(rig.start())
    assert len(rig.runs()) == 1


def test_gone_worker_cuts_without_effect(rig: Rig) -> None:
    """A worker that is gone must not run anything."""
    rig.faults(is_gone=True)
    assert is_aborted(rig.start())
    assert rig.runs() == []


def test_failing_worker_fails_each_task(rig: Rig) -> None:
    """The fault must show in the report of the run."""
    rig.faults(fails_tasks=True)
    rig.start()
    assert [run['status'] for run in rig.runs()] == ['failed']


@pytest.mark.parametrize('body', ['', '{"kind": "x"}', '{"hangs": 3}'])
@pytest.mark.parametrize('path', ['/_worker', '/_worker/faults'])
def test_bad_requests_are_refused(rig: Rig, path: str, body: str) -> None:
    """A wrong request must not change faults or runs."""
    request = rig.post(path, body)
    assert request.responseCode == 400
    assert rig.runs() == []
