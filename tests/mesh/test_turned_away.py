"""A booking that its server turned away has not run, also when it is sent to that server again.

Guards against a 502 for such bookings: the second attempt was refused as a duplicate that may have run.
"""

from __future__ import annotations

import unittest
from typing import Any, cast
from unittest import mock

from leadrudder.bootstrap.settings import RuleBounds
from leadrudder.data_plane.admission_control import AdmissionController, ServerInstance
from leadrudder.data_plane.inbound import Deliver, InboundProxy
from leadrudder.data_plane.server_connections import LocalServer, OnEnded, ServerRequest
from leadrudder.interface import Outcome
from leadrudder.protocol.mesh_pb2 import ForwardRequest, ForwardResponse
from leadrudder.protocol.outcome import Executed
from leadrudder.transport.http import BufferedHttpMessage
from tests.mesh.test_outbound import Loop


class StubServer:
    """Keeps the callbacks of the calls that it gets."""

    def __init__(self) -> None:
        self.calls: list[OnEnded] = []

    def run(self, instance_id: str, request: ServerRequest, timeout_s: float, ended: OnEnded) -> mock.Mock:
        self.calls.append(ended)
        return mock.Mock()


def _not_run_answer() -> BufferedHttpMessage:
    return cast(BufferedHttpMessage, mock.Mock(status=503, headers={b"not-run": b"1"}, fields=[], body=b""))


class TurnedAway(unittest.TestCase):
    def setUp(self) -> None:
        loop_patch = mock.patch("asyncio.get_running_loop", return_value=Loop())
        loop_patch.start()
        self.addCleanup(loop_patch.stop)
        admission = AdmissionController(RuleBounds())
        admission.on_heartbeat(ServerInstance("i-1", "s", "z", 2), False, 1, 0.0, 99.0)
        self.server = StubServer()
        self.inbound = InboundProxy(admission, cast(LocalServer, self.server), lambda text: None)
        self.responses: list[ForwardResponse] = []

    def _send(self) -> None:
        fields: dict[str, Any] = {"server": "i-1", "left_ms": 900.0, "once": True, "attempt_id": b"a"}
        self.inbound.handle(ForwardRequest(**fields), cast(Deliver, self.responses.append))

    def test_it_may_be_sent_to_the_same_server_again(self) -> None:
        for outcome, message in ((Outcome.FULL, _not_run_answer()), (Outcome.MOOT, None)):
            with self.subTest(outcome):
                self.server.calls.clear()
                self.responses.clear()
                self._send()
                self.server.calls[-1](outcome, message)
                self._send()
                self.assertEqual([response.ran for response in self.responses], [Executed.NEVER])
                self.assertEqual(len(self.server.calls), 2)
                self.server.calls[-1](outcome, message)

    def test_a_duplicate_of_one_that_may_have_run_is_refused(self) -> None:
        self._send()
        self.server.calls[-1](Outcome.RESET, None)
        self._send()
        self.assertEqual([response.ran for response in self.responses], [Executed.MAYBE] * 2)
        self.assertEqual(len(self.server.calls), 1)


if __name__ == "__main__":
    unittest.main()
