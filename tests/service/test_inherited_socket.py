"""The socket that RELAY_PASSED_SOCKET names."""

import os
import socket
from pathlib import Path

import pytest

from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.inherited_socket import open_inherited_socket


def test_only_a_listening_tcp_socket_is_inherited(listening: socket.socket, tmp_path: Path) -> None:
    assert open_inherited_socket({}) is None
    inherited = open_inherited_socket({"RELAY_PASSED_SOCKET": str(os.dup(listening.fileno()))})
    assert inherited is not None and inherited.getsockname() == listening.getsockname()
    inherited.close()
    with socket.socket() as not_listening, (tmp_path / "file").open("w") as file:
        for value in ("five", "-1", "9999", str(not_listening.fileno()), str(file.fileno())):
            with pytest.raises(ConfigError, match="RELAY_PASSED_SOCKET"):
                open_inherited_socket({"RELAY_PASSED_SOCKET": value})
        not_listening.getsockname()  # raises an error if the rejected socket was closed
