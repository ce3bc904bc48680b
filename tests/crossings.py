"""A whole router on real loopback sockets, stepped by the test, and the table of what ends against what may come.

The reactor is Twisted's own, but the test calls its two halves, timers and reads, and moves its clock: after a
pause of the process timers run before reads, and here the pause is one line. Whose readiness is handled first,
and a dial that is not answered yet, are made the same way. What comes is real: bytes, FIN, reset, full buffers.
"""

import fcntl
import json
import select
import socket
import struct
import termios

import pytest
from fleet import answer, answers, configuration, endpoint, members, message
from scenes import BEGAN, Out
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.tcp import Client as Outgoing
from twisted.internet.tcp import Server as Incoming

from hookrouter.front import Listener
from hookrouter.log import Log
from hookrouter.node.counters import Counters
from hookrouter.node.router import RESERVED_DESCRIPTORS, Router
from hookrouter.node.service import Service
from hookrouter.node.start import read_start

LOCAL = "127.0.0.1"
MOST_STEPS = 2_000  # until something holds that has to
CACHES, CLIENTS = (Outgoing, Incoming), (Incoming, Outgoing)  # whose readiness is handled first
ATTEMPT = 3.2  # seconds: the deadline of a first attempt of the tests' settings is over
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets
CALL = "c" * 16  # the trace of the call that crosses something
FILLER = message(90, b"interrupt", interrupted=10**6)  # owed nothing: no such call was made
EVENTS = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n"
FIRST = pytest.mark.parametrize("first", [CACHES, CLIENTS], ids=["caches first", "clients first"])


class Poller:
    """An epoll whose events come in the test's order; a dial to a held port is not answered yet."""

    def __init__(self, epoll, reactor):
        self.epoll, self.reactor = epoll, reactor
        self.register, self.modify, self.unregister = epoll.register, epoll.modify, epoll.unregister

    def poll(self, timeout, most):
        known = self.reactor._selectables
        events = [
            (fd, event) for fd, event in self.epoll.poll(timeout, max(1, most)) if not self._held(known[fd])
        ]
        first = self.reactor.first
        return sorted(
            events,
            key=lambda event: (
                first.index(type(known[event[0]])) if type(known[event[0]]) in first else 9,
                event[0],
            ),
        )

    def _held(self, one):
        return isinstance(one, Outgoing) and not one.connected and one.addr[1] in self.reactor.held_ports


class Reactor(EPollReactor):
    def __init__(self):
        super().__init__()
        self.now, self.first, self.held_ports, self.stops = 0.0, CACHES, set(), 0
        self._poller = Poller(self._poller, self)

    def seconds(self):
        return self.now

    def stop(self):
        self.stops += 1

    def close(self):
        for one in [*self._selectables.values()]:
            if one is not self.waker:
                one.stopReading(), one.stopWriting()
                if getattr(one, "socket", None) is not None:
                    one.socket.close()
        self.waker.connectionLost(None)
        self._poller.epoll.close()


class Peer:
    """One end of a connection that the test holds: what came is kept, and how it ended."""

    def __init__(self, sock):
        self.socket, self.got, self.end, self.pending, self.answered = sock, b"", None, 0, 0
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is sent is not held back

    def send(self, data):
        self.socket.setblocking(True)
        self.socket.settimeout(5)
        self.socket.sendall(data)
        self.socket.setblocking(False)
        self.pending += len(data)

    def fin(self):
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()

    def read(self):
        while self.end is None and self.socket.fileno() >= 0:
            try:
                piece = self.socket.recv(65536)
            except BlockingIOError:
                break
            except ConnectionResetError:
                self.end = "reset"
                break
            self.got += piece
            self.end = None if piece else "fin"
        return self.got

    def answers(self):
        return answers(self.read())

    def body(self, seqid):
        """Of a satisfied answer; None where it is another one."""
        return self.answers()[seqid][1].get(0, {}).get(1)

    def ended_cleanly(self):
        """A FIN came, and no reset after it: that one shows as both halves being shut, and in the next write."""
        self.read()
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return self.end == "fin" and not any(
            event & (select.POLLHUP | select.POLLERR) for _, event in poll.poll(0)
        )


class StandIn:
    """A listening socket; connections are accepted, read and written by the test alone."""

    def __init__(self, port=0):
        self.socket = socket.create_server((LOCAL, port), backlog=64)
        self.socket.setblocking(False)
        self.port, self.peers = self.socket.getsockname()[1], []

    def look(self):
        while self.socket.fileno() >= 0:
            try:
                self.peers.append(Peer(self.socket.accept()[0]))
            except BlockingIOError:
                break
        return b"".join(peer.read() for peer in self.peers)

    def close(self):
        self.socket.close()
        for peer in self.peers:
            peer.socket.close()


