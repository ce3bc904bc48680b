"""The listening port of one cache in HTTP/1.1, and how it fails: refused, reset, silent, never up."""

import asyncio
import socket

from . import objects
from .cache_work import CacheRequest
from .caches import DOWN

HEADS = {
    200: b"HTTP/1.1 200 OK\r\n",
    304: b"HTTP/1.1 304 Not Modified\r\n",
    404: b"HTTP/1.1 404 Miss\r\n",
    409: b"HTTP/1.1 409 Late\r\n",
    500: b"HTTP/1.1 500 Error\r\n",
    503: b"HTTP/1.1 503 Full\r\nX-Declined: 1\r\n",
    504: b"HTTP/1.1 504 Over\r\nX-Declined: 1\r\n",
}
BACKLOG = 512
LONGEST = 300_000  # bytes of one request


class Connection(asyncio.Protocol):
    def __init__(self, server):
        self.server, self.buffer, self.job, self.last_active = server, b"", None, 0.0
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.last_active = self.server.loop.time()
        self.server.connections.add(self)
        if self.server.cache.state == "vanished":
            transport.pause_reading()

    def connection_lost(self, reason):
        self.server.connections.discard(self)
        if self.job is not None:
            self.job.give_up()
            self.job = None

    def data_received(self, data):
        self.last_active = self.server.loop.time()
        self.buffer = self.buffer + data if self.buffer else data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self.job is not None:
            if len(self.buffer) > LONGEST:
                self.transport.abort()
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            fields[name.lower()] = value
        length = end + 4 + int(fields.get("content-length", 0))
        if len(self.buffer) < length:
            return
        self.buffer = self.buffer[length:]
        self._asked(lines[0].split(" ")[1], fields)

    def _asked(self, target, fields):
        cache, words = self.server.cache, target.split("/")
        if target in ("/ping", "/busy"):
            if cache.state == "up":
                self._write(200, (f"X-Stats: {cache.load()}",) if target == "/busy" else ())
            return
        try:
            request = CacheRequest(words[2], words[3], int(words[4]), fields["x-trace"], fields)
            objects.KINDS[request.kind]
        except (LookupError, ValueError):
            self.server.void.append(target)
            self._write(500)
            return
        if request.source is not None and request.source not in cache.others:
            self.server.void.append(f"{target} from {request.source}")
        self.job = job = cache.serve(
            request, lambda status, made, note: self._answered(request, status, made, note)
        )
        if job.over:
            self.job = None

    def _answered(self, request, status, made, note):
        self.job = None
        if self.transport.is_closing():
            return
        fields = [f"X-Stats: {self.server.cache.load()}"] if self.server.inline else []
        body = b""
        if status == 200:
            body = objects.body(request.kind, request.object, request.part, made)
            fields += (f"X-Rev: {made:x}", f"X-Since-Ms: {made}", f"X-Result: {note}")
        self._write(status, fields, body)

    def _write(self, status, fields=(), body=b""):
        head = "".join(f"{field}\r\n" for field in fields)
        self.transport.write(HEADS[status] + f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


class CacheServer:
    """Owns the port, its connections and the cache behind it."""

    def __init__(self, cache, port, idle, inline):
        self.cache, self.port, self.idle, self.inline = cache, port, idle, inline
        self.loop, self.connections, self.server, self.backlog_fillers, self.void = (
            cache.loop,
            set(),
            None,
            [],
            [],
        )
        cache.fall_hook = self.fall

    async def open(self):
        if self.server is None:
            self.server = await self.loop.create_server(
                lambda: Connection(self), "127.0.0.1", self.port, backlog=BACKLOG, reuse_address=True
            )

    def shut(self):
        """Connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                sock = connection.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.transport.abort()

    def fall(self):
        """Pushed over: gone for a moment, back as cold as before."""
        self.cache.state = "down"
        self.shut()
        self.cache.empty()
        self.loop.call_later(DOWN, self._stand_up)

    def _stand_up(self):
        if self.cache.state == "down":
            self.cache.state = "up"
            self.loop.create_task(self.open())

    def vanish(self):
        """Open connections stay open and silent, new ones never come up: the queue of the port is full."""
        self.cache.state = "vanished"
        for connection in self.connections:
            connection.transport.pause_reading()
        for job in list(self.cache.jobs):
            if job.timer is not None:
                job.timer.cancel()
        listening = self.server.sockets[0]
        self.loop.remove_reader(listening.fileno())
        self.backlog_fillers = []
        listening._sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.backlog_fillers.append(filler)

    def hang(self):
        """What is out is never answered, nor is what comes."""
        self.cache.state = "hung"
        for job in list(self.cache.jobs):
            if job.timer is not None:
                job.timer.cancel()

    async def heal(self):
        """What was open is reset; it goes on with its copies."""
        for filler in self.backlog_fillers:
            filler.close()
        self.backlog_fillers = []
        self.shut()
        for job in list(self.cache.jobs):
            job.give_up()
        self.cache.fills.clear()
        self.cache.state, self.cache.slow = "up", 1.0
        await self.open()

    def sweep(self):
        """Connections that were idle for too long end."""
        limit = self.loop.time() - self.idle
        for connection in list(self.connections):
            if connection.job is None and connection.last_active < limit and self.cache.state == "up":
                connection.transport.close()
