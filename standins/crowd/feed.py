"""The control feed: numbered server-sent events; each router has its own port, so each can be delayed."""

import asyncio
import json
import time

MAX_DELAY_MS = 7_000  # ms after which an event counts as delivered, even if a router is delayed further
PURGE_RETENTION_MS = 10_000  # ms for which a purge is part of the snapshot for a new router


class Feed:
    """Publishes events; ports: {router: port}, caches: the first members.

    published_ms: Unix ms at which each event was published, whether or not routers have read it.
    """

    def __init__(self, ports, caches):
        self.ports, self.members = ports, {row["name"]: row for row in caches}
        self.events, self.published_ms, self.delay = [], [], {}  # delay: seconds, by router
        self.followers, self.servers, self.stopped = {}, {}, False

    async def start(self):
        """Publishes the first member list and listens on the port of each router."""
        self.publish({"members": {"index": 1, "snapshot": True, "endpoints": list(self.members.values())}})
        for router, port in self.ports.items():
            self.servers[router] = await asyncio.start_server(
                lambda reader, writer, router=router: self._follow(router, reader, writer), "127.0.0.1", port
            )

    def publish(self, event):
        """Publishes an event; returns the Unix ms at which the last router is to receive it."""
        self.events.append({"n": len(self.events) + 1, **event})
        self.published_ms.append(time.time() * 1_000)
        for writers in self.followers.values():
            for wake in writers:
                wake.set()
        return self.published_ms[-1] + min(MAX_DELAY_MS, 1_000 * max(self.delay.values(), default=0.0))

    def update_members(self, *rows):
        """Publishes changed member rows; returns as publish() does."""
        for row in rows:
            self.members[row["name"]] = row
        published_ms = self.publish(
            {"members": {"index": len(self.events) + 1, "snapshot": False, "endpoints": list(rows)}}
        )
        self.members = {name: row for name, row in self.members.items() if row["status"] != "left"}
        return published_ms

    def snapshot(self):
        """Returns the recent purges and the whole member list, as in a router's configuration."""
        oldest_ms = time.time() * 1_000 - PURGE_RETENTION_MS
        purges = [
            event
            for event, published_ms in zip(self.events, self.published_ms)
            if "purge" in event and published_ms > oldest_ms
        ]
        newest = len(self.events)
        return {
            "n": newest,
            "events": [event for event in purges if event["n"] < newest]
            + [
                {
                    "n": newest,
                    "members": {"index": newest, "snapshot": True, "endpoints": list(self.members.values())},
                }
            ]
            + [event for event in purges if event["n"] == newest],
        }

    async def _follow(self, router, reader, writer):
        wake = asyncio.Event()
        self.followers.setdefault(router, set()).add(wake)
        try:
            header = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.lower().split(": ", 1) for line in header.decode().split("\r\n")[1:] if line)
            last_number = int(fields.get("last-event-id", 0))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while not self.stopped and not writer.is_closing():
                wait_seconds = 1.0
                while last_number < len(self.events):
                    wait_seconds = (
                        self.published_ms[last_number] / 1_000 + self.delay.get(router, 0.0) - time.time()
                    )
                    if wait_seconds > 0:
                        break
                    writer.write(
                        b"id: %d\ndata: %s\n\n"
                        % (last_number + 1, json.dumps(self.events[last_number]).encode())
                    )
                    last_number, wait_seconds = last_number + 1, 1.0
                wake.clear()
                try:
                    await asyncio.wait_for(wake.wait(), min(1.0, max(0.01, wait_seconds)))
                except TimeoutError:
                    writer.write(b":\n\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.followers[router].discard(wake)
            writer.close()
