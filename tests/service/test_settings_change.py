"""Settings that change while serving: valid ones apply to later requests, invalid ones change nothing."""

import asyncio
import copy
import json
import random
from collections.abc import Callable
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
from tests.routing.admin_client import admin_counters
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.worker_behaviours import reject_unstarted

Document = dict[str, Any]

CLASSES: list[Document] = SETTINGS["ServiceGrades"]


def settings(*classes: Document, **limits: Any) -> Document:
    document = copy.deepcopy(SETTINGS)
    document["ServiceGrades"] = copy.deepcopy(list(classes or CLASSES))
    document["Limits"] |= limits
    return document


def test_each_number_stands_for_one_class_under_one_set_of_rules() -> None:
    random_numbers, letters = random.Random(3), "abcdef"
    current = parse_settings(settings(*({**CLASSES[0], "Name": letter} for letter in letters)))
    values = {field.name: getattr(current, field.name) for field in fields(current)}
    per_class = {key for key, row in values.items() if isinstance(row, tuple) and len(row) == len(letters)}
    assert per_class == {"classes", "active_classes"}, "a value for each class that is not renumbered"
    current = parse_settings(settings())
    table, open_classes = RequestClassTable(["look", "book"]), list[tuple[int, RequestClass]]()
    for _ in range(200):
        classes = [
            {**CLASSES[random_numbers.randrange(2)], "Name": name}
            for name in random_numbers.sample(["look", "book", *letters], random_numbers.randrange(1, 5))
        ]
        document = settings(*classes, MaxHandOffs=random_numbers.randrange(1, 3))
        new = parse_settings(document)
        names = parse_names(document).request_classes
        current, replaced = table.apply(current, new, names, {number for number, _ in open_classes})
        assert tuple(table.numbers) == names
        assert tuple(sorted(table.numbers.values())) == current.active_classes
        for index, name in enumerate(names):
            number = table.numbers[name]
            assert table.names[number] == name
            assert current.classes[number] == new.classes[index]
            open_classes.append((number, current.classes[number]))
        # Open requests keep the settings of the class under which they were admitted.
        open_classes = random_numbers.sample(open_classes, min(len(open_classes), 6))
        assert all(current.classes[number] == kept for number, kept in open_classes)
        assert all(table.names[newer] == table.names[older] for newer, older in replaced.items())
    assert len(table.names) < 25, "numbers are reused"


def test_open_request_keeps_its_attempts_and_its_idempotency() -> None:
    harness = DispatchHarness([endpoint(name) for name in "abcdefgh"])
    harness.send_request(0)
    fewer = replace(harness.settings.classes[2], max_attempts=1)
    changed = replace(harness.settings, active_classes=(3,), classes=(*harness.settings.classes, fewer))
    harness.dispatcher.settings_changed(changed, {3: 0})
    context = harness.dispatcher.components.context
    assert (
        context.highest_weight == harness.settings.classes[2].priority_weight and not context.any_idempotent
    )
    assert context.required_machine_kinds == {1}
    for spent in range(1, 4):
        assert harness.dispatcher.open_requests[0].attempts == spent
        harness.end_attempt(0, AttemptOutcome.FULL)
        harness.advance(100 * MS)
    assert harness.dispatcher.open_requests[0].attempts == 4


Corruption = Callable[
    [Document], Document | str
]  # changes a valid document in place, or returns a text that replaces it


def first_class(document: Document, **values: Any) -> Document:
    document["settings"]["ServiceGrades"][0].update(values)
    return document


def without_setting(document: Document, section: str, key: str) -> Document:
    del document["settings"][section][key]
    return document


def without_key_of_a_class(document: Document) -> Document:
    del document["settings"]["ServiceGrades"][1]["Repeat"]
    return document


def with_settings(document: Document, section: str, **values: Any) -> Document:
    document["settings"][section].update(values)
    return document


def with_classes(document: Document, classes: list[Document]) -> Document:
    document["settings"]["ServiceGrades"] = classes
    return document


