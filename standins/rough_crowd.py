"""Clients that strain or break the client protocol, hundreds at once, from one thread; seeded.

python -m standins.rough_crowd PORT SIZE SECONDS SEED BEHAVIOUR...

A client whose connection is ended by the router comes back at once. The last line of the command is JSON.
"""

import json
import random
import select
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass

from .rough_behaviours import BEHAVIOURS, Step

LOOK_INTERVAL = 0.005  # seconds between looks at clients that wait
FOREVER = 3_600.0  # seconds: a connection without further steps waits for its end
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
RECEIVE_BUFFER = 4_096  # bytes: little of what a router writes lies in the system's buffers
READ_SIZE = 65_536
READING = "+read"  # behind a behaviour's name: the client reads its answers


@dataclass
class Outcome:
    """What became of a crowd."""

    connected: int = 0
    ended_by_router: int = 0
    written_bytes: int = 0
    read_bytes: int = 0


class RoughClient:
    """One client, which comes back when the router has ended its connection."""

    def __init__(self, crowd: "RoughCrowd", seed: int) -> None:
        """seed: of all its draws."""
        self.crowd, self.dice = crowd, random.Random(seed)
        self.connection = socket.socket()
        self.pending, self.ready_at, self.reads = b"", 0.0, False
        self.steps: Iterator[Step] = iter(())

    def connect(self) -> None:
        """Opens a connection and begins one of the crowd's behaviours."""
        name = self.dice.choice(self.crowd.behaviours)
        self.reads = name.endswith(READING)
        self.steps = BEHAVIOURS[name.removesuffix(READING)](self.dice)
        self.pending, self.ready_at = b"", 0.0
        self.connection = socket.socket()
        if not self.reads:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.connection.setblocking(False)
        self.connection.connect_ex(("127.0.0.1", self.crowd.port))
        self.crowd.by_descriptor[self.connection.fileno()] = self
        self.crowd.poll.register(self.connection, self._events(select.EPOLLOUT))
        self.crowd.outcome.connected += 1

    def close(self) -> None:
        """Ends the connection, whatever is unread."""
        self.crowd.waiting.discard(self)
        del self.crowd.by_descriptor[self.connection.fileno()]
        self.connection.close()

    def on_event(self, events: int) -> None:
        """Reads and writes, or notices that the router has ended the connection."""
        try:
            if self.reads and events & select.EPOLLIN:
                self._read()
            if events & ENDED:
                raise ConnectionResetError
            if events & select.EPOLLOUT:
                self._write()
        except BlockingIOError:
            pass
        except OSError:
            self.crowd.outcome.ended_by_router += 1
            self.close()
            self.connect()

    def go_on(self) -> None:
        """Writes again after a wait."""
        self.crowd.poll.modify(self.connection, self._events(select.EPOLLOUT))

    def _events(self, events: int) -> int:
        return events | ENDED | (select.EPOLLIN if self.reads else 0)

    def _read(self) -> None:
        received = self.connection.recv(READ_SIZE)
        if not received:
            raise ConnectionResetError
        self.crowd.outcome.read_bytes += len(received)

    def _write(self) -> None:
        if not self.pending:
            step = next(self.steps, FOREVER)
            if not isinstance(step, bytes):
                self._wait(step)
                return
            self.pending = step
        written = self.connection.send(self.pending)
        self.crowd.outcome.written_bytes += written
        self.pending = self.pending[written:]

    def _wait(self, seconds: float) -> None:
        """Writes nothing for a while."""
        self.ready_at = time.monotonic() + seconds
        self.crowd.waiting.add(self)
        self.crowd.poll.modify(self.connection, self._events(0))


class RoughCrowd:
    """So many rough clients of one router."""

    def __init__(self, port: int, size: int, behaviours: list[str], seed: int) -> None:
        """behaviours: names of BEHAVIOURS, one drawn for each connection; see READING."""
        self.port, self.behaviours = port, behaviours
        self.poll, self.outcome = select.epoll(), Outcome()
        self.by_descriptor: dict[int, RoughClient] = {}
        self.waiting: set[RoughClient] = set()
        self.clients = [RoughClient(self, seed * 100_003 + number) for number in range(size)]

    def run(self, seconds: float) -> Outcome:
        """Plays the crowd for a while, then closes all connections."""
        end = time.monotonic() + seconds
        for client in self.clients:
            client.connect()
        while time.monotonic() < end:
            self._look()
        for client in self.clients:
            client.close()
        return self.outcome

    def _look(self) -> None:
        now = time.monotonic()
        for client in [client for client in self.waiting if client.ready_at <= now]:
            self.waiting.discard(client)
            client.go_on()
        for descriptor, events in self.poll.poll(LOOK_INTERVAL):
            client = self.by_descriptor.get(descriptor)
            if client is not None:
                client.on_event(events)


def main(arguments: list[str]) -> None:
    """Plays a crowd as the command line says and prints what became of it."""
    port, size, seconds, seed, *behaviours = arguments
    crowd = RoughCrowd(int(port), int(size), behaviours, int(seed))
    print(json.dumps(asdict(crowd.run(float(seconds)))))


if __name__ == "__main__":
    main(sys.argv[1:])
