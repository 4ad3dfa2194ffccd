"""The network in memory against what TCP does."""

from __future__ import annotations

import pytest

from leadrudder.simulation.network import HIGH_WATER_BYTES, WINDOW_BYTES, ConnectionCut
from tests.simulation.stubs import Pair


def test_bytes_arrive_whole_and_in_order_however_they_are_split() -> None:
    pair = Pair()
    pair.network.conditions.split_share = 1.0
    pair.network.conditions.tail_share = 0.5
    pair.connect()
    sent = b"".join(b"%d," % i for i in range(500))
    for i in range(0, len(sent), 37):
        pair.client.transport.write(sent[i : i + 37])
    pair.run()
    assert pair.server.data == sent
    assert pair.server.reads > 3


def test_what_arrives_at_one_instant_is_merged() -> None:
    pair = Pair()
    pair.connect()
    pair.network.conditions.arrival_grain_us = 100_000
    pair.network.conditions.split_share = 1.0
    for part in (b"a", b"bcdef", b"ghi"):
        pair.client.transport.write(part)
    pair.run()
    assert pair.server.data == b"abcdefghi" and pair.server.reads == 1


def test_a_closed_port_refuses_after_a_round_trip() -> None:
    pair = Pair()
    pair.listener.close()
    pair.connect()
    assert isinstance(pair.error, ConnectionRefusedError)
    assert pair.scheduler.now >= 2 * pair.network.conditions.base_latency_us


def test_a_silent_machine_says_nothing_and_a_call_that_gives_up_leaves_nothing() -> None:
    pair = Pair()
    pair.network.conditions.silent_hosts.add("10.0.0.2")
    task = pair.connect()
    assert not task.done() and not pair.accepted
    with pair.here.as_running_loop():
        task.cancel()
    pair.run()
    assert task.cancelled() and not pair.network.open_transports and not pair.network._pending_connections


def test_a_connect_that_is_given_up_after_it_was_accepted_is_closed_there() -> None:
    pair = Pair()
    task = pair.connect(run=False)
    while not pair.accepted:
        pair.scheduler.run_one()
    with pair.here.as_running_loop():
        task.cancel()
    pair.run()
    assert pair.server.end and pair.server.lost == [None] and not pair.network.open_transports


def test_an_end_is_told_after_the_last_byte_and_closes_both_sides() -> None:
    pair = Pair()
    pair.connect()
    pair.client.transport.write(b"bye")
    pair.client.transport.close()
    pair.run()
    assert pair.server.data == b"bye" and pair.server.end
    assert pair.server.lost == [None] and pair.client.lost == [None]
    assert not pair.network.open_transports


def test_half_a_close_lets_the_other_half_go_on() -> None:
    pair = Pair()
    pair.server.keep_open = True
    pair.connect()
    pair.client.transport.write_eof()
    pair.run()
    assert pair.server.end and not pair.server.lost
    pair.server.transport.write(b"still here")
    pair.run()
    assert pair.client.data == b"still here"


def test_writing_to_what_was_closed_is_answered_by_a_reset() -> None:
    pair = Pair()
    pair.server.keep_open = True
    pair.connect()
    pair.client.transport.abort()
    pair.run()
    pair.server.transport.write(b"too late")
    pair.run()
    assert isinstance(pair.server.lost[0], ConnectionResetError)


def test_closing_with_unread_input_resets() -> None:
    pair = Pair()
    pair.connect()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"unread")
    pair.run()
    assert pair.server.transport.has_unread_input()
    pair.server.transport.close()
    pair.run()
    assert isinstance(pair.client.lost[0], ConnectionResetError)


def test_a_reader_that_pauses_makes_its_writer_pause() -> None:
    pair = Pair()
    pair.connect()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"x" * (WINDOW_BYTES + HIGH_WATER_BYTES + 1))
    assert pair.client.paused == 1 and pair.client.transport.get_write_buffer_size() > HIGH_WATER_BYTES
    pair.run()
    assert not pair.server.data
    pair.server.transport.resume_reading()
    pair.run()
    assert len(pair.server.data) == WINDOW_BYTES + HIGH_WATER_BYTES + 1
    assert pair.client.resumed == 1 and not pair.client.transport.get_write_buffer_size()


@pytest.mark.parametrize(("part", "arrives"), [(0.0, b""), (0.5, b"hell"), (1.0, b"hello me")])
def test_a_strike_cuts_before_within_or_after_a_message(part: float, arrives: bytes) -> None:
    pair = Pair()
    pair.network.conditions.split_share = 0.0
    pair.connect()
    pair.network.conditions.cuts.append(ConnectionCut("10.0.0.1", "10.0.0.2", part))
    pair.client.transport.write(b"hello me")
    pair.run()
    assert pair.server.data in (arrives, b"")  # a reset loses what was not read by then
    assert [type(error) for error in pair.server.lost] == [ConnectionResetError]
    assert [type(error) for error in pair.client.lost] == [ConnectionResetError]
    assert not pair.network.conditions.cuts and not pair.network.open_transports


def test_a_process_that_dies_resets_its_connections_and_is_refused_afterwards() -> None:
    pair = Pair()
    pair.connect()
    pair.there.kill()
    pair.run()
    assert isinstance(pair.client.lost[0], ConnectionResetError) and not pair.server.lost
    pair.connect()
    assert isinstance(pair.error, ConnectionRefusedError)


def test_a_machine_that_vanished_is_silent_and_resets_when_it_is_back() -> None:
    pair = Pair()
    pair.connect()
    pair.network.conditions.silent_hosts.add("10.0.0.2")
    pair.client.transport.write(b"anyone?")
    pair.run()
    assert not pair.server.data and not pair.client.lost
    pair.network.conditions.silent_hosts.discard("10.0.0.2")
    pair.network.host_returned("10.0.0.2")
    pair.run()
    assert isinstance(pair.client.lost[0], ConnectionResetError)


def test_an_address_is_listened_on_once() -> None:
    pair = Pair()
    with pytest.raises(OSError, match="address in use"):
        pair.network.listen(pair.here, lambda: pair.client, ("10.0.0.2", 80))
    assert pair.network.listen(pair.here, lambda: pair.client, ("10.0.0.1", 0)).address[1] > 0


def test_nothing_is_told_to_a_side_after_its_end() -> None:
    pair = Pair()
    pair.connect()
    pair.server.transport.write(b"crossing")
    pair.client.transport.abort()
    pair.run()
    assert not pair.client.data and pair.client.lost == [None]
    pair.client.transport.write(b"ignored")
    pair.client.transport.close()
    pair.client.transport.abort()
    pair.run()
    assert pair.client.lost == [None]
