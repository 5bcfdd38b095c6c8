"""The error for an invalid experiment file."""


class ExperimentError(ValueError):
    """The file is not a valid experiment."""

    def __init__(self, reason: str, location: str = "") -> None:
        """Keep the reason and the location: the file, or the key in it."""
        super().__init__(f"{location}: {reason}" if location else reason)
        self.reason = reason
        self.location = location
