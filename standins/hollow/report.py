"""Reports of a process of hollow routers or of a counted real router: one JSON object a line.

Counts are cumulative since the start of the process. Bytes are those that the operating system accepted from
a socket's writer or delivered to its reader: the payload of TCP and UDP, without headers of IP, TCP, UDP or
the link layer. A message is a datagram; a frame of a stream between members; or a request, a response or an
event (including the comments that keep a feed open) of HTTP.
"""

import os

import msgspec

PAGE = os.sysconf("SC_PAGE_SIZE")  # bytes


class Flow(msgspec.Struct):
    """Messages and bytes in one direction."""

    messages: int = 0
    bytes: int = 0

    def add(self, messages: int, size: int) -> None:
        """Adds messages of size bytes in total."""
        self.messages += messages
        self.bytes += size


class Exchanged(msgspec.Struct):
    """One kind of message, sent and received; "out" and "in" in JSON."""

    out: Flow = msgspec.field(default_factory=Flow)
    received: Flow = msgspec.field(name="in", default_factory=Flow)


class Traffic(msgspec.Struct):
    """Control traffic by kind.

    view: datagrams of the membership view, and refused ones. sharing: datagrams of sharing, and streams that
    are not to a keeper: lists lent and borrowed. keeper_stream: streams to keepers: renewals of duty leases,
    commands. purge_feed: the stream from desk or relay, and the calls that renew the purge lease and
    acknowledge positions.
    """

    view: Exchanged = msgspec.field(default_factory=Exchanged)
    purge_feed: Exchanged = msgspec.field(default_factory=Exchanged)
    keeper_stream: Exchanged = msgspec.field(default_factory=Exchanged)
    sharing: Exchanged = msgspec.field(default_factory=Exchanged)

    def include(self, other: "Traffic") -> None:
        """Adds all of another's counts."""
        for kind in self.__struct_fields__:
            mine, theirs = getattr(self, kind), getattr(other, kind)
            mine.out.add(theirs.out.messages, theirs.out.bytes)
            mine.received.add(theirs.received.messages, theirs.received.bytes)


class Position(msgspec.Struct, frozen=True):
    """The position of the newest purge that was applied."""

    epoch: int
    n: int


class RouterReport(msgspec.Struct):
    """One router. Values that cannot be observed from outside a counted real router are null."""

    name: str
    traffic: Traffic
    newest_purge: Position | None = None
    lease: str | None = (
        None  # "joining", "current", "fenced" (hookrouter.purges.fence), "off" without [purges]
    )
    members_alive: int | None = None  # in its view, itself among them
    purges_received: int | None = None


class Report(msgspec.Struct):
    """One line. reactor_lag_s: largest delay of a 50 ms timer since the last report; large if starved."""

    time: float  # Unix seconds
    reactor_lag_s: float
    cpu_user_s: float  # of the process, since its start
    cpu_system_s: float
    resident_bytes: int
    traffic: Traffic  # of all routers of the process
    routers: list[RouterReport]


def resident_bytes() -> int:
    """Returns the resident memory of this process, from /proc/self/statm."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE


def summed(routers: list[RouterReport]) -> Traffic:
    """Returns the total traffic of all routers."""
    total = Traffic()
    for router in routers:
        total.include(router.traffic)
    return total