INVALID_DOCUMENTS: dict[str, Corruption] = {
    "empty": lambda document: "",
    "cut": lambda document: json.dumps(document)[: len(json.dumps(document)) // 2],
    "no object": lambda document: "[]",
    "no settings": lambda document: {key: value for key, value in document.items() if key != "settings"},
    "no key": lambda document: without_setting(document, "Limits", "MaxHandOffs"),
    "no key of a class": without_key_of_a_class,
    "no class": lambda document: with_classes(document, []),
    "a class twice": lambda document: with_classes(
        document, [*document["settings"]["ServiceGrades"], CLASSES[1]]
    ),
    "no deadline": lambda document: first_class(document, AbandonTimeUs=0),
    "below 0": lambda document: first_class(document, ExpectedTimeUs=-5),
    "no attempt": lambda document: with_settings(document, "Limits", MaxHandOffs=0),
    "lengths": lambda document: with_settings(document, "Domain", ClassPriority=[1, 2, 3]),
}


@pytest.mark.parametrize("corrupt", INVALID_DOCUMENTS.values(), ids=INVALID_DOCUMENTS.keys())
def test_unusable_file_changes_nothing_and_is_counted(corrupt: Corruption, tmp_path: Path) -> None:
    path = tmp_path / "config.json"

    async def script(harness: ServiceHarness) -> None:
        service = harness.service
        base: Document = {
            "listen": f"127.0.0.1:{harness.port}",
            "discovery": "127.0.0.1:9",
            "settings": settings(),
            "admin_addr": f"127.0.0.1:{harness.admin_port}",
        }
        service.load_config = lambda: read_config({"RELAY_CONFIG": str(path)})
        service.config = service.config._replace(document=base, discovery="127.0.0.1:9")
        before = (
            service.config,
            service.router.settings,
            dict(service.router.active_settings.classes.numbers),
        )
        document = copy.deepcopy(base)
        document["settings"] = settings({**CLASSES[0], "Name": "other"}, CLASSES[1])
        document["discovery"] = "127.0.0.1:10"
        unusable = corrupt(document)
        path.write_text(unusable if isinstance(unusable, str) else json.dumps(unusable))
        service._reload_config()
        assert (
            service.config,
            service.router.settings,
            service.router.active_settings.classes.numbers,
        ) == before
        counters = await admin_counters(harness)
        assert counters["dispatcher_cfg_invalid"] == 1 and counters["dispatcher_cfg_accepted"] == 0

    run_script(script)


def test_new_settings_apply_to_later_requests_and_not_to_earlier_ones(tmp_path: Path) -> None:
    path = tmp_path / "config.json"

    async def script(harness: ServiceHarness) -> None:
        service = harness.service
        base = {"listen": f"127.0.0.1:{harness.port}", "discovery": service.config.discovery}
        environment = {"RELAY_CONFIG": str(path), "RELAY_ADMIN_ADDR": "127.0.0.1:1"}
        service.load_config = lambda: read_config(environment)

        def reload(content: str | Document) -> None:
            path.write_text(
                content if isinstance(content, str) else json.dumps({**base, "settings": content})
            )
            service._reload_config()

        reload(settings({**CLASSES[0], "AbandonTimeUs": 700_000}, CLASSES[1]))
        for index in range(6):
            assert (await harness.exchange(harness.request(f"r{index}", "look")))[0] == 200
        number = service.router.active_settings.classes.numbers["look"]
        assert service.router.settings.classes[number].deadline == 700 * MS

        async def reject_late(*exchange: Any) -> None:
            await asyncio.sleep(0.1)
            await reject_unstarted(*exchange)

        harness.behaviours = {"w0": reject_late, "w1": reject_late}
        earlier = asyncio.create_task(harness.exchange(harness.request("earlier", "look")))
        await asyncio.sleep(0.03)
        reload(settings(CLASSES[1], {**CLASSES[0], "Name": "next", "Repeat": "single_shot"}, MaxHandOffs=1))
        reload("{")
        assert (await harness.exchange(harness.request("later", "next")))[0] == 503
        assert (await harness.exchange(harness.request("dropped", "look")))[0] == 404
        assert (await earlier)[0] == 503
        attempts = [request_id for _, request_id in harness.sent]
        assert attempts.count("later") <= 1 < attempts.count("earlier") <= 6
        counters = await admin_counters(harness)
        assert counters["dispatcher_cfg_accepted"] == 2 and counters["dispatcher_cfg_invalid"] == 1

    run_script(script)
