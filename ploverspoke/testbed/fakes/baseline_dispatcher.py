"""The baseline of `testbed bench`: the real dispatcher, but it chooses workers at random.

It is started like the real dispatcher. The difference between their costs is the cost of the decision code.
"""

import os

from ploverspoke.service.config import read_config
from ploverspoke.service.program import create_service

from ..models.baseline_policies import RandomPick


def main() -> None:
    """Serve until a signal stops the process."""
    config = read_config(os.environ)
    service = create_service(config)
    service.router.dispatcher = RandomPick(service.router, config.seed, config.settings)  # type: ignore[assignment]
    service.loop.run_until_complete(service.run())


if __name__ == "__main__":
    main()
