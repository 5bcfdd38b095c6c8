"""Settings that change while serving: good ones bind what comes, bad ones change nothing."""

import asyncio
import copy
import json
import random
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.settings import RequestClass
from ploverspoke.routing.request_classes import RequestClassTable
from ploverspoke.service.config import read_config
from ploverspoke.service.settings import parse_names, parse_settings
from tests.decisions.harness import MS, SETTINGS, DispatchHarness, endpoint
from tests.routing.test_admin_server import figures
from tests.routing.test_service import World, play, turn_away

GRADES = SETTINGS["ServiceGrades"]


def settings(*grades: dict[str, Any], **limits: Any) -> dict[str, Any]:
    told = copy.deepcopy(SETTINGS)
    told["ServiceGrades"] = copy.deepcopy(list(grades or GRADES))
    told["Limits"] |= limits
    return told


def test_a_number_stands_for_one_grade_under_one_set_of_rules() -> None:
    rng, name = random.Random(3), "abcdef"
    current = parse_settings(settings(*({**GRADES[0], "Name": each} for each in name)))
    values = {field.name: getattr(current, field.name) for field in fields(current)}
    for_each = {key for key, row in values.items() if isinstance(row, tuple) and len(row) == len(name)}
    assert for_each == {"classes", "active_classes"}, "a value for each class that is not numbered anew"
    current = parse_settings(settings())
    rows, open_now = RequestClassTable(["look", "book"]), list[tuple[int, RequestClass]]()
    for _ in range(200):
        grades = [
            {**GRADES[rng.randrange(2)], "Name": each}
            for each in rng.sample(["look", "book", *name], rng.randrange(1, 5))
        ]
        told = settings(*grades, MaxHandOffs=rng.randrange(1, 3))
        new = parse_settings(told)
        listed = parse_names(told).request_classes
        current, takes_over = rows.apply(current, new, listed, {number for number, _ in open_now})
        assert tuple(rows.numbers) == listed
        assert tuple(sorted(rows.numbers.values())) == current.active_classes
        for place, each in enumerate(listed):
            number = rows.numbers[each]
            assert rows.names[number] == each
            assert current.classes[number] == new.classes[place]
            open_now.append((number, current.classes[number]))
        # Whatever is open keeps the rules that it was taken under.
        open_now = rng.sample(open_now, min(len(open_now), 6))
        assert all(current.classes[number] == kept for number, kept in open_now)
        assert all(rows.names[new] == rows.names[old] for new, old in takes_over.items())
    assert len(rows.names) < 25, "numbers are given out again"


def test_an_open_submission_keeps_its_hand_offs_and_its_repeat() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcdefgh"])
    harness.send_request(0)
    fewer = replace(harness.settings.classes[2], max_attempts=1)
    changed = replace(harness.settings, active_classes=(3,), classes=(*harness.settings.classes, fewer))
    harness.dispatcher.settings_changed(changed, {3: 0})
    assert (
        harness.dispatcher.highest_weight == harness.settings.classes[2].priority_weight
        and not harness.dispatcher.any_idempotent
    )
    assert harness.dispatcher.needed_kinds == {1}
    for spent in range(1, 4):
        assert harness.dispatcher.open_requests[0].attempts == spent
        harness.end_attempt(0, AttemptOutcome.FULL)
        harness.advance(100 * MS)
    assert harness.dispatcher.open_requests[0].attempts == 4


