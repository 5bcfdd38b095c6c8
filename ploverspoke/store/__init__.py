"""The daemon's own replicated store: requests and their answers, agreed on by `consensus/`."""
