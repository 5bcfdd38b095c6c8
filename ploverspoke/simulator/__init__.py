"""The adapter to the simulator: its messages become events of dispatchers, their actions become replies."""
