"""Former place of the soak; the command is `python -m ploverspoke.testbed.commands.soak`."""
