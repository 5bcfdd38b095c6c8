"""Blocks of loopback addresses and reserved ports."""

import socket

import pytest

from ploverspoke.testbed.processes.addresses import AddressBlock, bind_without_listening, reserve_ports


def test_blocks_and_ports_stay_reserved_and_a_program_can_listen_on_a_reserved_port() -> None:
    block, other = AddressBlock(), AddressBlock()
    try:
        assert block.number != other.number
        host = block.process_host(0)
        port = block.reserve_port(host)
        with pytest.raises(OSError, match="in use"), socket.socket() as intruder:
            intruder.bind((host, port))
        with bind_without_listening(host, port) as listener:
            listener.listen()
        assert len(set(reserve_ports(50))) == 50
    finally:
        block.close()
        other.close()
    again = AddressBlock()
    assert again.number == block.number
    again.close()
