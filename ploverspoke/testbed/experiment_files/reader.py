"""Reads experiment files.

The text of an ExperimentError is one line that names the key: an unknown key, a value of the wrong unit or
type, a reference to something that does not exist, or a time after the end of the run.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from .durations import decode_duration
from .errors import ExperimentError
from .experiment import Experiment
from .validation import check_experiment


def read_experiment(path: Path) -> Experiment:
    """Read and check an experiment file.

    Raises:
        ExperimentError: It cannot be read, is not TOML, or is not a valid experiment.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ExperimentError(str(error.strerror), str(path)) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        reason = f"not valid TOML: {error}"
        raise ExperimentError(reason, str(path)) from None
    try:
        return parse_experiment(document)
    except ExperimentError as error:
        raise ExperimentError(str(error), str(path)) from None


def parse_experiment(document: dict[str, Any]) -> Experiment:
    """Convert and check a TOML document.

    Raises:
        ExperimentError: It is not a valid experiment.
    """
    try:
        experiment = msgspec.convert(document, Experiment, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        raise ExperimentError(str(error).replace("`$.", "`")) from None
    check_experiment(experiment)
    return experiment


def experiment_from_builtins(document: dict[str, Any]) -> Experiment:
    """Restore an experiment from `msgspec.to_builtins(experiment, enc_hook=int)`, where durations are ns."""
    return msgspec.convert(document, Experiment, dec_hook=lambda target_type, value: target_type(value))
