"""`ploverspoke testbed`: the command group of the testbed."""

import click

from .bench import bench
from .capacity import capacity
from .compare import compare
from .measure_costs import slopes
from .run import run


@click.group()
def testbed() -> None:
    """Test the dispatcher in a model of a fleet: experiments on virtual time or on sockets."""


testbed.add_command(run)
testbed.add_command(compare)
testbed.add_command(bench)
testbed.add_command(slopes)
testbed.add_command(capacity)
