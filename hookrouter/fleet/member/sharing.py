"""State shared among routers: runs decisions/sharing over the member's datagrams and streams."""

import msgspec
from twisted.internet.defer import DeferredList

from ...clock import steady
from ...decisions.sharing import protocol, soft_state
from ...decisions.sharing.exchange import Exchange
from ...decisions.view.protocol import DEAD
from ...errors.wire import DatagramTooLong
from ..wire.post import Parcel
from .list_transfers import ListTransfers
from .roster import SHARING_ROLE_SUFFIX

LOADS = "load"  # topic of the exchange's datagrams
SOFT_STATE = "soft"  # topic of the list that a starting router pulls
MAX_POST_BYTES = 900  # bytes in a post of another part
# 250 ms between updates from a changing view: choosing reporters takes some ms at 500 routers.
VIEW_CHECK_INTERVAL = 2_500
LENDERS = 2  # routers of the zone that a starting router pulls from

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(protocol.Message).decode
decode_soft_state = msgspec.msgpack.Decoder(soft_state.SoftState).decode


class Sharing:
    """Exchanges loads with the routers of the zone and takes over their soft state at startup.

    state: the router's side. loads(now): [(cache, source or "", sends in flight, sends started per second)];
    learnt() and adopt([SoftState]): export and import of soft state; listed(): whether the caches are known;
    wait(bool): sets whether the router is not ready yet.
    """

    def __init__(self, reactor, log, section, member, state):
        self.reactor, self.log, self.member, self.state = reactor, log, member, state
        self.terms = protocol.Terms(
            silent_after=section["silent after"],
            pull_within=section["pull within"],
            pull_rate=section["lend"],
        )
        self.view = member.roster.view
        local_member = self.view.local_member
        self.exchange = Exchange(self.terms, local_member.name, local_member.life, local_member.life)
        self.transfers = ListTransfers(reactor, self.terms, steady, self._send_piece, self.count)
        self.subscribers, self.listeners = {}, []
        self.seen_digest, self.timer, self.stopped = None, None, False
        # ready_deadline, next_view_check: tenths of a millisecond of the monotonic clock
        self.ready_deadline, self.pull_started, self.next_view_check = None, False, 0
        self.subscribe(LOADS, self._on_message)
        self.lend(SOFT_STATE, lambda: encode(self.state.learnt()))

    # ---- for other parts of the member

    def subscribe(self, topic, handler):
        """Calls handler(now, sender, generation, data) for each Post of the topic from a live member."""
        self.subscribers[topic] = handler

    def post(self, name, topic, data):
        """Returns whether it was sent; it may still be lost. Raises DatagramTooLong over 900 bytes."""
        if len(data) > MAX_POST_BYTES:
            raise DatagramTooLong(f"{len(data)} bytes of {topic}, {MAX_POST_BYTES} at most")
        return self._post(name, topic, data)

    def add_listener(self, listener):
        """Calls listener.summary_changed(now, Summary) for each cache with news, twice a second."""
        self.listeners.append(listener)

    def lend(self, topic, provider):
        """provider(): returns the bytes of a list that other members may pull, or None."""
        self.transfers.providers[topic] = provider

    def pull(self, name, topic, timeout=None):
        """Returns a Deferred of the bytes of that member's list, or of None after the timeout."""
        return self.transfers.pull(name, topic, self.terms.pull_within if timeout is None else timeout)

    def neighbours(self):
        """Names of the other sharing routers of the zone, in no particular order."""
        return list(self.exchange.neighbours)

    # ---- lifecycle

    def start(self):
        """Starts; the router is not ready until neighbours sent soft state or the timeout expired."""
        self.member.roster.on_post = self._on_post
        self.member.on_parcel = self.transfers.on_parcel
        self.member.peers.find_address = self._find_address
        if self.terms.pull_within:
            self.ready_deadline = steady() + self.terms.pull_within
            self.state.wait(True)
            self.reactor.callLater(self.terms.pull_within / 10_000, self._finish_start)
        self._tick()

    def _pull_soft_state(self, now):
        """Pulls soft state from up to two neighbours once the first is known."""
        if (
            self.ready_deadline is None
            or self.pull_started
            or not self.exchange.neighbours
            or not self.state.listed()
        ):
            return
        self.pull_started = True
        names = self.exchange.random.sample(
            self.exchange.neighbours, min(LENDERS, len(self.exchange.neighbours))
        )
        remaining = max(1, self.ready_deadline - now)
        DeferredList([self.pull(name, SOFT_STATE, remaining) for name in names]).addCallback(
            self._on_soft_state, names
        )

    def _on_soft_state(self, results, names):
        states = []
        for _, data in results:
            try:
                states += [decode_soft_state(data)] if data is not None else []
            except msgspec.MsgspecError:
                self.count("parcels_malformed")
        if self.stopped:
            return
        if states:
            rows = self.state.adopt(states)
            self.log("took over what neighbours learnt", rows=rows, lenders=",".join(names))
        self._finish_start()

    def _finish_start(self):
        if self.ready_deadline is not None and not self.stopped:
            self.ready_deadline = None
            self.state.wait(False)

    def stop(self):
        """Stops the exchange and all transfers."""
        self.stopped = True
        self.transfers.stop()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    # ---- the exchange

    def _tick(self):
        now = steady()
        self._update_neighbours(now)
        self._pull_soft_state(now)
        self.exchange.take(now, protocol.OwnLoads(self.state.loads(now)))
        self._apply(now, self.exchange.take(now, protocol.Tick()))
        if not self.stopped:
            self.timer = self.reactor.callLater(
                max(0.01, (self.exchange.alarm() - steady()) / 10_000), self._tick
            )

    def _update_neighbours(self, now):
        """Passes the zone's routers to the exchange if the view has changed."""
        if self.seen_digest != self.view.digest and now >= self.next_view_check:
            self.seen_digest, self.next_view_check = self.view.digest, now + VIEW_CHECK_INTERVAL
            generations = {}
            for row in sorted(self.view.alive(), key=lambda row: row.key):
                if row.zone == self.view.local_member.zone and row.role.endswith(SHARING_ROLE_SUFFIX):
                    generations[row.name] = row.life  # of two generations the later
            self.exchange.take(now, protocol.LivingRouters(generations))

    def _apply(self, now, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send):
                self._post(effect.name, LOADS, encode(effect.message))
            else:
                for listener in self.listeners:
                    for summary in effect.summaries:
                        listener.summary_changed(now, summary)

    def _on_message(self, now, name, generation, data):
        try:
            message = decode(data)
        except msgspec.MsgspecError:
            self.count("shared_malformed")
            return
        self._update_neighbours(now)
        self._apply(now, self.exchange.take(now, protocol.Received(name, generation, message)))

    # ---- the wire

    def _member_row(self, name):
        keys = self.view.keys_by_name.get(name, ())
        rows = [row for row in map(self.view.members.get, sorted(keys)) if row.state < DEAD]
        return rows[-1] if rows else None

    def _find_address(self, name):
        row = self._member_row(name)
        return None if row is None else row.address

    def _post(self, name, topic, data):
        row = self._member_row(name)
        if row is None or self.stopped:
            return False
        self.member.roster.post(row, topic, data)
        self.count("shared_posts")
        self.count("shared_bytes", len(data))
        return True

    def _send_piece(self, name, data):
        self.member.peers.send(name, Parcel("list", data))

    def _on_post(self, name, generation, post):
        handler, row = self.subscribers.get(post.topic), self.view.members.get((name, generation))
        if handler is None or row is None or row.state >= DEAD:
            self.count("shared_refused")
        elif not self.stopped:
            handler(steady(), name, generation, post.data)

    def describe(self):
        """For operators: the reporters, and the other routers' loads by cache."""
        now, exchange = steady(), self.exchange
        exchange.now = max(now, exchange.now)
        return {
            "zone": self.view.local_member.zone,
            "routers": len(exchange.neighbours) + 1,
            "speaker": exchange.own_reporter,
            "counts": dict(exchange.counts),
            "tellers": [
                [
                    name,
                    reporter.life,
                    reporter.number,
                    reporter.member_count,
                    (now - reporter.reported_at) // 10,
                ]
                for name, reporter in sorted(exchange.table.reporters.items())
            ],
            "caches": [
                [
                    summary.cache,
                    round(summary.others_in_flight, 2),
                    round(summary.others_rate, 2),
                    summary.age // 10,
                    summary.covered_routers,
                    summary.other_routers,
                    summary.uncertain,
                ]
                for summary in exchange.summaries()
            ],
        }

    def count(self, name, by=1):
        """Adds to a counter of the member."""
        counters = self.member.roster.counters
        counters[name] = counters.get(name, 0) + by
