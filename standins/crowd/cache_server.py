"""The HTTP/1.1 server of one simulated cache, and its faults: refused, reset, silent or unreachable."""

import asyncio
import socket

from . import objects
from .cache_work import CacheRequest
from .caches import OVERLOAD_DOWN_SECONDS

STATUS_LINES = {
    200: b"HTTP/1.1 200 OK\r\n",
    304: b"HTTP/1.1 304 Not Modified\r\n",
    404: b"HTTP/1.1 404 Miss\r\n",
    409: b"HTTP/1.1 409 Late\r\n",
    500: b"HTTP/1.1 500 Error\r\n",
    503: b"HTTP/1.1 503 Full\r\nX-Declined: 1\r\n",
    504: b"HTTP/1.1 504 Over\r\nX-Declined: 1\r\n",
}
BACKLOG = 512
MAX_REQUEST = 300_000  # bytes of one request


class Connection(asyncio.Protocol):
    """One connection of a router; serves one request at a time."""

    def __init__(self, server):
        self.server, self.buffer, self.job, self.last_active = server, b"", None, 0.0
        self.transport = None

    def connection_made(self, transport):
        """A vanished cache does not read from new connections."""
        self.transport = transport
        self.last_active = self.server.loop.time()
        self.server.connections.add(self)
        if self.server.cache.state == "vanished":
            transport.pause_reading()

    def connection_lost(self, reason):
        """Cancels the lookup in progress."""
        self.server.connections.discard(self)
        if self.job is not None:
            self.job.cancel()
            self.job = None

    def data_received(self, data):
        """Parses the next request; aborts connections that send too much."""
        self.last_active = self.server.loop.time()
        self.buffer = self.buffer + data if self.buffer else data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self.job is not None:
            if len(self.buffer) > MAX_REQUEST:
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
        self._handle_request(lines[0].split(" ")[1], fields)

    def _handle_request(self, target, fields):
        cache, segments = self.server.cache, target.split("/")
        if target in ("/ping", "/busy"):
            if cache.state == "up":
                self._write(200, (f"X-Stats: {cache.load()}",) if target == "/busy" else ())
            return
        try:
            request = CacheRequest(segments[2], segments[3], int(segments[4]), fields["x-trace"], fields)
            objects.KINDS[request.kind]
        except (LookupError, ValueError):
            self.server.invalid_targets.append(target)
            self._write(500)
            return
        if request.source is not None and request.source not in cache.caches:
            self.server.invalid_targets.append(f"{target} from {request.source}")
        self.job = job = cache.serve(
            request, lambda status, created_ms, note: self._reply(request, status, created_ms, note)
        )
        if job.ended:
            self.job = None

    def _reply(self, request, status, created_ms, note):
        self.job = None
        if self.transport.is_closing():
            return
        fields = [f"X-Stats: {self.server.cache.load()}"] if self.server.report_inline else []
        body = b""
        if status == 200:
            body = objects.body(request.kind, request.object, request.part, created_ms)
            fields += (f"X-Rev: {created_ms:x}", f"X-Since-Ms: {created_ms}", f"X-Result: {note}")
        self._write(status, fields, body)

    def _write(self, status, fields=(), body=b""):
        header = "".join(f"{field}\r\n" for field in fields)
        self.transport.write(
            STATUS_LINES[status] + f"{header}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )


class CacheServer:
    """Owns the port of a cache and its connections.

    idle_timeout: seconds; report_inline: whether answers carry X-Stats.
    """

    def __init__(self, cache, port, idle_timeout, report_inline):
        self.cache, self.port, self.idle_timeout, self.report_inline = (
            cache,
            port,
            idle_timeout,
            report_inline,
        )
        self.loop, self.connections, self.server, self.backlog_fillers, self.invalid_targets = (
            cache.loop,
            set(),
            None,
            [],
            [],
        )
        cache.on_overload = self.crash

    async def open(self):
        """Listens, unless it does so already."""
        if self.server is None:
            self.server = await self.loop.create_server(
                lambda: Connection(self), "127.0.0.1", self.port, backlog=BACKLOG, reuse_address=True
            )

    def close_all(self):
        """Resets all connections and refuses new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            if connection.transport is not None:
                sock = connection.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.transport.abort()

    def crash(self):
        """Takes an overloaded cache down for OVERLOAD_DOWN_SECONDS; it is as cold as before afterwards."""
        self.cache.state = "down"
        self.close_all()
        self.cache.clear_all()
        self.loop.call_later(OVERLOAD_DOWN_SECONDS, self._recover)

    def _recover(self):
        if self.cache.state == "down":
            self.cache.state = "up"
            self.loop.create_task(self.open())

    def vanish(self):
        """Leaves open connections silent and lets new ones time out, by filling the listen backlog."""
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
        """Answers neither the open lookups nor new ones."""
        self.cache.state = "hung"
        for job in list(self.cache.jobs):
            if job.timer is not None:
                job.timer.cancel()

    async def heal(self):
        """Ends a fault: resets all connections and serves again with the copies it has."""
        for filler in self.backlog_fillers:
            filler.close()
        self.backlog_fillers = []
        self.close_all()
        for job in list(self.cache.jobs):
            job.cancel()
        self.cache.fills.clear()
        self.cache.state, self.cache.slowdown = "up", 1.0
        await self.open()

    def close_idle(self):
        """Closes connections that have been idle for too long."""
        limit = self.loop.time() - self.idle_timeout
        for connection in list(self.connections):
            if connection.job is None and connection.last_active < limit and self.cache.state == "up":
                connection.transport.close()
