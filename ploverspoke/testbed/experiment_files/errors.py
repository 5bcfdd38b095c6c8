"""The error that an unusable experiment file raises."""


class ExperimentError(ValueError):
    """The file is not a valid experiment."""

    def __init__(self, reason: str, location: str = "") -> None:
        """Keep the reason and where it was found: the file, or the key in it."""
        super().__init__(f"{location}: {reason}" if location else reason)
        self.reason = reason
        self.location = location
