"""The bare relay of `testbed bench`: the program as it is, with a random worker in place of its decisions.

Started like the program; what it costs less is what the decisions cost.
"""

import asyncio
import os

import uvloop

from ploverspoke.service.config import read_config
from ploverspoke.service.service import Service

from ..models.baseline_policies import RandomPick


def main() -> None:
    briefing = read_config(os.environ)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    service = Service(loop, briefing)
    service.router.dispatcher = RandomPick(service.router, briefing.seed, briefing.settings)  # type: ignore[assignment]
    loop.run_until_complete(service.run())


if __name__ == "__main__":
    main()
