"""Stand-in caches, a parent and the origin of a soak run; they misbehave as the plan says."""

import asyncio
import random
import time

from .plan import WRITES, Plan
from .records import Arrival, History

PROBE_PART, SILENT_PART, LARGE_PART = "1", "9", "7"
LARGE_BODY = b"x" * 200_000
SMALL_BODY = b"x" * 600
SECOND_ANSWER_DELAY = 0.008  # seconds
SLOW_ANSWER = (0.05, 0.6)  # seconds


def response(status: int, body: bytes = b"", *fields: bytes) -> bytes:
    """An HTTP/1.1 response with a length."""
    head = [b"HTTP/1.1 %d -" % status, b"Content-Length: %d" % len(body), *fields]
    return b"\r\n".join(head) + b"\r\n\r\n" + body


class Cache:
    """One process: a name at an address; a later one may take the address."""

    def __init__(self, name: str, port: int, plan: Plan, history: History, dice: random.Random) -> None:
        """dice: of its faults."""
        self.name, self.port, self.plan, self.history, self.dice = name, port, plan, history, dice
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.keys: set[str] = set()

    async def start(self) -> None:
        """Listens at its port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**20)

    async def stop(self) -> None:
        """Ends as a process that dies does: its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._answer_next(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the router gave the request up
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer_next(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Reads and answers a request; returns whether the connection goes on."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
        await reader.readexactly(int(fields.get("content-length", 0)))
        target = lines[0].split(" ")[1]
        if "x-trace" not in fields:
            writer.write(response(200))
            return True
        _, _, kind, _, part = target.split("/")
        fault = None
        if part != PROBE_PART and self.dice.random() < self.plan.fault_share:
            fault = self.dice.choice(self.plan.faults)
        self._record(fields["x-trace"], kind, fault)
        return await self._answer(writer, part, fault)

    def _record(self, trace: str, kind: str, fault: str | None) -> None:
        self.history.arrivals.append(
            Arrival(
                trace,
                self.name,
                time.monotonic(),
                has_effect=kind == WRITES and self.plan.write_effect == "single_shot",
                may_have_run=fault not in ("declined", "missing"),
            )
        )

    async def _answer(self, writer: asyncio.StreamWriter, part: str, fault: str | None) -> bool:
        made = b"X-Since-Ms: %d" % (time.time() * 1_000)
        body = LARGE_BODY if part == LARGE_PART else SMALL_BODY
        whole = response(200, body, made, b"X-Rev: %016x" % self.dice.getrandbits(64))
        if part == SILENT_PART or fault == "silent":
            await asyncio.sleep(60)
        elif fault == "declined":
            writer.write(response(503, b"", b"X-Declined: 1"))
        elif fault in ("missing", "error"):
            writer.write(response(404 if fault == "missing" else 500))
        elif fault == "cut":
            writer.write(whole[: len(whole) // 2])
            await writer.drain()
            return False
        elif fault in ("drip", "endless"):
            await self._drip(writer, whole, fault == "endless")
        elif fault == "many fields":
            writer.write(response(200, body, *(b"F%d: 1" % n for n in range(1_500))))
        else:
            await asyncio.sleep(self.dice.uniform(*SLOW_ANSWER) if fault == "slow" else 0)
            writer.write(whole)
        if fault == "twice":
            await asyncio.sleep(SECOND_ANSWER_DELAY)
            writer.write(whole)
        await writer.drain()
        return True

    async def _drip(self, writer: asyncio.StreamWriter, whole: bytes, without_end: bool) -> None:
        """Writes a few bytes at a time; without end: all but the last."""
        for start in range(0, len(whole) - 1, 97):
            writer.write(whole[start : min(start + 97, len(whole) - 1)])
            await asyncio.sleep(0.002)
        if without_end:
            await asyncio.sleep(60)
        writer.write(whole[-1:])
