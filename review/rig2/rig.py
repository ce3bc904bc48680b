"""Stand-ins and helpers for the cases of the second review: caches, a control feed, clients, a router process.

Standard library only. All addresses are on 127.0.0.1, all ports are free ones, all files are in a temporary folder.
The stand-ins follow kit/real/PROTOCOL.md: caches answer by the age that is asked for, fill from the source that is
named, and drop what was purged within `clearedWithin`; the feed numbers its events and sends a comment each second.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now_ms():
    """Unix time in milliseconds."""
    return time.time() * 1000


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.time()

    def __call__(self, text):
        line = f"{time.time() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def verdict(self, text):
        """A line that is also printed."""
        self(text)
        print(text)


def free_port():
    """A port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---- caches, parents and the origin


class World:
    """What the origin has: a version of each object, raised by each purge of the object or its group."""

    def __init__(self, cleared_after_ms=3000):
        self.purges = {}  # object or group -> [Unix ms of each purge]
        self.cleared_after_ms = cleared_after_ms

    def purge(self, target, at):
        """From `at` on the origin has another version."""
        self.purges.setdefault(target, []).append(at)

    def version(self, obj, when):
        """The version that the origin gives out at this time."""
        return sum(at <= when for at in self.purges.get(obj, ()))

    def newest_cleared(self, obj, when):
        """Copies made before this time are dropped by all caches."""
        return max((at for at in self.purges.get(obj, ()) if at + self.cleared_after_ms <= when), default=0)


class Copy:
    """A copy of one part: when the origin gave it out, and which version it is."""

    def __init__(self, world, obj, part):
        self.since = int(now_ms())
        self.version = world.version(obj, self.since)
        self.body = f"{obj}/{part} version={self.version} since={self.since};".encode()
        self.rev = "%016x" % (hash((obj, part, self.version)) & (2**64 - 1))


class CacheServer:
    """One cache, parent or the origin, as PROTOCOL.md has it."""

    def __init__(self, rig, name, role, fresh_ms):
        self.rig, self.name, self.role, self.fresh_ms = rig, name, role, fresh_ms
        self.store = {}  # (object, part) -> Copy
        self.requests = []  # (Unix ms, kind, object, part, fields)
        self.connections = set()
        self.server = self.port = None
        self.work_ms = 4
        self.behave = None  # async hook(cache, request) -> bytes to write, None: the normal answer, False: none

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def copy_of(self, obj, part, limit_ms, source, held=False):
        """(Copy, what the answer says of it) by the age that is asked for, or (None, "miss")."""
        if self.role == "origin":
            return Copy(self.rig.world, obj, part), "filled"
        when = now_ms()
        copy = self.store.get((obj, part))
        if copy is not None and copy.since < self.rig.world.newest_cleared(obj, when):
            copy = None
        if copy is not None and (not limit_ms or when - copy.since <= limit_ms):
            return copy, "hit"
        if held or source is None or source is self:
            return None, "miss"
        upstream = self.rig.origin if source.role == "parent" else None
        filled, _ = source.copy_of(obj, part, limit_ms, upstream)
        if filled is None:
            return None, "miss"
        self.store[obj, part] = filled
        return filled, "filled"

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                target = lines[0].split(" ")[1]
                fields = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in lines[1:] if x)}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if not target.startswith("/fetch/"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Stats: inflight:0;util:0.1;x1:0\r\n\r\n")
                    continue
                _, _, kind, obj, part = target.split("/")
                request = (now_ms(), kind, obj, int(part), fields)
                self.requests.append(request)
                self.rig.record(
                    f"{self.name} got {kind} {obj}/{part} trace={fields.get('x-trace')} key={fields.get('x-op-key')}"
                    f" source={fields.get('x-origin-pick')} limit={fields.get('x-stale-limit')} do={fields.get('x-do')}"
                )
                answer = None
                fields["writer"] = writer
                if self.behave is not None:
                    answer = await self.behave(self, request)
                    if answer is False:
                        await writer.drain()
                        continue
                if answer is None:
                    await asyncio.sleep(self.work_ms / 1000)
                    answer = self.answer(kind, obj, int(part), fields, body)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def answer(self, kind, obj, part, fields, body):
        """The bytes of the normal answer."""
        limit = int(fields.get("x-stale-limit", 0)) or self.fresh_ms.get(kind, 0)
        source = self.rig.caches.get(fields.get("x-origin-pick"))
        held = "held" in fields.get("x-do", "").split("+")
        copy, result = self.copy_of(obj, part, limit, source, held)
        if copy is None:
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nX-Result: src_lacks\r\n\r\n"
        note = f"X-Result: {result}\r\n" if self.rig.settings["extra"]["noteLevel"] != "off" else ""
        inline = self.rig.settings["report"]["how"] == "inline"
        report = "X-Stats: util:0.1;inflight:0;x1:0.1;x0:0.7\r\n" if inline else ""
        return (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(copy.body)}\r\nX-Rev: {copy.rev}\r\n"
            f"X-Since-Ms: {copy.since}\r\n{note}{report}\r\n"
        ).encode() + copy.body

    async def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


