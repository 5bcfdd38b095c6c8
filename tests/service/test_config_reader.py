"""Reading a document key by key: types, ranges, defaults and error messages."""

import pytest

from ploverspoke.service.config_reader import (
    MAX_MESSAGE_LENGTH,
    ConfigError,
    ConfigSection,
    InvalidValueError,
    first_missing_key,
)


def test_error_has_the_key_and_the_problem_beside_the_sentence() -> None:
    section = ConfigSection({"sockets": "many"}, "limits")
    with pytest.raises(InvalidValueError) as raised:
        section.integer("sockets")
    error = raised.value
    assert (error.key, error.problem) == ("limits.sockets", "is 'many': expected a number")
    assert str(error) == "limits.sockets is 'many': expected a number"
    assert str(ConfigError(key="limits", problem="expected an object")) == "limits: expected an object"
    assert str(ConfigError("no file")) == "no file"


def test_error_with_a_long_value_is_cut() -> None:
    with pytest.raises(InvalidValueError) as raised:
        ConfigSection({"name": ["x" * 1000]}).text("name")
    assert len(str(raised.value)) == MAX_MESSAGE_LENGTH


def test_missing_and_null_values_get_the_default() -> None:
    section = ConfigSection({"null": None})
    for name in ("null", "missing"):
        assert section.integer(name, 3) == 3 and section.text(name, "x") == "x"
        assert section.duration(name, 2) == 2_000 and not section.boolean(name)
        assert section.values_per_class(name, 0.5, 2) == [0.5, 0.5]
        assert section.section(name).value == {} and section.sections(name) == []
        with pytest.raises(ConfigError, match=name):
            section.integer(name)


@pytest.mark.parametrize(
    ("old", "new", "missing"),
    [
        ({"a": {"b": 1}}, {"a": {"c": 1}}, "a.b"),
        ({"a": {"b": 1}}, {"a": 1}, None),
        ([{"a": 1, "b": 1}, {"a": 2}], [{"b": 1}], "[0].a"),
        ([{"a": {"b": 1}}], [{"a": {}}], None),
        ([], [{}], None),
        ({"a": [{"b": 1}]}, {"a": [{"b": 1}, {}]}, "a[1].b"),
    ],
)
def test_first_missing_key_is_found(old: object, new: object, missing: str | None) -> None:
    assert first_missing_key(old, new) == missing
