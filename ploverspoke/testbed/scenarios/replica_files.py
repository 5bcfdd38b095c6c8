"""What the files of replicas have in common: the cluster's secret, and how replicas reach each other."""

from collections.abc import Iterable
from pathlib import Path

from ..processes.addresses import ProcessAddress

SECRET = "a secret of the testbed's own"


def write_secret(folder: Path) -> None:
    """Write the file that configurations in this folder name as `secret_file`."""
    (folder / "secret").write_text(SECRET)


def proxied_replicas(addresses: Iterable[ProcessAddress]) -> dict[str, dict[str, str]]:
    """Return the table of replicas of a configuration, all reached through the proxy."""
    return {
        address.name: {port: address.proxied_endpoint(port) for port in ("peers", "clients")}
        for address in addresses
    }
