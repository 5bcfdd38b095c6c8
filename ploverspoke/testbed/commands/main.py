"""`ploverspoke testbed`: the group of the testbed's commands."""

import click

from .bench import bench
from .capacity import capacity
from .compare import compare
from .measure_costs import slopes
from .run import run


@click.group()
def testbed() -> None:
    """Test the dispatcher in a fleet model: experiments on virtual time or on sockets."""


testbed.add_command(run)
testbed.add_command(compare)
testbed.add_command(bench)
testbed.add_command(slopes)
testbed.add_command(capacity)
