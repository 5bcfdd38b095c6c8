"""The one buffer of a connection: it grows as it needs and is compacted in place."""

FIRST_SIZE = 4 * 1024
LEAST_SPACE = 2 * 1024


class ReadBuffer:
    def __init__(self) -> None:
        self.data = bytearray(FIRST_SIZE)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def space(self) -> memoryview:
        """Where the next bytes go. Only here the buffer changes size, while nobody else looks at it."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > FIRST_SIZE:
                self.data = bytearray(FIRST_SIZE)
        elif len(self.data) - self.end < LEAST_SPACE:
            if self.start:
                self.data[: len(self)] = self.data[self.start : self.end]
                self.start, self.end = 0, len(self)
            if len(self.data) - self.end < LEAST_SPACE:
                self.data.extend(bytes(len(self.data)))
        return memoryview(self.data)[self.end :]

    def filled(self, count: int) -> None:
        self.end += count

    def unread(self) -> memoryview:
        return memoryview(self.data)[self.start : self.end]

    def read(self, count: int) -> None:
        """So many of the unread bytes are done with."""
        self.start += count
