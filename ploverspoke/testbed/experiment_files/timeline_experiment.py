"""What experiment files of a drawn fault timeline (leases, config distribution) have in common."""

from typing import Any, TypeVar

import msgspec

from .durations import decode_duration
from .fault_timeline import TimelineError


class TimelineExperiment(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={"description": "about", "is_calm": "calm"},
):
    """A whole file, without the scenario and the demands of its kind."""

    kind: str
    name: str
    description: str = ""
    seeds: list[int]
    is_calm: bool = False  # without faults but those that the kind names


ExperimentOfKind = TypeVar("ExperimentOfKind", bound=TimelineExperiment)


def convert_timeline_experiment(
    document: dict[str, Any], experiment_type: type[ExperimentOfKind]
) -> ExperimentOfKind:
    """Convert a file that was parsed as TOML; its values are not checked yet.

    Raises:
        TimelineError: a key or a value of it is invalid; it names the key.
    """
    try:
        return msgspec.convert(document, experiment_type, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        raise TimelineError(str(error)) from None
    except ValueError as error:
        raise TimelineError(str(error), key="plan") from None