# ---- the control feed


class FeedServer:
    """The control feed. delay_s: until it answers a request that it has accepted."""

    def __init__(self, rig):
        self.rig, self.events, self.port, self.server = rig, [], None, None
        self.writers, self.delay_s = {}, 0.0
        self.number, self.index = 0, 0
        self.asked = self.comments = 0
        self.line_end = "\n"  # of the stream: LF, CR or both, as server-sent events may have

    async def up(self):
        """Listens, at the same port each time."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def down(self):
        """Ends all connections and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def tell(self, event):
        """Numbers an event and sends it to those that are connected."""
        self.number += 1
        event = {"n": self.number, **event}
        self.events.append(event)
        self.rig.record(f"feed has {json.dumps(event)}")
        for writer in list(self.writers):
            self._send(writer)
        return event

    def tell_members(self, rows, snapshot=False):
        self.index += 1
        return self.tell({"members": {"index": self.index, "snapshot": snapshot, "endpoints": rows}})

    def _send(self, writer):
        for event in self.events:
            if event["n"] > self.writers[writer]:
                lines = f"id: {event['n']}\ndata: {json.dumps(event)}\n\n"
                writer.write(lines.replace("\n", self.line_end).encode())
                self.writers[writer] = event["n"]

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            self.asked += 1
            last = int(head.lower().split("last-event-id:")[1].split("\r\n")[0])
            self.rig.record(f"feed is asked for events after {last}")
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            writer.write(": here\n\n".replace("\n", self.line_end).encode())
            self.writers[writer] = last
            self._send(writer)
            while not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(1)
                if not writer.is_closing():
                    writer.write(": still here\n\n".replace("\n", self.line_end).encode())
                    self.comments += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()


# ---- clients

STOP, BOOL, I32, STRING, STRUCT, MAP = 0, 2, 8, 11, 12, 13


def text(value):
    return struct.pack(">i", len(value)) + value


def frame(payload):
    return struct.pack(">i", len(payload)) + payload


def call(name, seqid, arguments, kind=1):
    return frame(struct.pack(">Ii", 0x80010000 | kind, len(name)) + name + struct.pack(">i", seqid) + arguments)


def execute_call(fields, seqid, body=b""):
    pairs = b"".join(text(k.encode()) + text(v.encode()) for k, v in fields.items())
    arguments = struct.pack(">bhbbi", MAP, 1, STRING, STRING, len(fields)) + pairs
    arguments += struct.pack(">bh", STRING, 2) + text(body) + bytes((STOP,))
    return call(b"execute", seqid, arguments)


def interrupt_call(number, seqid):
    return call(b"interrupt", seqid, struct.pack(">bhi", I32, 1, number) + bytes((STOP,)), kind=4)


