"""Counts control traffic at the sockets that a reactor creates, without changes to the program.

Methods of individual objects are wrapped: a datagram port's write, a connection's writeSomeData (whose result
is the number of bytes that the socket accepted) and a protocol's dataReceived. Other traffic (clients,
caches, the platform's feed) is not counted.
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
    """A view of the process's reactor for one router; methods set on it hide the shared reactor's."""

    def __init__(self, reactor: Any) -> None:
        """reactor: the shared one."""
        self._reactor = reactor
        self.callLater, self.seconds = reactor.callLater, reactor.seconds

    def __getattr__(self, name: str) -> Any:
        """Forwards all else to the shared reactor."""
        return getattr(self._reactor, name)


class SocketCounter:
    """Counts the traffic of sockets that a reactor creates from now on."""

    def __init__(self, reactor: Any, traffic: Traffic, keepers: Collection[str]) -> None:
        """traffic: the counters; keepers: names of the members whose streams count as keeper_stream."""
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
        inner = getattr(
            protocol, "_wrappedProtocol", protocol
        )  # endpoints wrap the protocol that they connect
        if isinstance(inner, Stream):
            kind = self.traffic.keeper_stream if inner.name in self.keepers else self.traffic.sharing
            count_connection(protocol, kind, FrameMeter(), FrameMeter())
        elif is_purge_feed(inner):
            count_connection(protocol, self.traffic.purge_feed, HttpMeter(), HttpMeter())


def is_purge_feed(protocol: Any) -> bool:
    """Whether a protocol follows purges or renews the purge lease."""
    if isinstance(protocol, follower.Stream):
        return isinstance(protocol.feed, PurgeFeed)
    return isinstance(protocol, http_client.Connection)


def count_connection(protocol: Any, kind: Exchanged, sent: MessageMeter, received: MessageMeter) -> None:
    """Counts both directions of a connection from its first byte on."""
    connect, take = protocol.makeConnection, protocol.dataReceived

    def connected(transport: Any) -> None:
        count_written(transport, kind.out, sent)
        connect(transport)

    def data_received(data: bytes) -> None:
        kind.received.add(received.feed(data), len(data))
        take(data)

    protocol.makeConnection, protocol.dataReceived = connected, data_received


def count_written(transport: Any, flow: Flow, meter: MessageMeter) -> None:
    """Counts the bytes that the socket of a transport accepted."""
    write = transport.writeSomeData

    def write_some_data(data: bytes) -> Any:
        taken = write(data)
        if isinstance(taken, int) and taken > 0:
            flow.add(meter.feed(bytes(data[:taken])), taken)
        return taken

    transport.writeSomeData = write_some_data


class DatagramCounter:
    """Counts the datagrams of one member: a Post as sharing, all others as view."""

    def __init__(self, datagrams: Datagrams, port: Any, traffic: Traffic) -> None:
        """port: the UDP port on which the member sends."""
        self.traffic = traffic
        self.out = self.received = traffic.view  # kind of the current datagram
        self._send, datagrams.send = datagrams.send, self._send_counted
        self._write, port.write = port.write, self._write_counted
        self._take, datagrams.datagramReceived = datagrams.datagramReceived, self._datagram_received
        self._heard, datagrams.on_message = datagrams.on_message, self._heard_counted

    def _kind(self, message: Any) -> Exchanged:
        return self.traffic.sharing if isinstance(message, Post) else self.traffic.view

    def _send_counted(self, life: int, receiver: str, address: Any, message: Any) -> None:
        self.out = self._kind(message)
        self._send(life, receiver, address, message)

    def _write_counted(self, data: bytes, address: Any = None) -> Any:
        written = self._write(data, address)  # an OSError is raised to the sender, and nothing is counted
        self.out.out.add(1, len(data))
        return written

    def _heard_counted(self, sender: str, life: int, address: Any, message: Any) -> None:
        self.received = self._kind(message)
        self._heard(sender, life, address, message)

    def _datagram_received(self, data: bytes, address: Any) -> None:
        self.received = self.traffic.view  # until it is decoded
        self._take(data, address)
        self.received.received.add(1, len(data))
