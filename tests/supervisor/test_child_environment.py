"""A child reads the environment that the supervisor writes."""

import pytest

from ploverspoke.supervisor.child_environment import ChildEnvironment


def test_child_reads_what_the_supervisor_wrote() -> None:
    child = ChildEnvironment(index=2, count=3, socket_descriptor=7)
    assert child.to_environment() == {"PLOVERSPOKE_CHILD": "2,3,7"}
    assert ChildEnvironment.from_environment(child.to_environment()) == child


@pytest.mark.parametrize("environment", [{}, {"PLOVERSPOKE_CHILD": "2,3"}, {"PLOVERSPOKE_CHILD": "a,b,c"}])
def test_process_without_a_supervisor_is_refused(environment: dict[str, str]) -> None:
    with pytest.raises((KeyError, ValueError)):
        ChildEnvironment.from_environment(environment)
