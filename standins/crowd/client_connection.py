"""One connection of clients to a router: framed Thrift, calls in flight, each answer counted once."""

import asyncio
import time

from hookrouter.parsers import thrift

from . import objects

CROSSED = 0.05  # seconds before a close within which a request may have crossed it


class Connection(asyncio.Protocol):
    """clients: told of ends. ended: a future for the end of the connection that is up."""

    def __init__(self, clients, router):
        self.clients, self.router = clients, router
        self.up, self.away, self.open, self.seqid, self.transport = False, 0.0, {}, 0, None
        self.ended = None

    def connection_made(self, transport):
        self.transport, self.frames, self.seqid = transport, thrift.Frames(10_000_000), 1
        self.open, self.done = {}, set()
        self.ended = asyncio.get_running_loop().create_future()
        transport.write(
            b"".join(thrift.message(thrift.CALL, b"check", 1, thrift.field(thrift.BOOL, 1) + b"\x01\x00"))
        )

    def connection_lost(self, reason):
        self.up = False
        now, open_, self.open = time.time(), self.open, {}
        for lookup in open_.values():
            if reason is None and now - lookup.sent < CROSSED and not lookup.tries:
                lookup.tries = 1
                asyncio.get_running_loop().call_soon(self._again, lookup)
            else:
                self.clients.end(lookup, "lost")
        if not self.ended.done():
            self.ended.set_result(None)

    def _again(self, lookup):
        """A request that crossed an idle connection's close goes out once more, on another."""
        for other in self.router.connections:
            if other.up and not lookup.over:
                other.send(lookup)
                return
        self.clients.end(lookup, "unsent")

    def send(self, lookup):
        fields = {
            "service": lookup.kind,
            "ref": lookup.ref,
            "allow": str(lookup.allow),
            "lookup": lookup.object,
            "part": str(lookup.part),
            "group": str(objects.group(lookup.object)),
            "room": str(objects.size(lookup.object)),
        }
        if objects.KINDS[lookup.kind][0] == "guarded":
            fields["replay"] = lookup.key
        if lookup.dup:
            fields["dup"] = "1"
        self.seqid += 1
        self.open[self.seqid] = lookup
        struct = (
            thrift.field(thrift.MAP, 1)
            + thrift.fields_of(fields)
            + thrift.field(thrift.STRING, 2)
            + thrift.string(b"w" * 100 if objects.KINDS[lookup.kind][1] else b"")
            + b"\x00"
        )
        self.transport.write(b"".join(thrift.message(thrift.CALL, b"execute", self.seqid, struct)))
        lookup.sent = time.time()

    def withdraw(self, lookup, how):
        """It is not waited for any more."""
        if lookup.over:
            return
        for seqid, held in self.open.items():
            if held is lookup:
                del self.open[seqid]
                self.done.add(-seqid)  # an answer that crosses is no second one
                self.transport.write(
                    b"".join(
                        thrift.message(
                            thrift.ONEWAY,
                            b"interrupt",
                            seqid,
                            thrift.field(thrift.I32, 1) + thrift.INT_AT.pack(seqid) + b"\x00",
                        )
                    )
                )
                break
        self.clients.end(lookup, how)

    def data_received(self, data):
        try:
            for frame in self.frames.feed(data):
                self._came(thrift.Message(frame))
        except thrift.Malformed as wrong:
            self.clients.bad.append((str(wrong), self.router.name))
            self.transport.abort()

    def _came(self, message):
        struct = None if message.kind == thrift.EXCEPTION else message.arguments()
        if message.name == b"check":
            good = struct is not None and bool(struct.get(0, {}).get(3))
            self.up = good
            if good:
                self.router.admitted = True
            else:
                self.transport.close()
            return
        lookup = self.open.pop(message.seqid, None)
        if lookup is None:
            if -message.seqid in self.done:
                self.done.remove(-message.seqid)
            else:
                self.clients.twice.append((message.seqid, self.router.name))
            return
        if struct is not None and 1 in struct and struct[1].get(1, {}).get(b"cooldown"):
            self.away = time.time() + int(struct[1][1][b"cooldown"]) / 1_000
        self.clients.answered(lookup, struct)
