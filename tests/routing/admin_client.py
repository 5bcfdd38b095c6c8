"""Sends admin commands to the dispatcher of a harness."""

import asyncio

from tests.routing.harness import ServiceHarness


async def admin_call(harness: ServiceHarness, command: bytes = b"vars\n") -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.admin_port)
    writer.write(command)
    reply = await asyncio.wait_for(reader.read(), 1)
    writer.close()
    return reply.decode()


async def admin_counters(harness: ServiceHarness) -> dict[str, int]:
    status, *lines, dot, end = (await admin_call(harness)).split("\n")
    assert status == "+OK" and dot == "." and end == ""
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines)}


def operations_key(class_name: str, status: str) -> str:
    return f'dispatcher_operations{{priority="{class_name}",status="{status}"}}'
