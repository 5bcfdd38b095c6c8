"""The lease client, with a connection that the test plays."""

import asyncio

from ploverspoke.leases.client import LeaseClient, LeaseServerConnection
from ploverspoke.leases.config import LeaseServers

SECOND = 1_000_000_000
SECRET = b"a secret of twenty-four."


def test_lease_that_is_kept_is_not_released_by_a_late_response() -> None:
    # Guards against `lease acquire` that says a lease is held, and releases it when a response comes late.
    async def scenario() -> None:
        client = LeaseClient(LeaseServers({}, ["127.0.0.1:1"], SECRET), "n0")
        connection = client.connection = LeaseServerConnection(client)
        client.request_lease("one", SECOND)
        client.holder.tick()
        granted = {"n": 1, "has": [["one", 5, SECOND]], "lost": [], "refused": []}
        client.on_message(connection, granted)
        assert client.token("one") == 5
        client.keep_until_expiry()
        client.on_message(connection, granted)
        await client.close()
        assert not client.holder.pending_releases and connection.closed

    asyncio.run(scenario())
