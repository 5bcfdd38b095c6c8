"""The common part of experiment files with a randomly drawn fault timeline (leases, config distribution)."""

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
    """The fields of a file that all kinds share; each kind adds its scenario and acceptance criteria."""

    kind: str
    name: str
    description: str = ""
    seeds: list[int]
    is_calm: bool = False  # without faults other than those that the scenario itself specifies


TimelineExperimentT = TypeVar("TimelineExperimentT", bound=TimelineExperiment)


def convert_timeline_experiment(
    document: dict[str, Any], experiment_type: type[TimelineExperimentT]
) -> TimelineExperimentT:
    """Convert a parsed TOML file; the ranges of its values are not checked.

    Raises:
        TimelineError: A key or a value is invalid; the error names the key.
    """
    try:
        return msgspec.convert(document, experiment_type, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        raise TimelineError(str(error)) from None
    except ValueError as error:
        raise TimelineError(str(error), key="plan") from None
