"""Counts control traffic at the sockets that a reactor makes; no code of the program is changed for it.

Methods of single objects are wrapped: a datagram port's write, a connection's writeSomeData (where Twisted
learns how much the socket took) and a protocol's dataReceived. What is not control (clients, caches, the
platform's feed) is left as it is.
"""

from collections.abc import Collection
from typing import Any

from hookrouter.feed import follower, http_client
from hookrouter.feed.purges import PurgeFeed
from hookrouter.fleet.wire.datagrams import Datagrams
from hookrouter.fleet.wire.post import Post
from hookrouter.fleet.wire.streams import Stream

from .meters import FrameMeter, HttpMeter, MessageMeter
from .report import Exchanged, Flow, Traffic


class RouterReactor:
    """The process's reactor as one router of many sees it; methods set on it hide the shared reactor's."""

    def __init__(self, reactor: Any) -> None:
        """reactor: the one that all share."""
        self._reactor = reactor
        self.callLater, self.seconds = reactor.callLater, reactor.seconds

    def __getattr__(self, name: str) -> Any:
        """All else is the shared reactor's."""
        return getattr(self._reactor, name)


class SocketCounter:
    """Counts what passes over sockets that one reactor makes from now on."""

    def __init__(self, reactor: Any, traffic: Traffic, keepers: Collection[str]) -> None:
        """traffic: where it is counted; keepers: names of those whose streams are of their own kind."""
        self.traffic, self.keepers = traffic, frozenset(keepers)
        self._connect, reactor.connectTCP = reactor.connectTCP, self._connect_tcp
        self._listen, reactor.listenTCP = reactor.listenTCP, self._listen_tcp
        self._listen_datagrams, reactor.listenUDP = reactor.listenUDP, self._listen_udp

    def _connect_tcp(self, host: str, port: int, factory: Any, *rest: Any, **named: Any) -> Any:
        self._count_made_by(factory)
        return self._connect(host, port, factory, *rest, **named)

    def _listen_tcp(self, port: int, factory: Any, *rest: Any, **named: Any) -> Any:
        self._count_made_by(factory)
        return self._listen(port, factory, *rest, **named)

    def _listen_udp(self, port: int, protocol: Any, *rest: Any, **named: Any) -> Any:
        made = self._listen_datagrams(port, protocol, *rest, **named)
        if isinstance(protocol, Datagrams):
            DatagramCounter(protocol, made, self.traffic)
        return made

    def _count_made_by(self, factory: Any) -> None:
        build = factory.buildProtocol

        def counted(address: Any) -> Any:
            protocol = build(address)
            if protocol is not None:
                self._count(protocol)
            return protocol

        factory.buildProtocol = counted

    def _count(self, protocol: Any) -> None:
        inner = getattr(protocol, "_wrappedProtocol", protocol)  # endpoints wrap what they connect
        if isinstance(inner, Stream):
            kind = self.traffic.keeper_stream if inner.name in self.keepers else self.traffic.sharing
            count_connection(protocol, kind, FrameMeter(), FrameMeter())
        elif is_purge_feed(inner):
            count_connection(protocol, self.traffic.purge_feed, HttpMeter(), HttpMeter())


def is_purge_feed(protocol: Any) -> bool:
    """Whether it follows purges, or renews the lease on them."""
    if isinstance(protocol, follower.Stream):
        return isinstance(protocol.feed, PurgeFeed)
    return isinstance(protocol, http_client.Connection)


def count_connection(protocol: Any, kind: Exchanged, sent: MessageMeter, received: MessageMeter) -> None:
    """Counts both directions of a connection, from before its first byte on."""
    connect, take = protocol.makeConnection, protocol.dataReceived

    def connected(transport: Any) -> None:
        count_written(transport, kind.out, sent)
        connect(transport)

    def came(data: bytes) -> None:
        kind.received.add(received.feed(data), len(data))
        take(data)

    protocol.makeConnection, protocol.dataReceived = connected, came


def count_written(transport: Any, flow: Flow, meter: MessageMeter) -> None:
    """Counts what the socket below a transport took."""
    write = transport.writeSomeData

    def wrote(data: bytes) -> Any:
        taken = write(data)
        if isinstance(taken, int) and taken > 0:
            flow.add(meter.feed(bytes(data[:taken])), taken)
        return taken

    transport.writeSomeData = wrote


class DatagramCounter:
    """Counts the datagrams of one member: a Post is sharing's, all else the view's."""

    def __init__(self, datagrams: Datagrams, port: Any, traffic: Traffic) -> None:
        """port: over which it sends."""
        self.traffic = traffic
        self.out = self.received = traffic.view  # the kind of the one that passes now
        self._send, datagrams.send = datagrams.send, self._sending
        self._write, port.write = port.write, self._written
        self._take, datagrams.datagramReceived = datagrams.datagramReceived, self._came
        self._heard, datagrams.heard = datagrams.heard, self._understood

    def _kind(self, message: Any) -> Exchanged:
        return self.traffic.sharing if isinstance(message, Post) else self.traffic.view

    def _sending(self, life: int, receiver: str, address: Any, message: Any) -> None:
        self.out = self._kind(message)
        self._send(life, receiver, address, message)

    def _written(self, data: bytes, address: Any = None) -> Any:
        written = self._write(data, address)  # an OSError is the sender's to see, and counts as nothing
        self.out.out.add(1, len(data))
        return written

    def _understood(self, sender: str, life: int, address: Any, message: Any) -> None:
        self.received = self._kind(message)
        self._heard(sender, life, address, message)

    def _came(self, data: bytes, address: Any) -> None:
        self.received = self.traffic.view  # until it is understood
        self._take(data, address)
        self.received.received.add(1, len(data))
