"""The admin protocol: one command line per connection, and one reply that begins with +OK or -ERR."""

from collections.abc import Iterable, Mapping

from .errors import AdminCommandError

MAX_COMMAND_SIZE = 64  # bytes, including the line end
PRINTABLE_ASCII = range(0x20, 0x7F)


class AdminCommandReader:
    """Assembles the single command line of a connection from the received data."""

    def __init__(self) -> None:
        """Start with an empty line."""
        self.line = bytearray()

    def feed(self, data: memoryview) -> str | None:
        """Return the command once its line is complete, None until then. Raises AdminCommandError."""
        self.line += data[: MAX_COMMAND_SIZE + 1 - len(self.line)]
        line, newline, rest = bytes(self.line).partition(b"\n")
        if not newline:
            if len(self.line) > MAX_COMMAND_SIZE:
                raise AdminCommandError(reason="the line is too long")
            return None
        if rest or len(self.line) > MAX_COMMAND_SIZE:
            raise AdminCommandError(reason="one line a connection")
        command = line.removesuffix(b"\r")
        if not all(byte in PRINTABLE_ASCII for byte in command):
            raise AdminCommandError(reason="not plain ASCII")
        return command.decode("ascii")


def ok_reply(text: str) -> bytes:
    """Return the reply to a command that succeeded."""
    return f"+OK {text}\n".encode("ascii")


def error_reply(reason: str) -> bytes:
    """Return the reply to a command that failed."""
    return f"-ERR {reason}\n".encode("ascii")


def escape_label(text: str) -> str:
    """Escape quotes, backslashes, line ends and non-ASCII characters in the value of a label."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return escaped.encode("ascii", "backslashreplace").decode("ascii")


def operations_line(request_class: str, status: str, count: int) -> str:
    """Return the line with the number of requests of one class that ended with one status."""
    return labeled_counter_line("operations", {"priority": request_class, "status": status}, count)


def labeled_counter_line(name: str, labels: Mapping[str, str], value: int) -> str:
    """Return the line for one counter with labels, in the Prometheus text format."""
    label_pairs = ",".join(f'{label}="{escape_label(text)}"' for label, text in labels.items())
    return f"dispatcher_{name}{{{label_pairs}}} {value}"


def counter_line(name: str, value: int) -> str:
    """Return the line for one counter or gauge."""
    return f"dispatcher_{name} {value}"


def counters_reply(lines: Iterable[str]) -> bytes:
    """Return the complete reply to the command `vars`, given the lines of all counters."""
    return "\n".join(("+OK", *lines, ".\n")).encode("ascii")
