"""The in-memory network behaves like TCP."""

from __future__ import annotations

import pytest

from leadrudder.simulation.network import HIGH_WATER_BYTES, WINDOW_BYTES, ConnectionCut
from tests.simulation.stubs import ConnectedPair


def test_split_writes_arrive_complete_and_in_order() -> None:
    pair = ConnectedPair()
    pair.network.conditions.split_share = 1.0
    pair.network.conditions.tail_share = 0.5
    pair.connect()
    sent = b"".join(b"%d," % i for i in range(500))
    for i in range(0, len(sent), 37):
        pair.client.transport.write(sent[i : i + 37])
    pair.run()
    assert pair.server.data == sent
    assert pair.server.read_count > 3


def test_segments_that_arrive_together_are_merged() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.network.conditions.arrival_grain_us = 100_000
    pair.network.conditions.split_share = 1.0
    for part in (b"a", b"bcdef", b"ghi"):
        pair.client.transport.write(part)
    pair.run()
    assert pair.server.data == b"abcdefghi" and pair.server.read_count == 1


def test_a_closed_port_refuses_after_a_round_trip() -> None:
    pair = ConnectedPair()
    pair.listener.close()
    pair.connect()
    assert isinstance(pair.error, ConnectionRefusedError)
    assert pair.scheduler.now >= 2 * pair.network.conditions.base_latency_us


def test_a_cancelled_connect_to_a_silent_host_leaves_nothing_behind() -> None:
    pair = ConnectedPair()
    pair.network.conditions.silent_hosts.add("10.0.0.2")
    task = pair.connect()
    assert not task.done() and not pair.accepted
    with pair.local.as_running_loop():
        task.cancel()
    pair.run()
    assert task.cancelled() and not pair.network.open_transports and not pair.network._pending_connections


def test_cancelling_an_accepted_connect_closes_the_remote_end() -> None:
    pair = ConnectedPair()
    task = pair.connect(run=False)
    while not pair.accepted:
        pair.scheduler.run_one()
    with pair.local.as_running_loop():
        task.cancel()
    pair.run()
    assert pair.server.eof and pair.server.lost_errors == [None] and not pair.network.open_transports


def test_end_of_stream_follows_the_last_byte_and_closes_both_ends() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.client.transport.write(b"bye")
    pair.client.transport.close()
    pair.run()
    assert pair.server.data == b"bye" and pair.server.eof
    assert pair.server.lost_errors == [None] and pair.client.lost_errors == [None]
    assert not pair.network.open_transports


def test_a_half_closed_connection_still_carries_the_other_direction() -> None:
    pair = ConnectedPair()
    pair.server.keep_open = True
    pair.connect()
    pair.client.transport.write_eof()
    pair.run()
    assert pair.server.eof and not pair.server.lost_errors
    pair.server.transport.write(b"still here")
    pair.run()
    assert pair.client.data == b"still here"


def test_writing_to_a_closed_peer_causes_a_reset() -> None:
    pair = ConnectedPair()
    pair.server.keep_open = True
    pair.connect()
    pair.client.transport.abort()
    pair.run()
    pair.server.transport.write(b"too late")
    pair.run()
    assert isinstance(pair.server.lost_errors[0], ConnectionResetError)


def test_closing_with_unread_input_resets() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"unread")
    pair.run()
    assert pair.server.transport.has_unread_input()
    pair.server.transport.close()
    pair.run()
    assert isinstance(pair.client.lost_errors[0], ConnectionResetError)


def test_a_paused_reader_pauses_the_writer() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.server.transport.pause_reading()
    pair.client.transport.write(b"x" * (WINDOW_BYTES + HIGH_WATER_BYTES + 1))
    assert pair.client.pause_count == 1 and pair.client.transport.get_write_buffer_size() > HIGH_WATER_BYTES
    pair.run()
    assert not pair.server.data
    pair.server.transport.resume_reading()
    pair.run()
    assert len(pair.server.data) == WINDOW_BYTES + HIGH_WATER_BYTES + 1
    assert pair.client.resume_count == 1 and not pair.client.transport.get_write_buffer_size()


@pytest.mark.parametrize(("delivered_share", "arrives"), [(0.0, b""), (0.5, b"hell"), (1.0, b"hello me")])
def test_a_cut_drops_all_part_or_none_of_a_message(delivered_share: float, arrives: bytes) -> None:
    pair = ConnectedPair()
    pair.network.conditions.split_share = 0.0
    pair.connect()
    pair.network.conditions.cuts.append(ConnectionCut("10.0.0.1", "10.0.0.2", delivered_share))
    pair.client.transport.write(b"hello me")
    pair.run()
    assert pair.server.data in (arrives, b"")  # the reset discards unread data
    assert [type(error) for error in pair.server.lost_errors] == [ConnectionResetError]
    assert [type(error) for error in pair.client.lost_errors] == [ConnectionResetError]
    assert not pair.network.conditions.cuts and not pair.network.open_transports


def test_a_killed_process_resets_its_connections_and_refuses_new_ones() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.remote.kill()
    pair.run()
    assert isinstance(pair.client.lost_errors[0], ConnectionResetError) and not pair.server.lost_errors
    pair.connect()
    assert isinstance(pair.error, ConnectionRefusedError)


def test_a_vanished_host_is_silent_and_resets_after_its_return() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.network.conditions.silent_hosts.add("10.0.0.2")
    pair.client.transport.write(b"anyone?")
    pair.run()
    assert not pair.server.data and not pair.client.lost_errors
    pair.network.conditions.silent_hosts.discard("10.0.0.2")
    pair.network.host_returned("10.0.0.2")
    pair.run()
    assert isinstance(pair.client.lost_errors[0], ConnectionResetError)


def test_an_address_in_use_cannot_be_bound_again() -> None:
    pair = ConnectedPair()
    with pytest.raises(OSError, match="address in use"):
        pair.network.listen(pair.local, lambda: pair.client, ("10.0.0.2", 80))
    assert pair.network.listen(pair.local, lambda: pair.client, ("10.0.0.1", 0)).address[1] > 0


def test_an_ended_transport_gets_no_more_callbacks() -> None:
    pair = ConnectedPair()
    pair.connect()
    pair.server.transport.write(b"crossing")
    pair.client.transport.abort()
    pair.run()
    assert not pair.client.data and pair.client.lost_errors == [None]
    pair.client.transport.write(b"ignored")
    pair.client.transport.close()
    pair.client.transport.abort()
    pair.run()
    assert pair.client.lost_errors == [None]
