"""Tools that ask for all leases are answered one at a time, and one failure takes no other its answer."""

import asyncio

from ploverspoke.leases.admin_messages import FollowerReply
from ploverspoke.leases.listing_replies import ListingReplies
from ploverspoke.transport import turn_queue

TOOLS = 50


def test_listings_that_become_ready_at_once_are_made_in_turns() -> None:
    # Guards against a lease server that renews nothing while it answers all tools of one round of heartbeats.
    answers: list[object] = []

    async def run() -> list[int]:
        loop, answered_by_iteration = asyncio.get_running_loop(), list[int]()

        def make_listing() -> FollowerReply:
            ends_at = loop.time() + turn_queue.FURTHER_ROUNDS / 1e9
            while loop.time() < ends_at:
                pass
            if len(answers) == 7 and not failures:
                failures.append("once")
                raise ValueError
            return FollowerReply()

        failures: list[str] = []
        replies = ListingReplies(make_listing)
        for _ in range(TOOLS):
            replies.add(answers.append)
        while replies.waiting:
            before = len(answers)
            await asyncio.sleep(0)
            answered_by_iteration.append(len(answers) - before)
        return answered_by_iteration

    answered_by_iteration = asyncio.run(run())
    assert len(answers) == TOOLS - 1
    assert max(answered_by_iteration) == 1
