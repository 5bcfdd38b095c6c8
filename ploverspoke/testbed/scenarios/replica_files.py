"""Configuration that all replicas of a cluster share: its secret and the replicas' addresses."""

from collections.abc import Iterable
from pathlib import Path

from ..processes.addresses import ProcessAddress

SECRET = "a secret of the testbed's own"


def write_secret(folder: Path) -> None:
    """Write the file that configurations in this folder name as `secret_file`."""
    (folder / "secret").write_text(SECRET)


def proxied_replicas(addresses: Iterable[ProcessAddress]) -> dict[str, dict[str, str]]:
    """Return the `replicas` table of a configuration, with addresses at the proxy."""
    return {
        address.name: {port: address.proxied_endpoint(port) for port in ("peers", "clients")}
        for address in addresses
    }
