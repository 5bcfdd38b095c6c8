"""The operators' door: one line asks, one answer that begins with +OK or -ERR. Opens no sockets."""

from collections.abc import Iterable

LONGEST_CALL = 64  # bytes, its end included


class AdminCallError(Exception):
    """What came is no call; says why, in words that are safe to send back."""


class CallReader:
    """Collects the one line of a connection, whatever pieces it comes in."""

    def __init__(self) -> None:
        self.line = bytearray()

    def feed(self, data: memoryview) -> str | None:
        """The call, once its line has ended; None before that. Raises AdminCallError."""
        self.line += data[: LONGEST_CALL + 1 - len(self.line)]
        line, newline, rest = bytes(self.line).partition(b"\n")
        if not newline:
            if len(self.line) > LONGEST_CALL:
                raise AdminCallError("the line is too long")
            return None
        if rest or len(self.line) > LONGEST_CALL:
            raise AdminCallError("one line a connection")
        call = line.removesuffix(b"\r")
        if not all(0x20 <= byte < 0x7F for byte in call):
            raise AdminCallError("not plain ASCII")
        return call.decode("ascii")


def said_yes(what: str) -> bytes:
    return f"+OK {what}\n".encode("ascii")


def said_no(why: str) -> bytes:
    return f"-ERR {why}\n".encode("ascii")


def label(text: str) -> str:
    """A text as a label's value; what would end it or the line is escaped."""
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return escaped.encode("ascii", "backslashreplace").decode("ascii")


def operations(grade: str, status: str, count: int) -> str:
    return f'dispatcher_operations{{priority="{label(grade)}",status="{status}"}} {count}'


def figure(name: str, value: int) -> str:
    return f"dispatcher_{name} {value}"


def figures(lines: Iterable[str]) -> bytes:
    """The whole answer to `vars`."""
    return "\n".join(("+OK", *lines, ".\n")).encode("ascii")
