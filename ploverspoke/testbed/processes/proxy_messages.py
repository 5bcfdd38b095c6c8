"""Messages between the rig and its TCP proxy, as JSON lines in both directions, and the proxy's settings."""

import msgspec

from .link_faults import LinkCounters, LinkFault


class ProxiedProcess(msgspec.Struct):
    """One process as the proxy knows it."""

    name: str
    host: str  # the process's own
    proxy_host: str  # at which the proxy listens in place of the process
    stream_ports: list[int] = []
    datagram_ports: list[int] = []


class ProxySpec(msgspec.Struct):
    """The file from which the proxy starts."""

    seed: int
    processes: list[ProxiedProcess]


class AddLinkFault(msgspec.Struct, tag="add"):
    """Activate a fault, until it is removed by its number."""

    number: int
    fault: LinkFault


class RemoveLinkFault(msgspec.Struct, tag="remove"):
    """Deactivate a fault."""

    number: int


class ResetConnections(msgspec.Struct, tag="reset"):
    """Reset the connections whose origin and target the fault covers."""

    fault: LinkFault


class ReadCounters(msgspec.Struct, tag="counters"):
    """Ask for the counters, without a change."""

    by_link: bool = False  # whether to add the bytes of each link


ProxyRequest = AddLinkFault | RemoveLinkFault | ResetConnections | ReadCounters


class ProxyReady(msgspec.Struct):
    """The proxy's first message, once it listens."""

    processes: int  # how many it has


class ProxyCounters(msgspec.Struct):
    """The proxy's answer to each request, after it was carried out."""

    links: LinkCounters = LinkCounters()
    open_streams: int = 0
    accepted_connections: int = 0
    unknown_datagrams: int = 0  # from an address that belongs to no process
    bytes_by_link: dict[str, int] = {}  # by "origin>target"; only if it was asked for
