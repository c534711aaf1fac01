"""Test each fault of the stand-in for a worker."""

import io
import json
from typing import Any
from unittest import mock

import pytest
from twisted.internet import testing
from twisted.web.test import requesthelper

import oriolestand_platform as platform
from oriolestand_standins import _worker


class WorkerHarness:
    """Sends requests to a worker without sockets."""

    def __init__(self) -> None:
        self.reactor: Any = testing.MemoryReactorClock()
        self.endpoint = _worker.WorkerEndpoint(self.reactor, 'w', 8)

    def post(self, path: str, body: str) -> Any:
        """Serve a request and return it."""
        request: Any = requesthelper.DummyRequest([])
        request.path = path.encode()
        request.content = io.BytesIO(body.encode())
        request._disconnected = False
        request.channel = mock.Mock()
        request.answer = self.endpoint.render(request)
        return request

    def faults(self, **faults: Any) -> Any:
        return self.post('/_worker/faults', json.dumps(faults))

    def start(self) -> Any:
        run = platform.Renewal(task='t', attempt=1, lease_ms=60_000)
        message = platform.StartRequest(
            run=run,
            boot=self.endpoint.worker.boot,
            not_after_ms=_worker._now_ms() + 60_000,
            payload='{"work_ms": 60000}',
        )
        return self.post('/_worker', message.model_dump_json())

    def runs(self) -> Any:
        return json.loads(self.post('/_worker/runs', '').answer)['runs']


@pytest.fixture
def harness() -> WorkerHarness:
    return WorkerHarness()


def is_aborted(request: Any) -> bool:
    return bool(request.channel.transport.abortConnection.called)


def test_answers_and_records_a_run(harness: WorkerHarness) -> None:
    """Without faults a start must be answered and recorded."""
    request = harness.start()
    reply = platform.WorkerReply.model_validate_json(b''.join(request.written))
    assert reply.reports[0].status is platform.RunStatus.RUNNING
    assert [run['status'] for run in harness.runs()] == ['running']
    assert harness.endpoint.slots_in_use() == 1


def test_slow_worker_applies_and_answers_late(harness: WorkerHarness) -> None:
    """The delay must precede the effect, as with a queue before a worker."""
    harness.faults(delay_ms=500)
    request = harness.start()
    assert harness.runs() == []
    harness.reactor.advance(0.5)
    assert len(harness.runs()) == 1 and request.finished


def test_hanging_worker_neither_applies_nor_answers(
    harness: WorkerHarness,
) -> None:
    """A hang must leave the caller without an answer."""
    harness.faults(hangs=True)
    request = harness.start()
    harness.reactor.advance(60)
    assert not request.finished and not is_aborted(request)
    assert harness.runs() == []


def test_lost_answer_has_taken_effect(harness: WorkerHarness) -> None:
    """Only the given number of answers must be lost, after their effect."""
    harness.faults(loses_answers=1)
    assert is_aborted(harness.start())
    assert len(harness.runs()) == 1
    assert not is_aborted(harness.start())
    assert len(harness.runs()) == 1


def test_gone_worker_drops_the_connection_without_effect(
    harness: WorkerHarness,
) -> None:
    """A worker that is gone must not run anything."""
    harness.faults(is_gone=True)
    assert is_aborted(harness.start())
    assert harness.runs() == []


def test_failing_worker_fails_each_task(harness: WorkerHarness) -> None:
    """The report of the run must have the status failed."""
    harness.faults(fails_tasks=True)
    harness.start()
    assert [run['status'] for run in harness.runs()] == ['failed']


@pytest.mark.parametrize('body', ['', '{"kind": "x"}', '{"hangs": 3}'])
@pytest.mark.parametrize('path', ['/_worker', '/_worker/faults'])
def test_bad_requests_are_refused(
    harness: WorkerHarness, path: str, body: str
) -> None:
    """An invalid request must not change faults or runs."""
    request = harness.post(path, body)
    assert request.responseCode == 400
    assert harness.runs() == []
