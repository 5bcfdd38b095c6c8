"""The decisions of the supervisor, event by event on a clock that the test controls."""

import random

import pytest

from ploverspoke.supervisor.supervisor import (
    CRASH_LOOP_EXITS,
    MAX_RESTART_DELAY,
    READY_TIMEOUT,
    STOP_TIMEOUT,
    ChildState,
)
from ploverspoke.transport.units import SECOND

from .harness import FakeProcesses


def test_crash_loop_is_reported_once_and_restart_delays_grow() -> None:
    processes = FakeProcesses.started(2)
    delays = []
    for _ in range(12):
        exited_at = processes.clock
        processes.exit(0)
        processes.pass_time((processes.supervisor.next_tick() or 0) - processes.clock)
        delays.append(processes.starts[-1][0] - exited_at)
    assert delays == sorted(delays) and delays[0] < SECOND and delays[-1] == MAX_RESTART_DELAY
    assert sum("CRASH LOOP" in line for line in processes.log_lines) == 1
    assert 1 in processes.alive, "the other child is not affected"


def test_restart_delay_is_short_again_after_a_long_run() -> None:
    processes = FakeProcesses.started(1)
    for _ in range(CRASH_LOOP_EXITS):
        processes.exit(0)
        processes.pass_time(MAX_RESTART_DELAY)
    processes.report_all_ready()
    processes.pass_time(60 * SECOND)
    processes.exit(0)
    exited_at = processes.clock
    processes.pass_time(SECOND)
    assert processes.starts[-1][0] - exited_at < SECOND


def test_new_configuration_rolls_one_by_one_and_waits_for_a_child_that_is_down() -> None:
    processes = FakeProcesses.started(3)
    processes.supervisor.on_new_configuration()
    assert processes.stop_requests == [0]
    processes.exit(0, 0)
    assert processes.stop_requests == [0] and 0 in processes.alive
    processes.supervisor.on_child_ready(0)
    assert processes.stop_requests == [0, 1]
    processes.supervisor.on_new_configuration()
    processes.exit(1, 0)
    assert processes.stop_requests == [0, 1], "no child is stopped while one starts"
    processes.supervisor.on_child_ready(1)
    assert processes.stop_requests == [0, 1, 0]


def test_child_that_is_not_ready_or_does_not_stop_in_time_is_killed() -> None:
    processes = FakeProcesses(1)
    processes.supervisor.start_all()
    processes.pass_time(READY_TIMEOUT)
    assert processes.killed == [0]
    processes.pass_time(MAX_RESTART_DELAY)
    processes.report_all_ready()
    processes.supervisor.shut_down()
    processes.pass_time(STOP_TIMEOUT + 1)
    assert processes.killed == [0, 0] and processes.shutdown_result is True


def test_all_children_killed_at_once_are_restarted() -> None:
    processes = FakeProcesses.started(4)
    for index in range(4):
        processes.exit(index, -9)
    processes.pass_time(SECOND)
    assert processes.alive == {0, 1, 2, 3}


def test_failed_start_is_retried() -> None:
    processes = FakeProcesses(1)
    processes.start_fails = True
    processes.supervisor.start_all()
    processes.pass_time(SECOND)
    processes.start_fails = False
    processes.pass_time(MAX_RESTART_DELAY)
    assert processes.alive == {0}


@pytest.mark.parametrize("seed", range(60))
def test_each_slot_holds_one_process_and_shutdown_ends_in_any_schedule(seed: int) -> None:
    rng, processes = random.Random(seed), FakeProcesses.started(3)
    supervisor = processes.supervisor
    for _ in range(200):
        roll = rng.random()
        if roll < 0.3 and processes.alive:
            processes.exit(rng.choice(sorted(processes.alive)), rng.choice([0, 1, -9]))
        elif roll < 0.6 and processes.alive:
            supervisor.on_child_ready(rng.choice(sorted(processes.alive)))
        elif roll < 0.7:
            supervisor.on_new_configuration()
        else:
            processes.pass_time(int(rng.random() * 4 * SECOND))
        empty = (ChildState.WAITING, ChildState.STOPPED)
        occupied = [index for index, slot in enumerate(supervisor.slots) if slot.state not in empty]
        assert occupied == sorted(processes.alive)
    supervisor.shut_down()
    for index in sorted(processes.alive):
        if rng.random() < 0.5:
            processes.exit(index, 0)
    processes.pass_time(2 * STOP_TIMEOUT)
    assert processes.shutdown_result is not None and supervisor.next_tick() is None
