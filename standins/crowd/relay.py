"""All that members say to each other, through one process that can cut, delay, lose, double and reorder it.

python -m standins.crowd.relay SPEC: members {name: {zone, real, shown}} (ports; "shown" is what others know;
a member without it is reached by streams alone), streams [[from, to, port]]: ports at which one member
reaches the stream port of another; seed.
Datagrams are told by the address they come from; a stream by the port it comes to, or, at a member's shown
port, by the process that holds its other end.
"""

import asyncio
import heapq
import random
import socket
import time

from .remote import main
from .socket_owner import socket_owner

PIECE = 65_536
LONGEST = 2_048  # bytes of a datagram
MOST_ON_THE_WAY = 64  # pieces of a stream that wait for their delay; more are left unread


class Shown(asyncio.DatagramProtocol):
    """The address of one member as others know it."""

    def __init__(self, relay, name):
        self.relay, self.name, self.transport = relay, name, None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.relay.came(address, self.name, data)


class Relay:
    def __init__(self, spec):
        self.members, self.streams = spec["members"], spec["streams"]
        self.names = {("127.0.0.1", row["real"]): name for name, row in self.members.items()}
        self.dice, self.shown, self.waiting, self.count = random.Random(spec["seed"]), {}, [], 0
        self.open, self.packets, self.bytes, self.streamed, self.dropped = set(), {}, {}, {}, 0
        self.cuts, self.servers, self.timer, self.processes = set(), [], None, {}
        self.heal()

    async def start(self):
        self.loop = asyncio.get_running_loop()
        for name, row in self.members.items():
            if "shown" not in row:
                continue
            made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
            made.bind(("127.0.0.1", row["shown"]))
            _, self.shown[name] = await self.loop.create_datagram_endpoint(
                lambda name=name: Shown(self, name), sock=made
            )
            await self._listen(row["shown"], None, name)
        for sender, to, port in self.streams:
            await self._listen(port, sender, to)

    # ---- datagrams

    def came(self, address, to, data):
        sender = self.names.get(address)
        self.packets[sender] = self.packets.get(sender, 0) + 1
        self.bytes[sender] = self.bytes.get(sender, 0) + len(data)
        if sender is None or (sender, to) in self.cuts or self.dice.random() < self.loss:
            self.dropped += 1
            return
        for _ in range(1 + (self.dice.random() < self.twice)):
            span = self.delay + self.jitter * self.dice.random()
            if self.reorder and self.dice.random() < self.reorder:
                span += 0.05 + 0.1 * self.dice.random()
            if span <= 0:
                self._pass(sender, to, data)
            else:
                self.count += 1
                heapq.heappush(self.waiting, (time.monotonic() + span, self.count, sender, to, data))
                if len(self.waiting) == 1 or self.waiting[0][1] == self.count:
                    self._wake()

    def _pass(self, sender, to, data):
        if self.shown[sender].transport is not None:
            self.shown[sender].transport.sendto(data, ("127.0.0.1", self.members[to]["real"]))

    def _wake(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        now = time.monotonic()
        while self.waiting and self.waiting[0][0] <= now:
            _, _, sender, to, data = heapq.heappop(self.waiting)
            self._pass(sender, to, data)
        if self.waiting:
            self.timer = self.loop.call_later(self.waiting[0][0] - now, self._wake)

    # ---- streams

    async def _listen(self, port, sender, to):
        self.servers.append(
            await asyncio.start_server(
                lambda reader, writer: self._stream(sender, to, reader, writer), "127.0.0.1", port
            )
        )

    async def _stream(self, sender, to, reader, writer):
        try:
            far_reader, far = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.members[to]["real"]), 2.0
            )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        if sender is None:
            port = writer.get_extra_info("peername")[1]
            sender = await asyncio.to_thread(socket_owner, port, self.processes)
        pair = (sender, to, writer, far)
        self.open.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far, sender, to), self._pump(far_reader, writer, to, sender)
            )
        finally:
            self.open.discard(pair)
            writer.transport.abort()
            far.transport.abort()

    def _is_cut(self, sender, to):
        return (sender, to) in self.cuts

    async def _pump(self, reader, writer, sender, to):
        """Each piece goes on once its delay is over; those behind it are read meanwhile."""
        on_the_way = asyncio.Queue(MOST_ON_THE_WAY)
        delivering = asyncio.ensure_future(self._deliver(on_the_way, writer, sender, to))
        try:
            while piece := await reader.read(PIECE):
                self.streamed[sender] = self.streamed.get(sender, 0) + len(piece)
                await on_the_way.put((self.loop.time() + self.stream_delay, piece))
        except OSError:
            pass
        await on_the_way.put((self.loop.time() + self.stream_delay, b""))
        await delivering
        writer.transport.abort()

    async def _deliver(self, on_the_way, writer, sender, to):
        """Until the empty piece; what comes for a connection that has ended is dropped."""
        while True:
            due, piece = await on_the_way.get()
            if (left := due - self.loop.time()) > 0:
                await asyncio.sleep(left)
            if not piece:
                return
            if self._is_cut(sender, to) or writer.is_closing():
                continue
            try:
                writer.write(piece)
                await writer.drain()
            except OSError:
                writer.transport.abort()

    # ---- commands

    def pids(self, of):
        """{member: process id}, as they are now."""
        self.processes.update(of)

    def cut(self, a, b, both=True):
        """Nothing that a says reaches b, nor the other way."""
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def cut_zone(self, zone, both=True):
        """A zone and all others do not hear each other; not both: others do not hear it."""
        inside = [name for name, row in self.members.items() if row["zone"] == zone]
        outside = [name for name in self.members if name not in set(inside)]
        self.cuts |= {(a, b) for a in inside for b in outside}
        if both:
            self.cuts |= {(b, a) for a in inside for b in outside}

    def hold(self, seconds, jitter=0.0, streams=False):
        """Each datagram comes that much later, up to jitter more."""
        self.delay, self.jitter, self.stream_delay = seconds, jitter, seconds if streams else 0.0

    def lose(self, share):
        self.loss = share

    def double(self, share):
        self.twice = share

    def disorder(self, share):
        """That share comes 50 to 150 ms behind its turn."""
        self.reorder = share

    def heal(self):
        """A stream that lost bytes can never be sound again: it ends."""
        broken = [pair for pair in self.open if self._is_cut(*pair[:2]) or self._is_cut(pair[1], pair[0])]
        self.cuts, self.loss, self.twice, self.reorder = set(), 0.0, 0.0, 0.0
        self.delay = self.jitter = self.stream_delay = 0.0
        for *_, near, far in broken:
            near.transport.abort()
            far.transport.abort()

    def carried(self):
        """{"packets", "bytes", "streamed" (bytes): by sender, "stream_bytes", "dropped"} since the start."""
        strip = {name or "": value for name, value in self.packets.items()}
        return {
            "packets": strip,
            "bytes": {name or "": value for name, value in self.bytes.items()},
            "streamed": {name or "": value for name, value in self.streamed.items()},
            "stream_bytes": sum(self.streamed.values()),
            "dropped": self.dropped,
        }


if __name__ == "__main__":
    main(Relay)
