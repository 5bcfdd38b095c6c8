"""The read buffer of a connection."""

import random

import pytest

from ploverspoke.transport.buffers import INITIAL_SIZE, MIN_WRITABLE, ReadBuffer


@pytest.mark.parametrize("seed", range(5))
def test_a_buffer_keeps_all_bytes_and_shrinks_when_it_is_empty(seed: int) -> None:
    random_numbers, buffer, unconsumed = random.Random(seed), ReadBuffer(), b""
    peak_size = 0  # the most unconsumed bytes since the buffer was last empty
    for _ in range(400):
        part = random_numbers.randbytes(random_numbers.choice([1, 100, 3000]))
        space = buffer.writable_space()
        part = part[: len(space)]
        assert part
        space[: len(part)] = part
        space.release()
        buffer.commit(len(part))
        peak_size = max(peak_size, len(unconsumed) + len(part)) if unconsumed else len(part)
        unconsumed += part
        assert len(buffer.data) <= max(INITIAL_SIZE, 2 * (peak_size + MIN_WRITABLE))
        count = random_numbers.choice([0, len(unconsumed) // 2, len(unconsumed)])
        with buffer.unread() as unread:
            assert unread == unconsumed
        buffer.consume(count)
        unconsumed = unconsumed[count:]
    buffer.consume(len(buffer))
    buffer.writable_space().release()
    assert len(buffer.data) == INITIAL_SIZE
