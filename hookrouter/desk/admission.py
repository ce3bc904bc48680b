"""Admission control for the feed of a desk or relay: applies the gate's decisions to HTTP requests.

A waiting request holds its connection and one table row. Whether it gets a snapshot or resumes is determined
when it is admitted, since the order advances while it waits.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Any, NamedTuple

from twisted.internet.interfaces import IReactorTime
from twisted.web import server

from ..clock import steady, unix_milliseconds
from ..decisions.admission import Arrival, Gate, Terms, messages, tickets
from ..log import Log
from ..purges import tail, wire
from .publisher import FollowRequest, Publisher
from .web import json_response

TICK_INTERVAL = 0.01  # seconds between calls of the gate while requests wait
MAX_SHORT_TAIL = 2 * wire.MOST_IN_EVENT  # purges; a follower that lacks more is as costly as a snapshot
UNITS_PER_SECOND = 10_000  # times are in tenths of a millisecond


class WaitingRequest(NamedTuple):
    """A feed request that is queued, or that is being sent its snapshot or tail."""

    request: server.Request
    follow_request: FollowRequest


class Admission:
    """Passes feed requests to the admission gate and applies the gate's effects to them."""

    def __init__(
        self,
        reactor: IReactorTime,
        log: Log,
        sections: Mapping[str, Any],
        publisher: Publisher,
        name: str,
        elsewhere: Callable[[int, int, float], str] | None = None,
    ) -> None:
        """sections: of the operator's file. publisher: the Desk or Relay; the followers that it knows are
        expected to reconnect. elsewhere: see Gate.
        """
        section = sections["admission"]
        secret = section["secret"] or sections["purges"]["secret"]
        terms = Terms(name, unix_milliseconds(), tickets.derive_key(secret.value), section["share"] / 100)
        self.reactor, self.log, self.publisher = reactor, log, publisher
        known_followers = len(publisher.followers.rows)
        self.gate = Gate(terms, steady(), known_followers, Random(), elsewhere)
        self.waiting: dict[int, WaitingRequest] = {}  # by connection id
        self.last_connection_id = 0
        self.tick_call = self.wake_call = None
        self.state = self.gate.state
        if known_followers:
            log("admission: returns are paced", known=known_followers)
            self._schedule_tick(TICK_INTERVAL)

    def facts(self) -> dict[str, Any]:
        """Returns the state of the gate for /v1/status."""
        return self.gate.facts()

    def stop(self) -> None:
        """Cancels the scheduled calls."""
        for delayed in (self.tick_call, self.wake_call):
            if delayed is not None and delayed.active():
                delayed.cancel()

    # ---- events

    def add_request(self, request: server.Request, follow_request: FollowRequest) -> bytes | int:
        """Queues a feed request; returns the result of render. Raises Malformed for an invalid X-Lease."""
        placement = self.publisher.tail.place(follow_request.position, follow_request.highest_epoch)
        if placement == tail.RAISE:
            self.publisher.raise_epoch(follow_request.highest_epoch)
            return json_response(request, 409, {"error": "come again"}, Retry_After=1)
        member = (request.getHeader(b"x-member") or request.getClientAddress().host.encode()).decode(
            "latin-1"
        )
        remaining_lease = request.getHeader(b"x-lease")
        remaining_lease = (
            messages.NO_LEASE
            if remaining_lease is None
            else wire.read_whole(remaining_lease.decode("latin-1"), "X-Lease")
        )
        ticket = (request.getHeader(b"x-ticket") or b"").decode("latin-1")
        self.last_connection_id += 1
        connection_id = self.last_connection_id
        self.waiting[connection_id] = WaitingRequest(request, follow_request)
        request.notifyFinish().addBoth(lambda _: self._disconnected(connection_id))
        transfer_kind = self._transfer_kind(follow_request)
        self._apply(
            self.gate.arrived(
                steady(), Arrival(connection_id, member[:64], transfer_kind, remaining_lease, ticket)
            )
        )
        return server.NOT_DONE_YET

    def _transfer_kind(self, follow_request: FollowRequest) -> str:
        """Returns the kind of transfer by cost: a long tail is no cheaper than a snapshot."""
        order = self.publisher.tail
        is_short = order.newest.n - follow_request.position.n <= MAX_SHORT_TAIL
        return (
            messages.TAIL
            if is_short and order.place(follow_request.position, follow_request.highest_epoch) == tail.RESUME
            else messages.SNAPSHOT
        )

    def _disconnected(self, connection_id: int) -> None:
        if self.waiting.pop(connection_id, None) is not None:
            self._apply(self.gate.disconnected(steady(), connection_id))

    # ---- effects

    def _apply(self, effects: list) -> None:
        for effect in effects:
            waiting_request = self.waiting.get(effect.conn)
            if waiting_request is None:
                self._apply_later(self.gate.disconnected, effect.conn)
            elif isinstance(effect, messages.Admit):
                self._admit(effect.conn, waiting_request)
            elif isinstance(effect, messages.Defer):
                del self.waiting[effect.conn]
                self._send_defer(waiting_request.request, effect)
            else:
                del self.waiting[effect.conn]
                self.publisher.count("followers_shut")
                waiting_request.request.channel.forceAbortClient()
        now = steady()
        due = self.gate.next_wake(now)
        if due is not None and (self.wake_call is None or not self.wake_call.active()):
            self.wake_call = self.reactor.callLater((due - now) / UNITS_PER_SECOND, self._admit_next)
        if self.tick_call is None and not self.gate.is_idle():
            self._schedule_tick(TICK_INTERVAL)
        if self.state != self.gate.state:
            previous_state, self.state = self.state, self.gate.state
            self.log(f"admission: {self.state}", was=previous_state, waiting=len(self.gate.queue))

    def _apply_later(self, handler: Callable, *args: object) -> None:
        """Calls the gate in the reactor's next turn: an admission may complete while the gate still runs."""
        self.reactor.callLater(0, lambda: self.publisher.stopped or self._apply(handler(steady(), *args)))

    def _admit(self, connection_id: int, waiting_request: WaitingRequest) -> None:
        publisher, now = self.publisher, steady()
        self.gate.set_transfer(now, self._transfer_kind(waiting_request.follow_request))
        request = waiting_request.request
        request.setHeader(b"Content-Type", b"text/event-stream")
        request.setHeader(b"Cache-Control", b"no-store")
        request.setHeader(b"X-Fleet", b"%d" % max(self.gate.expected, len(self.gate.returned)))

        def caught_up() -> None:
            self._apply_later(self.gate.completed, connection_id, steady() - now)

        if not publisher.follow(request, waiting_request.follow_request, caught_up):
            del self.waiting[connection_id]
            self._apply_later(self.gate.completed, connection_id, 1)
            request.write(json_response(request, 409, {"error": "come again"}, Retry_After=1))
            request.finish()

    def _send_defer(self, request: server.Request, reply: messages.Defer) -> None:
        fields = {
            "Retry_After": -(-reply.wait // UNITS_PER_SECOND),
            "X_Wait": reply.wait,
            "X_Fleet": reply.fleet_size,
            "X_Late": int(reply.late),
        }
        if reply.ticket:
            fields["X_Ticket"] = reply.ticket
        if reply.elsewhere:
            fields["X_Elsewhere"] = reply.elsewhere
        request.write(json_response(request, 503, {"error": "come when told"}, **fields))
        request.finish()

    # ---- timers

    def _schedule_tick(self, seconds: float) -> None:
        self.tick_call = self.reactor.callLater(seconds, self._tick)

    def _tick(self) -> None:
        self.tick_call = None
        if not self.publisher.stopped:
            self._apply(self.gate.tick(steady()))

    def _admit_next(self) -> None:
        if not self.publisher.stopped:
            self._apply(self.gate.admit_next(steady()))
