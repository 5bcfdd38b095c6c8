"""At the limit of connections, an accept does not look at all sessions."""

import pytest

from ploverspoke.routing.client_session import ClientSession
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.http_messages import read_message
from tests.routing.race_harness import wait_until

LOOKS_PER_ACCEPT = 4  # at sessions


def test_accept_at_the_limit_of_connections_looks_at_few_sessions(monkeypatch: pytest.MonkeyPatch) -> None:
    looks = 0
    is_idle = ClientSession.is_idle

    def counting_is_idle(session: ClientSession) -> bool:
        nonlocal looks
        looks += 1
        return is_idle(session)

    async def script(harness: ServiceHarness) -> None:
        nonlocal looks
        server = harness.service.client_server
        clients = []
        for number in range(server.max_sessions):
            reader, writer = await harness.connect()
            writer.write(harness.request(f"first-{number}"))
            assert (await read_message(reader))[0].split()[1] == "200"
            clients.append((reader, writer))
        oldest = list(server.sessions.values())
        monkeypatch.setattr(ClientSession, "is_idle", counting_is_idle)
        accepts = server.max_sessions // 2
        for number in range(accepts):
            reader, writer = await harness.connect()
            writer.write(harness.request(f"second-{number}"))
            assert (await read_message(reader))[0].split()[1] == "200"
            clients.append((reader, writer))
        await wait_until(lambda: len(server.sessions) <= server.max_sessions)
        assert looks <= accepts * LOOKS_PER_ACCEPT
        assert not any(session in server.sessions.values() for session in oldest[:accepts])
        assert all(session in server.sessions.values() for session in oldest[accepts:])

    run_script(script)
