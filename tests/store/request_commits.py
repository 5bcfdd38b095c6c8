"""Calls of a request log on a real replica, whose results tests await."""

import asyncio
from collections.abc import Sequence

from ploverspoke.store.class_rules import ClassRules
from ploverspoke.store.node import StoreNode
from ploverspoke.store.request_log import ReplicatedRequestLog
from tests.polling import until
from tests.store.cluster_harness import Cluster

DIGEST = b"d" * 16


async def leading_log(cluster: Cluster, rules: Sequence[ClassRules] = ()) -> ReplicatedRequestLog:
    """Return a request log of the leading replica with these rules, after it has taken over."""
    node: StoreNode = await cluster.wait_for_leader()
    log = ReplicatedRequestLog(node, rules, full_may_have_run=False)
    node.read_barrier(log._take_over)
    await until(lambda: log.is_leading)
    return log


async def committed(record: object, *arguments: object) -> bool:
    """Call a method that records something; the result says whether it was committed."""
    future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    assert callable(record)
    record(*arguments, future.set_result)
    return await future
