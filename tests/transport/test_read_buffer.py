"""The read buffer of a connection."""

import random

import pytest

from ploverspoke.transport.buffers import INITIAL_SIZE, MIN_WRITABLE, ReadBuffer


@pytest.mark.parametrize("seed", range(5))
def test_a_buffer_keeps_all_bytes_and_shrinks_when_it_is_empty(seed: int) -> None:
    random_numbers, buffer, held = random.Random(seed), ReadBuffer(), b""
    most = 0  # bytes held since the buffer was last empty
    for _ in range(400):
        part = random_numbers.randbytes(random_numbers.choice([1, 100, 3000]))
        space = buffer.writable_space()
        part = part[: len(space)]
        assert part
        space[: len(part)] = part
        space.release()
        buffer.commit(len(part))
        most = max(most, len(held) + len(part)) if held else len(part)
        held += part
        assert len(buffer.data) <= max(INITIAL_SIZE, 2 * (most + MIN_WRITABLE))
        consumed = random_numbers.choice([0, len(held) // 2, len(held)])
        with buffer.unread() as unread:
            assert unread == held
        buffer.consume(consumed)
        held = held[consumed:]
    buffer.consume(len(buffer))
    buffer.writable_space().release()
    assert len(buffer.data) == INITIAL_SIZE
