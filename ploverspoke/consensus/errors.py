"""The base class of the errors of this package; each module defines the errors that it raises."""


class ConsensusError(Exception):
    """Base class of the errors that `ploverspoke.consensus` raises."""
