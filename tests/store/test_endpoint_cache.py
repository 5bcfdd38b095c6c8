"""The endpoint list that a replica saves outside its log."""

import json

from ploverspoke.protocol.discovery import EndpointListDocument
from ploverspoke.store.endpoint_cache import EndpointCache


def server_ids(endpoint_list: EndpointListDocument) -> list[object]:
    return [server["id"] for server in endpoint_list["servers"]]


def test_endpoints_are_merged_from_discovery_s_answers_and_go_on_after_a_restart() -> None:
    saved: list[EndpointListDocument] = []
    clock = [0.0]
    cache = EndpointCache(saved.append, None, lambda: clock[0])

    def answer(version: int, full: bool, *servers: tuple[str, str]) -> None:
        entries = [{"id": id_, "state": state} for id_, state in servers]
        cache.update(json.dumps({"version": version, "full": full, "servers": entries}).encode())

    answer(1, True, ("a", "Ready"), ("b", "Ready"))
    answer(2, False, ("b", "Gone"))
    assert len(saved) == 1, "not written at each change"
    clock[0] = 5.0
    answer(3, False, ("c", "Terminating"))
    assert saved[-1]["version"] == 3 and server_ids(saved[-1]) == ["a", "c"]
    # A restart resumes from the saved list; changes without a full list are not saved as one.
    for known, expected in ((saved[-1], ["a", "c"]), (None, None)):
        later: list[EndpointListDocument] = []
        restarted = EndpointCache(later.append, known, lambda: 9.0)
        restarted.update(b'{"version": 4, "full": false, "servers": []}')
        assert [server_ids(saved_list) for saved_list in later] == ([expected] if expected else [])
