"""Admin commands to the dispatcher of a harness."""

import asyncio

from tests.routing.harness import ServiceHarness


async def admin_call(harness: ServiceHarness, command: bytes = b"vars\n") -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.admin_port)
    writer.write(command)
    answer = await asyncio.wait_for(reader.read(), 1)
    writer.close()
    return answer.decode()


async def admin_counters(harness: ServiceHarness) -> dict[str, int]:
    first, *lines, dot, end = (await admin_call(harness)).split("\n")
    assert first == "+OK" and dot == "." and end == ""
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines)}


def operations_key(class_name: str, status: str) -> str:
    return f'dispatcher_operations{{priority="{class_name}",status="{status}"}}'