def sockets_for(caches):
    """The least limit of descriptors that leaves caches so many."""
    return next(n for n in range(4096) if n - n // 3 - RESERVED_DESCRIPTORS == caches)


class Machine:
    """The router, its caches, its feed and its clients. sections: of the start. terms: of the settings."""

    def __init__(self, tmp_path, terms=None, kinds=None, **sections):
        self.reactor, self.out = Reactor(), Out()
        self.caches = {name: StandIn() for name in ("c0", "p0", "o0")}
        self.feed, self.clients, self.port = StandIn(), [], None
        sorts = {"c0": "box", "p0": "parent", "o0": "origin"}
        fleet = [endpoint(name, cache.port, sorts[name]) for name, cache in self.caches.items()]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    members(1, *fleet, whole=True), listen=f"{LOCAL}:1", feed=f"{LOCAL}:{self.feed.port}"
                )
            )
        )
        start = read_start({"EDGE_CONFIG": str(path)})
        told = tuple(kind._replace(**(kinds or {}).get(kind.name, {})) for kind in start.terms.kinds)
        self.start = start._replace(terms=start.terms._replace(kinds=told, **(terms or {})), **sections)
        self.counters = Counters([kind.name for kind in self.start.terms.kinds])
        self.log = Log(self.reactor.seconds, self.out)
        self.router = Router(
            self.start, self.reactor, self.log, self.counters, lambda: BEGAN + self.reactor.now
        )
        self.port = Listener(0, self.router.front, 64, LOCAL, self.reactor)
        self.port.startListening()
        self.listens = self.port.getHost().port
        self.router.front.port = self.port

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for one in (*self.caches.values(), self.feed):
            one.close()
        for client in self.clients:
            client.socket.close()
        self.reactor.close()

    # ---- the halves of a turn, and time

    def timers(self):
        self.reactor.runUntilCurrent()

    def reads(self):
        """And writes: what is ready, once."""
        self.reactor.doIteration(0)
        for client in self.clients:
            client.pending = 0

    def turn(self):
        self.timers()
        self.reads()

    def turns(self, count=20):
        for _ in range(count):
            self.turn()

    def until(self, holds, within=0.0):
        """Turns until it holds; time goes on meanwhile only where it says within how much."""
        end = self.reactor.now + within
        for _ in range(MOST_STEPS):
            if holds():
                return
            assert not within or self.reactor.now < end, "it took too long"
            self.reactor.now = min(end, self.reactor.now + 0.01)
            self.turn()
            select.select(
                [self.reactor._poller.epoll], [], [], 0.002
            )  # back at once where something is ready
        raise AssertionError("it never came to this")

    def pause(self, seconds):
        """The process stands still: time goes on, and nothing runs."""
        self.reactor.now += seconds

    def advance(self, seconds, pace=0.02):
        """Time goes on, and the process with it."""
        end = self.reactor.now + seconds
        while self.reactor.now < end:
            self.reactor.now = min(end, self.reactor.now + pace)
            self.turns(3)

    # ---- clients and caches

    def client(self, rcvbuf=None, within=0.0):
        """One that is accepted; within so much time."""
        sock = socket.socket()
        if rcvbuf is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        sock.connect((LOCAL, self.listens))
        client = Peer(sock)
        client.name, client.transport = sock.getsockname(), None
        self.clients.append(client)
        self.until(lambda: self._joined(client), within)
        return client

    def _joined(self, client):
        for one in list(self.reactor._selectables.values()):
            if isinstance(one, Incoming) and one.client == client.name:
                client.transport = one
        return client.transport is not None

    def lies_unread(self, client, end=False):
        """Waits for the machine: what was sent since the last reads lies in the router's socket, or its end does."""
        sock, poll = client.transport.socket, select.poll()
        poll.register(sock, select.POLLRDHUP)
        for _ in range(MOST_STEPS):
            held = struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, b"\0" * 4))[0]
            if held >= client.pending and (not end or poll.poll(0)):
                return
            poll.poll(1)
        raise AssertionError("it never arrived")

    def ends(self, client, how, seqid=8, behind=0):
        """The client's end, which lies unread in the router's socket, behind so much that it takes as many reads more."""
        if behind:
            client.transport.bufferSize = len(FILLER)
            client.send(FILLER * behind)
        if how == "interrupt":
            client.send(message(seqid + 1, b"interrupt", interrupted=seqid))
        else:
            getattr(client, how)()
        self.lies_unread(client, end=how != "interrupt")

    def warm(self, *fields):
        """A client that has had an answer by way of two attempts, and idle connections to cache and parent.

        fields: of the cache's answer, which may close its connection.
        """
        client = self.client()
        client.send(message(1, ref="0" * 16))
        self.answer(b"", *fields, status=500)
        self.answer(b"warm")
        self.until(lambda: 1 in client.answers())
        self.advance(0.2)
        return client

    def asked(self, ref=None):
        """Attempts that reached a cache, by name, also where only their first bytes did."""
        word = b"GET /fetch" if ref is None else b"X-Trace: " + ref.encode()
        return [name for name, cache in self.caches.items() for _ in range(cache.look().count(word))]

    def asking(self):
        """The connections on which a request came that is not answered."""
        for cache in self.caches.values():
            cache.look()
        return [
            peer
            for cache in self.caches.values()
            for peer in cache.peers
            if peer.end is None and peer.socket.fileno() >= 0 and peer.got.count(b"\r\n\r\n") > peer.answered
        ]

    def answer(self, body, *fields, status=200):
        self.until(self.asking)
        peer = self.asking()[0]
        peer.answered += 1
        peer.send(answer(status, body, *fields))
        return peer

    def held(self):
        return self.router.gauges()

    def nothing_is_owed(self):
        held = self.held()
        assert [held[name] for name in ("lookups_held", "sends_out", "sends_waiting")] == [0, 0, 0]

    def service(self, read=None):
        service = Service(self.router, self.start, self.reactor, self.log, self.counters, read)
        service.port = self.port
        return service

    # ---- the watch

    def follow(self):
        """The watch begins, and is up: the feed's end of it."""
        self.router.feed.start()
        return self.followed(self.feed, 0)

    def followed(self, feed, known, within=0.0):
        """The connection at the feed after so many others, which has asked for its events; within so much time."""

        def asked():
            feed.look()
            return len(feed.peers) > known and b"\r\n\r\n" in feed.peers[known].got

        self.until(asked, within)
        feed.peers[known].send(EVENTS)
        self.turns()
        return feed.peers[known]


def event(told):
    return b"id: %d\ndata: %s\n\n" % (told["n"], json.dumps(told).encode())
