"""Validation of endpoint lists from discovery."""

import pytest

from ploverspoke.protocol.discovery import read_endpoint_list
from ploverspoke.protocol.errors import EndpointListError


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"version":1,"full":true,"servers":[3]}',
        b'{"version":1,"full":true,"servers":[{"id":1,"addr":""}]}',
        b'{"version":1,"full":true,"servers":[{"id":"a","addr":"x","weight":"much"}]}',
        b'{"version":1,"full":true,"servers":[{"id":"a","addr":"x","started_ms":Infinity}]}',
        b'{"version":"1","full":true,"servers":[]}',
    ],
)
def test_a_document_that_is_no_endpoint_list_is_refused(body: bytes) -> None:
    with pytest.raises(EndpointListError):
        read_endpoint_list(body)
