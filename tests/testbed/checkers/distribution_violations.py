"""Histories of config distribution runs, one for each kind of violation."""

from collections.abc import Callable

from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from tests.testbed.checkers.distribution_events import (
    CUT,
    IN_TIME,
    KEY,
    PUBLISHED,
    SERVERS,
    Events,
    event_at,
    link_fault,
    list_versions,
    make_run,
    probe_round,
    probes,
    probes_at_both,
    process_fault,
    publish,
    publish_unacknowledged,
)

# The rule and its violation, a part of the text of the expected finding, and the history.
VIOLATIONS: list[tuple[str, str, Callable[[], Events]]] = [
    (
        "1: an older version after a newer one",
        "d0 went back from version 3 to 2",
        lambda: make_run(PUBLISHED, probes("d0", {**IN_TIME, 6000: 2}), probes("d1", IN_TIME)),
    ),
    (
        "1: behind after a restart",
        "d1 is at version 2 after its restart, and had 3",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", {**IN_TIME, 8000: 2}, (5000, 8000)),
            process_fault(5000, 8000, "kill", "d1"),
        ),
    ),
    (
        "1: behind a version that it had and that was never acknowledged",
        "d1 is at version 3 after its restart, and had 4",
        lambda: make_run(
            PUBLISHED,
            publish_unacknowledged(4000, 4, False),
            probes("d0", IN_TIME),
            probes("d1", {**IN_TIME, 4400: 4, 8000: 3}, (5000, 8000)),
            process_fault(5000, 8000, "older", "d1"),
            ids=["p1", "p2", "p3", "p4"],
        ),
    ),
    (
        "2: not committed",
        "d0 applied p4, which was not committed",
        lambda: make_run(
            PUBLISHED,
            publish_unacknowledged(4000, 4, False),
            probes("d0", {**IN_TIME, 4400: 4}),
            probes("d1", IN_TIME),
        ),
    ),
    (
        "2: half of a version",
        "d1 applied half of tag 3: a alone",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", IN_TIME, (3200, 3500)),
            [probe_round(3250, "d1", 3, "a"), probe_round(3350, "d1", 3, "a")],
        ),
    ),
    (
        "2: no known version",
        "d1 applies no version that is known",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", IN_TIME, (3200, 3500)),
            [probe_round(3250, "d1", 3, ""), probe_round(3350, "d1", 3, "")],
        ),
    ),
    (
        "3: late",
        "d1 is at version 2 10.1s after 3 was acknowledged, and could reach it",
        lambda: make_run(PUBLISHED, probes("d0", IN_TIME), probes("d1", {**IN_TIME, 3200: 2, 15_000: 3})),
    ),
    (
        "3: late at one server that is cut off from others",
        "and could reach it",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", {1200: 1, 15_000: 3}),
            link_fault(500, 30_000, {"origin": ["s2"], "target": ["s0", "s1"], "cut": True}),
        ),
    ),
    (
        "4: late after the cut",
        "and could reach it",
        lambda: make_run(
            PUBLISHED, probes("d0", IN_TIME), probes("d1", {22_300: 3}), link_fault(500, 12_050, CUT)
        ),
    ),
    (
        "4: late after a silence",
        "and could reach it",
        lambda: make_run(
            PUBLISHED,
            probes("d0", IN_TIME),
            probes("d1", {22_300: 3}),
            link_fault(500, 12_050, {"origin": ["d1"], "target": SERVERS, "silent": True}),
        ),
    ),
    (
        "5: lost",
        "p3 was acknowledged as version 3 and is lost: s0 has nothing there",
        lambda: make_run(PUBLISHED, probes_at_both(IN_TIME), ids=["p1", "p2"]),
    ),
    (
        "5: lost and its number given again",
        "s0 has p4 there",
        lambda: make_run(
            PUBLISHED, publish_unacknowledged(4000, 4, False), probes_at_both(IN_TIME), ids=["p1", "p2", "p4"]
        ),
    ),
    (
        "5: one number for two publications",
        "s0 lists version 3 as p3",
        lambda: make_run(
            PUBLISHED,
            publish_unacknowledged(4000, 4, False),
            probes_at_both(IN_TIME),
            list_versions(5000, ["p1", "p2", "p4"], False, "s1"),
        ),
    ),
    (
        "5: a lower number later",
        "p3 is version 2 and began when p2 was acknowledged as 3",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 3),
            publish(3000, 3, 2),
            probes_at_both(IN_TIME),
            ids=["p1", "p3", "p2"],
        ),
    ),
    (
        "5: twice under one id",
        "p1 was committed twice: versions [1, 3]",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            probes_at_both({1200: 1, 2200: 2}),
            ids=["p1", "p2", "p1"],
        ),
    ),
    (
        "5: two answers under one id",
        "p3 was acknowledged as version 3 and as 4",
        lambda: make_run(
            PUBLISHED,
            probes_at_both(IN_TIME),
            [event_at(3500, "p", "answer", ["p3", "s1", True, 4, "", True])],
        ),
    ),
    (
        "5: two with the same expected version committed",
        "p2 and p3 expected version 1, and all were committed",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2, expect=1),
            publish(2001, 3, 3, expect=1),
            probes_at_both(IN_TIME),
        ),
    ),
    (
        "5: the expected version is ignored",
        "p3 expected version 1 and follows 2",
        lambda: make_run(
            publish(1000, 1, 1), publish(2000, 2, 2), publish(3000, 3, 3, expect=1), probes_at_both(IN_TIME)
        ),
    ),
    (
        "5: rejected and committed",
        "p3 was rejected (refused) and is version 3",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            publish_unacknowledged(3000, 3, True),
            probes_at_both(IN_TIME),
        ),
    ),
    (
        "6: a body that checks reject is active",
        "d0 applied p3, which must be rejected",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            publish(3000, 3, 3, "refusable"),
            probes("d0", IN_TIME),
            probes("d1", {1200: 1, 2200: 2}),
        ),
    ),
    (
        "6: not reported",
        f"d0 did not report in time that version 3 is rejected for {KEY}",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            publish(3000, 3, 3, "refusable"),
            probes_at_both({1200: 1, 2200: 2}),
        ),
    ),
    (
        "6: reported without its key",
        f"d0 did not report in time that version 3 is rejected for {KEY}",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            publish(3000, 3, 3, "refusable"),
            probes_at_both({1200: 1, 2200: 2}),
            [event_at(3200, "d0", "log", "config: version 3 rejected: bad")],
        ),
    ),
    (
        "6: a server accepts a body that it must reject",
        "s0 accepted p3, whose settings.Limits.MaxHandOffs servers must reject",
        lambda: make_run(
            publish(1000, 1, 1),
            publish(2000, 2, 2),
            publish(3000, 3, 3, "unacceptable"),
            probes_at_both({1200: 1, 2200: 2}),
        ),
    ),
    (
        "a server serves with an emptied folder",
        "s1 serves with an empty folder",
        lambda: make_run(PUBLISHED, probes_at_both(IN_TIME), [event_at(5000, "rig", "serves empty", "s1")]),
    ),
    (
        "a dispatcher answers nobody",
        "d1 runs and answers nobody for 6",
        lambda: make_run(PUBLISHED, probes("d0", IN_TIME), probes("d1", IN_TIME, (20_000, 26_000))),
    ),
    (
        "the admin address is wrong",
        "d0 claims version 3, clients saw [1] before and [1] after",
        lambda: make_run(
            PUBLISHED,
            probes_at_both(IN_TIME),
            [event_at(1510, "prober", "door", ["d0", 1_508 * MILLISECOND, "+OK version 3 applied"])],
        ),
    ),
]
