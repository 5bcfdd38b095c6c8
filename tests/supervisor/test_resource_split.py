"""Each child's share of the limits and its index among all dispatchers."""

import pytest

from ploverspoke.service.config import parse_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.supervisor.resource_split import child_config
from tests.example_config import EXAMPLE


def test_limits_are_split_and_each_child_knows_how_many_dispatchers_there_are() -> None:
    whole = parse_config({**EXAMPLE, "limits": {"sockets": 1024, "memory_mb": 192}}, {})
    children = [child_config(whole, index, 4) for index in range(4)]
    assert sum(child.descriptor_limit for child in children) <= 1024
    assert sum(child.memory_limit for child in children) <= 192 << 20
    assert {child.settings.dispatcher_count for child in children} == {4}
    assert len({child.seed for child in children}) == 4
    assert child_config(whole, 0, 2, descriptor_limit=100).descriptor_limit == 100
    for limits, key in (({"sockets": 256}, "limits.sockets"), ({"memory_mb": 64}, "limits.memory_mb")):
        with pytest.raises(ConfigError, match=key) as raised:
            child_config(parse_config({**EXAMPLE, "limits": limits}, {}), 0, 8)
        assert raised.value.key == key
