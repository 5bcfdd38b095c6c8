"""Decoding of the simulator's messages."""

from ploverspoke.simulator.codec import decode_message


def test_a_text_field_runs_to_the_end_of_the_line() -> None:
    message = decode_message("REMARK Who=3 Line=two servers known")
    assert message.name == "REMARK" and message.fields == {"Who": "3", "Line": "two servers known"}
