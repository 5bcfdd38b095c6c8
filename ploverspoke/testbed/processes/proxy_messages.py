"""Messages between the rig and its TCP proxy, JSON lines both ways, and the proxy's specification."""

import msgspec

from .link_faults import LinkCounters, LinkFault


class ProxiedProcess(msgspec.Struct):
    """One process as the proxy knows it."""

    name: str
    host: str  # its own
    proxy_host: str  # at which the proxy stands in front of it
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
    """Ask for the counters alone."""

    by_link: bool = False  # the bytes of each link, too


ProxyRequest = AddLinkFault | RemoveLinkFault | ResetConnections | ReadCounters


class ProxyReady(msgspec.Struct):
    """The proxy's first message: it listens."""

    processes: int


class ProxyCounters(msgspec.Struct):
    """The proxy's answer to each request, once that is done."""

    links: LinkCounters = LinkCounters()
    open_streams: int = 0
    accepted_connections: int = 0
    unknown_datagrams: int = 0  # from an address that belongs to no process
    bytes_by_link: dict[str, int] = {}  # by "origin>target"; only if it was asked for
