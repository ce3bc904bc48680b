"""A client connection to a router: framed Thrift, pending calls, a check that each is answered once."""

import asyncio
import time

from hookrouter.parsers import thrift

from . import objects

CLOSE_RACE_SECONDS = 0.05  # seconds before a close in which a request may not have been read


class Connection(asyncio.Protocol):
    """One connection; clients receives the outcomes. ended: a future for its end."""

    def __init__(self, clients, router):
        self.clients, self.router = clients, router
        self.is_up, self.cooldown_until, self.pending, self.seqid, self.transport = False, 0.0, {}, 0, None
        self.ended = None

    def connection_made(self, transport):
        """Resets the state of the connection and sends a check call."""
        self.transport, self.frames, self.seqid = transport, thrift.Frames(10_000_000), 1
        self.pending, self.withdrawn = {}, set()
        self.ended = asyncio.get_running_loop().create_future()
        transport.write(
            b"".join(thrift.message(thrift.CALL, b"check", 1, thrift.field(thrift.BOOL, 1) + b"\x01\x00"))
        )

    def connection_lost(self, reason):
        """Ends pending lookups as lost, or resends those that raced with a close."""
        self.is_up = False
        now, pending, self.pending = time.time(), self.pending, {}
        for lookup in pending.values():
            if reason is None and now - lookup.sent < CLOSE_RACE_SECONDS and not lookup.tries:
                lookup.tries = 1
                asyncio.get_running_loop().call_soon(self._resend, lookup)
            else:
                self.clients.end(lookup, "lost")
        if not self.ended.done():
            self.ended.set_result(None)

    def _resend(self, lookup):
        """Sends a request that raced with the close of an idle connection once more, on another one."""
        for other in self.router.connections:
            if other.is_up and not lookup.ended:
                other.send(lookup)
                return
        self.clients.end(lookup, "unsent")

    def send(self, lookup):
        """Sends a lookup as an execute call."""
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
        if lookup.is_duplicate:
            fields["dup"] = "1"
        self.seqid += 1
        self.pending[self.seqid] = lookup
        struct = (
            thrift.field(thrift.MAP, 1)
            + thrift.string_map(fields)
            + thrift.field(thrift.STRING, 2)
            + thrift.string(b"w" * 100 if objects.KINDS[lookup.kind][1] else b"")
            + b"\x00"
        )
        self.transport.write(b"".join(thrift.message(thrift.CALL, b"execute", self.seqid, struct)))
        lookup.sent = time.time()

    def withdraw(self, lookup, outcome):
        """Stops waiting for a lookup and sends the router an interrupt for it."""
        if lookup.ended:
            return
        for seqid, pending_lookup in self.pending.items():
            if pending_lookup is lookup:
                del self.pending[seqid]
                self.withdrawn.add(-seqid)  # its answer may be on the way and is not a duplicate
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
        self.clients.end(lookup, outcome)

    def data_received(self, data):
        """Handles the messages in data; malformed ones abort the connection."""
        try:
            for frame in self.frames.feed(data):
                self._handle_message(thrift.Message(frame))
        except thrift.Malformed as error:
            self.clients.corrupt.append((str(error), self.router.name))
            self.transport.abort()

    def _handle_message(self, message):
        struct = None if message.kind == thrift.EXCEPTION else message.arguments()
        if message.name == b"check":
            ready = struct is not None and bool(struct.get(0, {}).get(3))
            self.is_up = ready
            if ready:
                self.router.admitted = True
            else:
                self.transport.close()
            return
        lookup = self.pending.pop(message.seqid, None)
        if lookup is None:
            if -message.seqid in self.withdrawn:
                self.withdrawn.remove(-message.seqid)
            else:
                self.clients.duplicates.append((message.seqid, self.router.name))
            return
        if struct is not None and 1 in struct and struct[1].get(1, {}).get(b"cooldown"):
            self.cooldown_until = time.time() + int(struct[1][1][b"cooldown"]) / 1_000
        self.clients.answered(lookup, struct)