class Answer:
    """outcome: served, refused, failed, closed (the connection ended first) or silent (no answer in time)."""

    def __init__(self, outcome, body=b"", fields=None):
        self.outcome, self.body, self.fields = outcome, body, fields or {}


class Parser:
    def __init__(self, data):
        self.data, self.at = data, 0

    def unpack(self, form):
        values = struct.unpack_from(form, self.data, self.at)
        self.at += struct.calcsize(form)
        return values if len(values) > 1 else values[0]

    def string(self):
        length = self.unpack(">i")
        value = self.data[self.at : self.at + length]
        self.at += length
        return value

    def value(self, kind):
        if kind == BOOL:
            return self.unpack(">b") != 0
        if kind == I32:
            return self.unpack(">i")
        if kind == STRING:
            return self.string()
        if kind == MAP:
            _, _, count = self.unpack(">bbi")
            return {self.string(): self.string() for _ in range(count)}
        if kind == STRUCT:
            return self.struct()
        raise ValueError(f"type {kind}")

    def struct(self):
        values = {}
        while (kind := self.unpack(">b")) != STOP:
            number = self.unpack(">h")
            values[number] = self.value(kind)
        return values


class Client:
    """One connection to a router."""

    def __init__(self, rig, port):
        self.rig, self.port, self.seqid, self.waiting = rig, port, 0, {}
        self.reader = self.writer = self.task = None
        self.ended = False

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        try:
            while True:
                (length,) = struct.unpack(">i", await self.reader.readexactly(4))
                data = await self.reader.readexactly(length)
                parser = Parser(data)
                head = parser.unpack(">I")
                parser.string()
                seqid = parser.unpack(">i")
                values = parser.struct() if head & 0xFF == 2 else None
                future = self.waiting.pop(seqid, None)
                if future is None:
                    self.rig.record(f"answer to no open call: {seqid}")
                    self.rig.second_answers += 1
                elif not future.done():
                    future.set_result(self._answer(values))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.ended = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_result(Answer("closed"))

    @staticmethod
    def _answer(values):
        if values is None or 2 in values:
            return Answer("failed", fields=(values or {}).get(2, {}).get(1))
        if 1 in values:
            return Answer("refused", fields=values[1].get(1))
        success = values.get(0, {})
        return Answer("served" if success.get(3) else "failed", success.get(1, b""), success.get(2, {}))

    async def check(self):
        """Whether the router says that it is ready."""
        self.seqid += 1
        future = self.waiting[self.seqid] = asyncio.get_running_loop().create_future()
        self.writer.write(call(b"check", self.seqid, struct.pack(">bhb", BOOL, 1, 0) + bytes((STOP,))))
        return (await asyncio.wait_for(future, 5)).outcome == "served"

    def send(self, kind, obj, part=0, allow=5000, group=17, room=4.0, replay=None, body=b"", again=False, have=None):
        """Writes a request; returns (reference, future of its Answer)."""
        ref = "%016x" % random.getrandbits(64)
        fields = {"service": kind, "ref": ref, "allow": str(allow), "lookup": obj, "part": str(part)}
        fields |= {"group": str(group), "room": str(room)}
        if replay is not None:
            fields["replay"] = replay
        if again:
            fields["dup"] = "1"
        if have is not None:
            fields["have"] = have
        self.seqid += 1
        future = self.waiting[self.seqid] = asyncio.get_running_loop().create_future()
        self.writer.write(execute_call(fields, self.seqid, body))
        self.rig.record(f"client sent {kind} {obj}/{part} ref={ref}" + (f" replay={replay}" if replay else ""))
        return ref, future

    async def ask(self, kind, obj, part=0, allow=5000, wait_more=0.6, **more):
        """A request and its Answer; silent if there is none by half a second after its time."""
        ref, future = self.send(kind, obj, part, allow, **more)
        try:
            answer = await asyncio.wait_for(future, allow / 1000 + wait_more)
        except asyncio.TimeoutError:
            answer = Answer("silent")
        self.rig.record(f"client got {answer.outcome} for ref={ref} {answer.body[:70]!r}")
        return answer

    def close(self):
        if self.task is not None:
            self.task.cancel()
        if self.writer is not None:
            self.writer.close()


