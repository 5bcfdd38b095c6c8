"""Malformed messages of holders."""

import pytest

from ploverspoke.leases.errors import LeaseMessageError
from ploverspoke.leases.messages import parse_request


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {"n": 1},
        {"n": True, "want": [], "release": []},
        {"n": 1 << 63, "want": [], "release": []},
        {"n": 1, "want": [["a", 1, 2]], "release": []},
        {"n": 1, "want": [["a", 1, 2, -1]], "release": []},
        {"n": 1, "want": [], "release": [["a", 1, 2]]},
    ],
)
def test_malformed_request_is_rejected(message: object) -> None:
    with pytest.raises(LeaseMessageError):
        parse_request(message)