BAD: list[tuple[str, Any]] = [
    ("empty", lambda told: ""),
    ("cut", lambda told: json.dumps(told)[: len(json.dumps(told)) // 2]),
    ("no object", lambda told: "[]"),
    ("no settings", lambda told: {k: v for k, v in told.items() if k != "settings"}),
    ("no key", lambda told: told["settings"]["Limits"].pop("MaxHandOffs") and told),
    ("no key of a grade", lambda told: told["settings"]["ServiceGrades"][1].pop("Repeat") and told),
    ("no grade", lambda told: told["settings"].update(ServiceGrades=[]) or told),
    ("a grade twice", lambda told: told["settings"]["ServiceGrades"].append(GRADES[1]) or told),
    ("no deadline", lambda told: told["settings"]["ServiceGrades"][0].update(AbandonTimeUs=0) or told),
    ("below 0", lambda told: told["settings"]["ServiceGrades"][0].update(ExpectedTimeUs=-5) or told),
    ("no attempt", lambda told: told["settings"]["Limits"].update(MaxHandOffs=0) or told),
    ("lengths", lambda told: told["settings"]["Domain"].update(ClassPriority=[1, 2, 3]) or told),
]


@pytest.mark.parametrize("spoil", [spoil for _, spoil in BAD], ids=[name for name, _ in BAD])
def test_a_bad_file_changes_nothing_and_is_counted(spoil: Any, tmp_path: Path) -> None:
    path = tmp_path / "config.json"

    async def script(world: World) -> None:
        service = world.service
        base = {"listen": f"127.0.0.1:{world.port}", "discovery": "127.0.0.1:9", "settings": settings()}
        base["admin_addr"] = f"127.0.0.1:{world.admin_port}"
        service.read = lambda: read_config({"RELAY_CONFIG": str(path)})
        service.briefing = service.briefing._replace(document=base, discovery="127.0.0.1:9")
        before = (
            service.briefing,
            service.router.settings,
            dict(service.router.active_settings.classes.numbers),
        )
        bad = copy.deepcopy(base)
        bad["settings"] = settings({**GRADES[0], "Name": "other"}, GRADES[1])
        bad["discovery"] = "127.0.0.1:10"
        spoilt = spoil(bad)
        path.write_text(spoilt if isinstance(spoilt, str) else json.dumps(spoilt))
        service._read_again()
        assert (
            service.briefing,
            service.router.settings,
            service.router.active_settings.classes.numbers,
        ) == before
        shown = await figures(world)
        assert shown["dispatcher_cfg_invalid"] == 1 and shown["dispatcher_cfg_accepted"] == 0

    play(script)


def test_settings_change_under_load(tmp_path: Path) -> None:
    path = tmp_path / "config.json"

    async def script(world: World) -> None:
        service = world.service
        base = {"listen": f"127.0.0.1:{world.port}", "discovery": service.briefing.discovery}
        service.read = lambda: read_config({"RELAY_CONFIG": str(path), "RELAY_ADMIN_ADDR": "127.0.0.1:1"})

        def signalled(told: Any) -> None:
            path.write_text(told if isinstance(told, str) else json.dumps({**base, "settings": told}))
            service._read_again()

        signalled(settings({**GRADES[0], "AbandonTimeUs": 700_000}, GRADES[1]))
        for number in range(6):
            assert (await world.ask(world.request(f"r{number}", "look")))[0] == 200
        assert (
            service.router.settings.classes[service.router.active_settings.classes.numbers["look"]].deadline
            == 700 * MS
        )

        async def turn_away_late(*exchange: Any) -> None:
            await asyncio.sleep(0.1)
            await turn_away(*exchange)

        world.behave = {"w0": turn_away_late, "w1": turn_away_late}
        earlier = asyncio.create_task(world.ask(world.request("earlier", "look")))
        await asyncio.sleep(0.03)
        signalled(settings(GRADES[1], {**GRADES[0], "Name": "next", "Repeat": "single_shot"}, MaxHandOffs=1))
        signalled("{")
        assert (await world.ask(world.request("later", "next")))[0] == 503
        assert (await world.ask(world.request("dropped", "look")))[0] == 404
        assert (await earlier)[0] == 503
        sent = [request_id for _, request_id in world.sent]
        assert sent.count("later") <= 1 < sent.count("earlier") <= 6
        shown = await figures(world)
        assert shown["dispatcher_cfg_accepted"] == 2 and shown["dispatcher_cfg_invalid"] == 1

    play(script)
