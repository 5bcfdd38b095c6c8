"""The adapter on valid and on malformed batches."""

import io

import pytest

from ploverspoke.simulator.adapter import Adapter
from ploverspoke.simulator.errors import CodecError


def replies_to(text: str) -> str:
    sink = io.StringIO()
    Adapter(io.StringIO(text), sink).run()
    return sink.getvalue()


def test_an_empty_batch_is_answered() -> None:
    assert replies_to("MARK AtTimeUs=8412250 serial=1\nGO\n") == "OK serial=1\n"


@pytest.mark.parametrize(
    ("line", "error_text"),
    [
        ("SURPRISE Who=1", "unknown message SURPRISE"),
        ("NEW_REQUEST Who=1 RequestId=5", "not up"),
        ("UP RandomSeed=1", "Who is missing"),
        ("UP Who=1 RandomSeed=1 ProfileData={}", "ServiceGrades is missing"),
        ("TABLE SetId=0 Members=1", "expected ENTRY"),
        ("REMINDER Who", "name=value"),
        ("MARK AtTimeUs=1 serial=2", "Who is missing"),
    ],
)
def test_a_malformed_line_ends_the_adapter_with_an_error_message(line: str, error_text: str) -> None:
    with pytest.raises(CodecError, match=error_text):
        replies_to(f"MARK AtTimeUs=1 serial=1\n{line}\nGO\n")


def test_an_input_that_ends_inside_a_batch_is_malformed() -> None:
    with pytest.raises(CodecError, match="inside a batch"):
        replies_to("MARK AtTimeUs=1 serial=1\n")