# ---- the router and the whole case


def kind_row(name, idempotency, aim, deadline, window=0, worth=1.0, stretch=1.6, group="all"):
    return {
        "name": name, "aim": float(aim), "aimStretch": stretch, "deadline": float(deadline), "worth": worth,
        "lateWorth": 0.15, "group": group, "idempotency": idempotency, "memorySpan": float(window),
    }  # fmt: skip


def spiz_settings(number=0, routers=1, zone="east"):
    """The settings of a small deployment like spiz-depots."""
    return {
        "myNumber": number, "balancers": routers, "az": zone, "zones": ["hub", "east"], "tick": 2.0,
        "discovery": "pushed", "machineTypes": ["box-a", "upper", "master"],
        "classes": [
            kind_row("clip", "free", 600, 5000, worth=2.0),
            kind_row("item", "free", 400, 2500, stretch=2.0),
            kind_row("stock-hold", "guarded", 800, 3000, window=6000, worth=3.0),
        ],
        "extra": {
            "upperKind": 1, "masterKind": 2, "hubByZone": [0, 0], "crewByZone": [0, routers],
            "feedKbPerS": [0.0, 46000.0], "peersFill": "location", "oneFlowKbPerS": 6200.0, "mayPassBy": True,
            "joins": True, "purgeGrace": 1000.0, "clearedWithin": 6000.0, "noteLevel": "off", "parentFloor": 0.1,
            "parentCold": 15000.0, "parentFallMultiple": 2.0, "originFallMultiple": 0.0, "originFall": 0.0,
            "freshFor": [0.0, 12000.0, 0.0], "classGrace": [0.0, 0.0, 0.0], "classStaleWorth": [0.7, 0.7, 0.7],
            "classParts": [True, False, False], "passOn": [False, False, True],
        },
        "limits": {
            "maxAttempts": 6, "mayDuplicate": False, "mayCancel": True, "probing": True, "peers": False,
            "maxRetryAfter": 500.0, "retryAfter": True, "connectTimeout": 400.0, "idleClose": 15000.0,
            "mostHeld": 20000,
        },
        "report": {"how": "on_probe", "fields": ["inflight", "x1"]},
        "invariants": {
            "drainGrace": 500.0, "coldFrom": 0.3, "warmWithin": 10000.0, "fallMultiple": 2.5, "fall": 1000.0,
        },
    }  # fmt: skip


def dossier_settings(number=0, routers=1):
    """The settings of a small deployment like dossier-cache."""
    settings = spiz_settings(number, routers)
    settings["classes"] = [
        kind_row("hearing-video", "free", 500, 6000, worth=2.0, stretch=2.0),
        kind_row("dossier-page", "free", 400, 3000, stretch=2.0),
    ]
    settings["machineTypes"] = ["standard", "upper", "archive"]
    settings["extra"] |= {
        "feedKbPerS": [0.0, 0.0], "purgeGrace": 500.0, "noteLevel": "hit", "parentFloor": 0.077, "parentCold": 21000.0,
        "freshFor": [0.0, 8000.0], "classGrace": [0.0, 0.0], "classStaleWorth": [0.7, 0.7],
        "classParts": [True, False], "passOn": [False, False],
    }  # fmt: skip
    settings["limits"] |= {"peers": True, "maxRetryAfter": 1000.0, "idleClose": 30000.0, "streamsPerConn": 32}
    settings["report"] = {"how": "inline", "fields": ["util", "inflight", "x1", "x0"]}
    settings["invariants"] = {
        "drainGrace": 1000.0, "coldFrom": 0.22, "warmWithin": 16000.0, "fallMultiple": 4.0, "fall": 1000.0,
    }  # fmt: skip
    return settings


