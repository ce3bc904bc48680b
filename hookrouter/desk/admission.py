"""Who comes to the feed of a desk or relay is admitted one by one: the gate's decisions on requests.

A request that waits holds its connection and one row. What it is given is settled when it is admitted, since
the order moves on while it waits.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, NamedTuple

from twisted.internet.interfaces import IReactorTime
from twisted.web import server

from ..decisions.admission import Arrival, Gate, Terms, messages, tickets
from ..feed.purges import steady
from ..log import Log
from ..purges import tail as t
from ..purges import wire
from .publisher import FollowRequest, Publisher
from .web import answer

TICK = 0.01  # seconds between looks while anybody waits
SHORT = 2 * wire.MOST_IN_EVENT  # purges that a cheap admission is given at most
SECOND = 10_000


class Waiting(NamedTuple):
    """A request of the feed that has not been admitted."""

    request: server.Request
    asked: FollowRequest


class Admission:
    """The gate's host: requests in, its effects carried out on them."""

    def __init__(
        self,
        reactor: IReactorTime,
        log: Log,
        sections: Mapping[str, Any],
        publisher: Publisher,
        name: str,
        elsewhere: Callable[[int, int, float], str] | None = None,
    ) -> None:
        """publisher: the Desk or Relay; its followers are those that will come. elsewhere: see Gate."""
        section = sections["admission"]
        secret = section["secret"] or sections["purges"]["secret"]
        terms = Terms(
            name, int(time.time() * 1_000), tickets.derive_key(secret.value), section["share"] / 100
        )
        self.reactor, self.log, self.publisher = reactor, log, publisher
        known = len(publisher.followers.rows)
        self.gate = Gate(terms, steady(), known, Random(), elsewhere)
        self.conns: dict[int, Waiting] = {}  # by a number of its own, the last of which is last
        self.last = 0
        self.call = self.wake = None
        self.state = self.gate.state
        if known:
            log("admission: returns are paced", known=known)
            self._look_in(TICK)

    def facts(self) -> dict[str, Any]:
        """What /v1/status shows of the gate."""
        return self.gate.facts()

    def stop(self) -> None:
        """Cancels its calls."""
        for call in (self.call, self.wake):
            if call is not None and call.active():
                call.cancel()

    # ---- what comes

    def comes(self, request: server.Request, asked: FollowRequest) -> bytes | int:
        """For a request of the feed; what render gives back. Malformed where its X-Lease is no number."""
        place = self.publisher.tail.place(asked.position, asked.seen)
        if place == t.RAISE:
            self.publisher.raise_epoch(asked.seen)
            return answer(request, 409, {"error": "come again"}, Retry_After=1)
        name = (request.getHeader(b"x-member") or request.getClientAddress().host.encode()).decode("latin-1")
        left = request.getHeader(b"x-lease")
        left = messages.NO_LEASE if left is None else wire.read_whole(left.decode("latin-1"), "X-Lease")
        ticket = (request.getHeader(b"x-ticket") or b"").decode("latin-1")
        self.last += 1
        conn = self.last
        self.conns[conn] = Waiting(request, asked)
        request.notifyFinish().addBoth(lambda _: self._gone(conn))
        how = self._how(asked)
        self._carry(self.gate.arrived(steady(), Arrival(conn, name[:64], how, left, ticket)))
        return server.NOT_DONE_YET

    def _how(self, asked: FollowRequest) -> str:
        """By what it costs: a long tail is no cheaper than a snapshot."""
        tail = self.publisher.tail
        short = tail.newest.n - asked.position.n <= SHORT
        return (
            messages.TAIL
            if short and tail.place(asked.position, asked.seen) == t.RESUME
            else messages.SNAPSHOT
        )

    def _gone(self, conn: int) -> None:
        if self.conns.pop(conn, None) is not None:
            self._carry(self.gate.disconnected(steady(), conn))

    # ---- what is done

    def _carry(self, effects: list) -> None:
        for effect in effects:
            waiting = self.conns.get(effect.conn)
            if waiting is None:
                self._later(self.gate.disconnected, effect.conn)
            elif isinstance(effect, messages.Admit):
                self._admit(effect.conn, waiting)
            elif isinstance(effect, messages.Defer):
                del self.conns[effect.conn]
                self._turn_away(waiting.request, effect)
            else:
                del self.conns[effect.conn]
                self.publisher.count("followers_shut")
                waiting.request.channel.forceAbortClient()
        now = steady()
        due = self.gate.next_wake(now)
        if due is not None and (self.wake is None or not self.wake.active()):
            self.wake = self.reactor.callLater((due - now) / SECOND, self._wake)
        if self.call is None and not self.gate.is_idle():
            self._look_in(TICK)
        if self.state != self.gate.state:
            before, self.state = self.state, self.gate.state
            self.log(f"admission: {self.state}", was=before, waiting=len(self.gate.queue))

    def _later(self, call: Callable, *args: object) -> None:
        """In the reactor's next turn: what was admitted may end before the gate has returned."""
        self.reactor.callLater(0, lambda: self.publisher.stopped or self._carry(call(steady(), *args)))

    def _admit(self, conn: int, waiting: Waiting) -> None:
        publisher, now = self.publisher, steady()
        self.gate.set_transfer(now, self._how(waiting.asked))
        request = waiting.request
        request.setHeader(b"Content-Type", b"text/event-stream")
        request.setHeader(b"Cache-Control", b"no-store")
        request.setHeader(b"X-Fleet", b"%d" % max(self.gate.expected, len(self.gate.returned)))

        def given() -> None:
            self._later(self.gate.completed, conn, steady() - now)

        if not publisher.follow(request, waiting.asked, given):
            del self.conns[conn]
            self._later(self.gate.completed, conn, 1)
            request.write(answer(request, 409, {"error": "come again"}, Retry_After=1))
            request.finish()

    def _turn_away(self, request: server.Request, reply: messages.Defer) -> None:
        fields = {
            "Retry_After": -(-reply.wait // SECOND),
            "X_Wait": reply.wait,
            "X_Fleet": reply.fleet_size,
            "X_Late": int(reply.late),
        }
        if reply.ticket:
            fields["X_Ticket"] = reply.ticket
        if reply.elsewhere:
            fields["X_Elsewhere"] = reply.elsewhere
        request.write(answer(request, 503, {"error": "come when told"}, **fields))
        request.finish()

    # ---- time

    def _look_in(self, seconds: float) -> None:
        self.call = self.reactor.callLater(seconds, self._look)

    def _look(self) -> None:
        self.call = None
        if not self.publisher.stopped:
            self._carry(self.gate.tick(steady()))

    def _wake(self) -> None:
        if not self.publisher.stopped:
            self._carry(self.gate.admit_next(steady()))
