"""The baseline of `testbed bench`: the program as it is, with random choice in place of its decisions.

It is started like the program; the difference in cost is the cost of the decisions.
"""

import os

from ploverspoke.service.config import read_config
from ploverspoke.service.service import create_service

from ..models.baseline_policies import RandomPick


def main() -> None:
    """Serve until a signal ends it."""
    config = read_config(os.environ)
    service = create_service(config)
    service.router.dispatcher = RandomPick(service.router, config.seed, config.settings)  # type: ignore[assignment]
    service.loop.run_until_complete(service.run())


if __name__ == "__main__":
    main()