class Rig:
    """Everything that a case starts; all of it has ended when the `with` block is left."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.world, self.caches, self.origin = World(), {}, None
        self.feeds, self.clients, self.processes = [], [], []
        self.second_answers = 0
        self.settings = spiz_settings()
        self.fresh_ms = {"item": 12000}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for client in self.clients:
            client.close()
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
            await process.wait()
        for feed in self.feeds:
            await feed.down()
        for cache in self.caches.values():
            await cache.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def add_cache(self, name, role="edge", port=0):
        cache = self.caches[name] = await CacheServer(self, name, role, self.fresh_ms).start(port)
        if role == "origin":
            self.origin = cache
        return cache

    async def add_feed(self):
        feed = FeedServer(self)
        await feed.up()
        self.feeds.append(feed)
        return feed

    def row(self, name, status="active", since_ms=0, weight=8):
        """A row of the list of caches."""
        cache = self.caches[name]
        kinds = dict(zip(("edge", "parent", "origin"), self.settings["machineTypes"]))
        return {
            "name": name, "address": f"127.0.0.1:{cache.port}", "zone": "east" if cache.role == "edge" else "hub",
            "type": kinds[cache.role], "group": 0, "status": status, "weight": weight, "since_ms": since_ms,
        }  # fmt: skip

    def write_config(self, name, feed, port, known=None):
        config = {
            "name": name, "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "feed": f"127.0.0.1:{feed.port}", "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
            "known": known or {"n": feed.number, "events": list(feed.events)}, "settings": self.settings,
        }  # fmt: skip
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(config))
        return path

    async def start_router(self, name, feed, port=None, site=None, known=None):
        """Starts a router with the command of the deploy file, and waits until it is ready."""
        port = port or free_port()
        path = self.write_config(name, feed, port, known)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = {**os.environ, "EDGE_NAME": name, "EDGE_LISTEN": f"127.0.0.1:{port}", "EDGE_CONFIG": str(path)}
        environment["TMPDIR"] = str(self.temporary)
        if site is not None:
            environment["HOOKROUTER_SITE"] = str(site)
        process = await self._spawn(["/bin/sh", "-c", deploy["run"]], environment, f"router {name}")
        process.port, process.config = port, path
        deadline = time.time() + 30
        while True:
            try:
                client = await Client(self, port).connect()
                ready = await client.check()
                client.close()
                if ready:
                    return process
            except (OSError, asyncio.TimeoutError):
                pass
            if time.time() > deadline or process.returncode is not None:
                raise RuntimeError(f"router {name} is not ready")
            await asyncio.sleep(0.1)

    async def start_program(self, arguments, label):
        """Starts another command of the project."""
        return await self._spawn([".venv/bin/python", "-m", "hookrouter", *arguments], dict(os.environ), label)

    async def _spawn(self, command, environment, label):
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        self.processes.append(process)
        process.lines = []

        async def read():
            while line := await process.stdout.readline():
                process.lines.append(line.decode("utf-8", "replace").rstrip())
                self.record(f"[{label}] {process.lines[-1]}")

        process.reading = asyncio.ensure_future(read())
        self.record(f"started {label}: pid {process.pid}")
        return process

    async def client(self, process):
        client = await Client(self, process.port).connect()
        self.clients.append(client)
        return client


def new_object():
    return "%016x" % random.getrandbits(64)


def main(folder, play, limit_s=110):
    """Runs a case: play(rig) returns HELD or BROKEN; anything else that happens counts as not run."""

    async def run():
        async with Rig(folder) as rig:
            rig.record("with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")
            try:
                result = await asyncio.wait_for(play(rig), limit_s)
            except Exception as error:  # noqa: BLE001 the case could not run
                rig.record.verdict(f"could not run: {type(error).__name__}: {error}")
                result = COULD_NOT_RUN
            rig.record.verdict({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(result, "not run"))
            return result

    def stop(*_):
        raise SystemExit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    sys.exit(asyncio.run(run()))
