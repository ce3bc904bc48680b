"""A relay of all traffic between members, which can cut, delay, lose, duplicate and reorder it.

python -m standins.crowd.relay SPEC: members {name: {zone, real, shown}} ("real" is the port on which a member
listens, "shown" the one that others know; a member without "shown" is reached by streams only), streams
[[from, to, port]]: ports at which one member reaches the stream port of another; seed.
The sender of a datagram is known by its source address. The sender of a stream is known by the port that it
connects to or, at a member's advertised port, by the process that owns its other end.
"""

import asyncio
import heapq
import random
import socket
import time

from .remote import main
from .socket_owner import socket_owner

CHUNK_SIZE = 65_536
MAX_DATAGRAM = 2_048  # largest datagram, in bytes
MAX_DELAYED_CHUNKS = 64  # chunks of a stream that wait for their delay; further ones are not read


class AdvertisedAddress(asyncio.DatagramProtocol):
    """The advertised UDP address of one member."""

    def __init__(self, relay, name):
        self.relay, self.name, self.transport = relay, name, None

    def connection_made(self, transport):
        """Keeps the transport, by which datagrams of this member are sent."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Passes a datagram on to the relay."""
        self.relay.datagram_arrived(address, self.name, data)


class Relay:
    """Forwards datagrams and streams; the methods under "commands" are called by remote.py."""

    def __init__(self, spec):
        self.members, self.streams = spec["members"], spec["streams"]
        self.names = {("127.0.0.1", row["real"]): name for name, row in self.members.items()}
        self.rng, self.advertised, self.pending, self.sequence = random.Random(spec["seed"]), {}, [], 0
        self.open_streams, self.packets, self.bytes, self.streamed, self.dropped = set(), {}, {}, {}, 0
        self.cuts, self.servers, self.timer, self.pid_of = set(), [], None, {}
        self.heal()

    async def start(self):
        """Listens on all advertised ports and stream ports."""
        self.loop = asyncio.get_running_loop()
        for name, row in self.members.items():
            if "shown" not in row:
                continue
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
            sock.bind(("127.0.0.1", row["shown"]))
            _, self.advertised[name] = await self.loop.create_datagram_endpoint(
                lambda name=name: AdvertisedAddress(self, name), sock=sock
            )
            await self._listen(row["shown"], None, name)
        for sender, receiver, port in self.streams:
            await self._listen(port, sender, receiver)

    # ---- datagrams

    def datagram_arrived(self, address, receiver, data):
        """Counts a datagram, then drops it or forwards it with the current faults."""
        sender = self.names.get(address)
        self.packets[sender] = self.packets.get(sender, 0) + 1
        self.bytes[sender] = self.bytes.get(sender, 0) + len(data)
        if sender is None or (sender, receiver) in self.cuts or self.rng.random() < self.loss:
            self.dropped += 1
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_share)):
            delay = self.delay + self.jitter * self.rng.random()
            if self.reorder_share and self.rng.random() < self.reorder_share:
                delay += 0.05 + 0.1 * self.rng.random()
            if delay <= 0:
                self._forward(sender, receiver, data)
            else:
                self.sequence += 1
                heapq.heappush(
                    self.pending, (time.monotonic() + delay, self.sequence, sender, receiver, data)
                )
                if len(self.pending) == 1 or self.pending[0][1] == self.sequence:
                    self._send_due()

    def _forward(self, sender, receiver, data):
        if self.advertised[sender].transport is not None:
            self.advertised[sender].transport.sendto(data, ("127.0.0.1", self.members[receiver]["real"]))

    def _send_due(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        now = time.monotonic()
        while self.pending and self.pending[0][0] <= now:
            _, _, sender, receiver, data = heapq.heappop(self.pending)
            self._forward(sender, receiver, data)
        if self.pending:
            self.timer = self.loop.call_later(self.pending[0][0] - now, self._send_due)

    # ---- streams

    async def _listen(self, port, sender, receiver):
        self.servers.append(
            await asyncio.start_server(
                lambda reader, writer: self._handle_stream(sender, receiver, reader, writer),
                "127.0.0.1",
                port,
            )
        )

    async def _handle_stream(self, sender, receiver, reader, writer):
        try:
            target_reader, target_writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.members[receiver]["real"]), 2.0
            )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        if sender is None:
            port = writer.get_extra_info("peername")[1]
            sender = await asyncio.to_thread(socket_owner, port, self.pid_of)
        pair = (sender, receiver, writer, target_writer)
        self.open_streams.add(pair)
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, sender, receiver),
                self._copy(target_reader, writer, receiver, sender),
            )
        finally:
            self.open_streams.discard(pair)
            writer.transport.abort()
            target_writer.transport.abort()

    def _is_cut(self, sender, receiver):
        return (sender, receiver) in self.cuts

    async def _copy(self, reader, writer, sender, receiver):
        """Forwards each chunk after its delay; further chunks are read in the meantime."""
        delayed = asyncio.Queue(MAX_DELAYED_CHUNKS)
        delivering = asyncio.ensure_future(self._deliver(delayed, writer, sender, receiver))
        try:
            while chunk := await reader.read(CHUNK_SIZE):
                self.streamed[sender] = self.streamed.get(sender, 0) + len(chunk)
                await delayed.put((self.loop.time() + self.stream_delay, chunk))
        except OSError:
            pass
        await delayed.put((self.loop.time() + self.stream_delay, b""))
        await delivering
        writer.transport.abort()

    async def _deliver(self, delayed, writer, sender, receiver):
        """Writes chunks until the empty one; drops them if the connection has ended."""
        while True:
            due, chunk = await delayed.get()
            if (remaining := due - self.loop.time()) > 0:
                await asyncio.sleep(remaining)
            if not chunk:
                return
            if self._is_cut(sender, receiver) or writer.is_closing():
                continue
            try:
                writer.write(chunk)
                await writer.drain()
            except OSError:
                writer.transport.abort()

    # ---- commands

    def pids(self, of):
        """Sets the current {member: process id}."""
        self.pid_of.update(of)

    def cut(self, a, b, both=True):
        """Drops all traffic from a to b, and from b to a as well unless both is false."""
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def cut_zone(self, zone, both=True):
        """Cuts a zone off from all others; without both only its outgoing traffic is dropped."""
        inside = [name for name, row in self.members.items() if row["zone"] == zone]
        outside = [name for name in self.members if name not in set(inside)]
        self.cuts |= {(a, b) for a in inside for b in outside}
        if both:
            self.cuts |= {(b, a) for a in inside for b in outside}

    def hold(self, seconds, jitter=0.0, streams=False):
        """Delays datagrams by seconds plus up to jitter seconds, and streams by seconds if streams is set."""
        self.delay, self.jitter, self.stream_delay = seconds, jitter, seconds if streams else 0.0

    def lose(self, share):
        """Drops that share of datagrams."""
        self.loss = share

    def double(self, share):
        """Duplicates that share of datagrams."""
        self.duplicate_share = share

    def disorder(self, share):
        """Delays that share of datagrams by a further 50 to 150 ms."""
        self.reorder_share = share

    def heal(self):
        """Ends all faults; streams that were cut are aborted, since they may have lost bytes."""
        broken = [
            pair for pair in self.open_streams if self._is_cut(*pair[:2]) or self._is_cut(pair[1], pair[0])
        ]
        self.cuts, self.loss, self.duplicate_share, self.reorder_share = set(), 0.0, 0.0, 0.0
        self.delay = self.jitter = self.stream_delay = 0.0
        for *_, client_writer, target_writer in broken:
            client_writer.transport.abort()
            target_writer.transport.abort()

    def carried(self):
        """Returns the counts since the start: "packets", "bytes" and "streamed" (bytes) by sender,
        "stream_bytes" and "dropped".
        """
        packets = {name or "": value for name, value in self.packets.items()}
        return {
            "packets": packets,
            "bytes": {name or "": value for name, value in self.bytes.items()},
            "streamed": {name or "": value for name, value in self.streamed.items()},
            "stream_bytes": sum(self.streamed.values()),
            "dropped": self.dropped,
        }


if __name__ == "__main__":
    main(Relay)
