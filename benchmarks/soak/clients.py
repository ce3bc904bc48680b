"""Regular clients of a soak run: they keep the protocol and record what becomes of each call."""

import asyncio
import random
import time

from hookrouter.parsers import thrift
from standins import client_frames as frames

from .plan import WRITES
from .records import Call, History

MAX_OPEN = 32
PARTS = (1, 2, 3, 4, 7, 9)
OUTCOMES = {0: "satisfied", 1: "nacked", 2: "failed"}
PROBE_INTERVAL = 0.02  # seconds
RECONNECT_PAUSE = 0.02  # seconds


class Client:
    """One connection after another to one router; see Regular and Probe for what it does."""

    is_probe = False

    def __init__(
        self, name: str, router: "RouterAddress", history: History, seed: int, allowed_ms: int
    ) -> None:
        """router: where it connects, and which process that is; allowed_ms: for a call at most."""
        self.name, self.router, self.history = name, router, history
        self.dice, self.allowed_ms = random.Random(seed), allowed_ms
        self.open: dict[int, Call] = {}
        self.seqid = 0
        self.writer: asyncio.StreamWriter | None = None

    async def run(self, end: float) -> None:
        """Acts until the time end, then waits for its answers."""
        while time.monotonic() < end:
            try:
                reader, self.writer = await asyncio.open_connection("127.0.0.1", self.router.port)
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE)
                continue
            self.open, self.seqid = {}, 0
            reading = asyncio.create_task(self._read(reader))
            try:
                await self._use_connection(end, reading)
            finally:
                await self._close(reading)

    async def _use_connection(self, end: float, reading: asyncio.Task) -> None:
        while time.monotonic() < end and not reading.done():
            await self.act()
        last = max((call.written + call.allowed for call in self.open.values()), default=0.0)
        while self.open and not reading.done() and time.monotonic() < last + 1.0:
            await asyncio.sleep(0.02)

    async def _close(self, reading: asyncio.Task) -> None:
        now = time.monotonic()
        if not reading.done():
            reading.cancel()
        for call in self.open.values():
            if reading.done() and not reading.cancelled():
                call.ended = call.ended or now
        self.writer.close()
        await asyncio.gather(reading, return_exceptions=True)

    async def act(self) -> None:
        """One step of what the client does."""
        raise NotImplementedError

    async def _read(self, reader: asyncio.StreamReader) -> None:
        """Records answers until the connection ends."""
        stream = thrift.Frames(10**7)
        try:
            while data := await reader.read(65_536):
                for frame in stream.feed(data):
                    self._on_reply(thrift.Message(frame))
        except ConnectionError:
            pass
        now = time.monotonic()
        for call in self.open.values():
            call.ended = now

    def _on_reply(self, message: thrift.Message) -> None:
        call = self.open.pop(message.seqid, None)
        if call is None:
            return  # it crossed the interrupt
        call.answered = time.monotonic()
        kind = next(iter(message.arguments()), None) if message.kind == thrift.REPLY else None
        call.outcome = OUTCOMES.get(kind, "exception")

    def call(self, part: int, has_effect: bool = False) -> bytes:
        """The bytes of a further call, which counts as made now."""
        self.seqid += 1
        allowed = self.dice.randint(min(120, self.allowed_ms), self.allowed_ms)
        fields = frames.lookup_fields(self.dice, part, allowed)
        if has_effect:
            fields |= {b"service": WRITES.encode(), b"replay": b"%032x" % self.dice.getrandbits(128)}
        call = Call(
            fields[b"ref"].decode(),
            self.name,
            self.router.number,
            self.router.life,
            allowed / 1_000,
            time.monotonic(),
            self.is_probe,
        )
        self.open[self.seqid] = call
        self.history.calls.append(call)
        return frames.execute(fields, self.seqid, b"order" if has_effect else b"")

    def withdrawal(self) -> bytes:
        """The bytes of an interrupt of one of its open calls."""
        seqid = self.dice.choice(list(self.open))
        self.open.pop(seqid).gone = time.monotonic()
        return frames.interrupt(seqid)

    async def write(self, data: bytes) -> None:
        """Writes bytes; an end of the connection shows in the reading task."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except ConnectionError:
            await asyncio.sleep(RECONNECT_PAUSE)


class Regular(Client):
    """Pipelines up to the protocol's bound, withdraws, rests, goes away, writes in pieces."""

    async def act(self) -> None:
        """A burst of calls and interrupts, then some rest."""
        room = MAX_OPEN - len(self.open)
        count = min(room, self.dice.choice((0, 1, 2, 4, 12)))
        data = [self.call(self.dice.choice(PARTS), self.dice.random() < 0.15) for _ in range(count)]
        for _ in range(min(self.dice.choice((0, 0, 0, 1, 3)), len(self.open))):
            data.append(self.withdrawal())
        await self._write_in_pieces(b"".join(data))
        await asyncio.sleep(self.dice.choice((0.002, 0.02, 0.05, 0.3)))
        if self.dice.random() < 0.01:
            self._leave()

    async def _write_in_pieces(self, data: bytes) -> None:
        cut = self.dice.randrange(len(data) + 1)
        await self.write(data[:cut])
        await asyncio.sleep(self.dice.choice((0, 0, 0.005)))
        await self.write(data[cut:])

    def _leave(self) -> None:
        """Closes with calls open."""
        now = time.monotonic()
        for call in self.open.values():
            call.gone = now
        self.open.clear()
        self.writer.transport.abort()


class Probe(Client):
    """Makes one call at a time, of objects that caches answer at once: its times are the measure."""

    is_probe = True

    async def act(self) -> None:
        """A call, and the wait for its answer."""
        await self.write(self.call(1))
        call = self.open.get(self.seqid)
        end = time.monotonic() + call.allowed + 1.0
        while self.seqid in self.open and call.ended is None and time.monotonic() < end:
            await asyncio.sleep(0.001)
        await asyncio.sleep(PROBE_INTERVAL)


class RouterAddress:
    """Where clients find a router, and which of its processes is there."""

    def __init__(self, number: int, port: int) -> None:
        """number: of the router."""
        self.number, self.port, self.life = number, port, 0
