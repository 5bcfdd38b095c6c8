"""Former location of the soak test; the command is now `python -m ploverspoke.testbed.commands.soak`."""
