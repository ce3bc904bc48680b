"""A member's part in what the fleet shares: decisions of decisions/sharing on its datagrams and streams."""

import msgspec
from twisted.internet.defer import DeferredList

from ...decisions.sharing import protocol, soft_state
from ...decisions.sharing.exchange import Exchange
from ...decisions.view.protocol import DEAD
from ...errors.wire import DatagramTooLong
from ...feed.purges import steady
from ..wire.post import Parcel
from .lists import Lists
from .roster import SHARES

LOADS = "load"  # the topic of the exchange's own datagrams
SOFT = "soft"  # the topic of the list that a starter pulls
MOST_DATA = 900  # bytes of another part's post
LOOK_EVERY = 2_500  # 250 ms between looks at a view that changes: who speaks for whom costs some ms at 500
LENDERS = 2  # neighbours of the zone whom a starter asks

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(protocol.Message).decode
read_learnt = msgspec.msgpack.Decoder(soft_state.SoftState).decode


class Sharing:
    """state: what the router tells and takes over. loads(now): [(cache, source or "", sends out, sends
    started a second)]; learnt() and adopt([SoftState]): soft state, once it has listed() its caches;
    wait(bool): whether it is not ready yet.
    """

    def __init__(self, reactor, log, section, member, state):
        self.reactor, self.log, self.member, self.state = reactor, log, member, state
        self.terms = protocol.Terms(
            silent_after=section["silent after"],
            pull_within=section["pull within"],
            pull_rate=section["lend"],
        )
        self.view = member.roster.view
        me = self.view.local_member
        self.exchange = Exchange(self.terms, me.name, me.life, me.life)
        self.lists = Lists(reactor, self.terms, steady, self._parcel, self.count)
        self.subscribers, self.listeners = {}, []
        self.seen, self.call, self.stopped = None, None, False
        self.wait_until, self.pulling, self.look_at = None, False, 0  # of a start; when the view is of use
        self.subscribe(LOADS, self._heard)
        self.lend(SOFT, lambda: encode(self.state.learnt()))

    # ---- for other parts of the member

    def subscribe(self, topic, heard):
        """heard(now, sender_name, sender_life, data) for each Post of that topic from one who lives."""
        self.subscribers[topic] = heard

    def post(self, name, topic, data):
        """Whether it was sent; it may be lost on its way. DatagramTooLong: over 900 bytes."""
        if len(data) > MOST_DATA:
            raise DatagramTooLong(f"{len(data)} bytes of {topic}, {MOST_DATA} at most")
        return self._post(name, topic, data)

    def on_summary(self, listener):
        """listener.news(now, Summary) for each cache of which there is news, twice a second."""
        self.listeners.append(listener)

    def lend(self, topic, make):
        """make(): bytes of the list that others may pull, or None."""
        self.lists.makers[topic] = make

    def pull(self, name, topic, within=None):
        """Deferred of the bytes of that member's list, or of None where they did not come in time."""
        return self.lists.pull(name, topic, self.terms.pull_within if within is None else within)

    def neighbours(self):
        """Names of the others of the zone that share, in no order of worth."""
        return list(self.exchange.neighbours)

    # ---- life

    def start(self):
        """The router is not ready until neighbours lent what they know, or the time for it is over."""
        self.member.roster.posted = self._posted
        self.member.parcelled = self.lists.heard
        self.member.peers.elsewhere = self._where
        if self.terms.pull_within:
            self.wait_until = steady() + self.terms.pull_within
            self.state.wait(True)
            self.reactor.callLater(self.terms.pull_within / 10_000, self._begun)
        self._tick()

    def _begin(self, now):
        """Once a neighbour is known it is asked; two where there are two."""
        if self.wait_until is None or self.pulling or not self.exchange.neighbours or not self.state.listed():
            return
        self.pulling = True
        names = self.exchange.random.sample(
            self.exchange.neighbours, min(LENDERS, len(self.exchange.neighbours))
        )
        left = max(1, self.wait_until - now)
        DeferredList([self.pull(name, SOFT, left) for name in names]).addCallback(self._lent, names)

    def _lent(self, results, names):
        told = []
        for _, data in results:
            try:
                told += [read_learnt(data)] if data is not None else []
            except msgspec.MsgspecError:
                self.count("parcels_malformed")
        if self.stopped:
            return
        if told:
            rows = self.state.adopt(told)
            self.log("took over what neighbours learnt", rows=rows, lenders=",".join(names))
        self._begun()

    def _begun(self):
        if self.wait_until is not None and not self.stopped:
            self.wait_until = None
            self.state.wait(False)

    def stop(self):
        self.stopped = True
        self.lists.stop()
        if self.call is not None and self.call.active():
            self.call.cancel()

    # ---- the exchange

    def _tick(self):
        now = steady()
        self._look(now)
        self._begin(now)
        self.exchange.take(now, protocol.OwnLoads(self.state.loads(now)))
        self._carry(now, self.exchange.take(now, protocol.Tick()))
        if not self.stopped:
            self.call = self.reactor.callLater(
                max(0.01, (self.exchange.alarm() - steady()) / 10_000), self._tick
            )

    def _look(self, now):
        """The zone's routers, where the view has changed."""
        if self.seen != self.view.digest and now >= self.look_at:
            self.seen, self.look_at = self.view.digest, now + LOOK_EVERY
            zone = {}
            for row in sorted(self.view.alive(), key=lambda row: row.key):
                if row.zone == self.view.local_member.zone and row.role.endswith(SHARES):
                    zone[row.name] = row.life  # of two lives the later
            self.exchange.take(now, protocol.LivingRouters(zone))

    def _carry(self, now, effects):
        for effect in effects:
            if isinstance(effect, protocol.Send):
                self._post(effect.name, LOADS, encode(effect.message))
            else:
                for listener in self.listeners:
                    for summary in effect.summaries:
                        listener.news(now, summary)

    def _heard(self, now, name, life, data):
        try:
            message = decode(data)
        except msgspec.MsgspecError:
            self.count("shared_malformed")
            return
        self._look(now)
        self._carry(now, self.exchange.take(now, protocol.Received(name, life, message)))

    # ---- the wire

    def _row(self, name):
        keys = self.view.keys_by_name.get(name, ())
        rows = [row for row in map(self.view.members.get, sorted(keys)) if row.state < DEAD]
        return rows[-1] if rows else None

    def _where(self, name):
        row = self._row(name)
        return None if row is None else row.address

    def _post(self, name, topic, data):
        row = self._row(name)
        if row is None or self.stopped:
            return False
        self.member.roster.post(row, topic, data)
        self.count("shared_posts")
        self.count("shared_bytes", len(data))
        return True

    def _parcel(self, name, data):
        self.member.peers.send(name, Parcel("list", data))

    def _posted(self, name, life, post):
        heard, row = self.subscribers.get(post.topic), self.view.members.get((name, life))
        if heard is None or row is None or row.state >= DEAD:
            self.count("shared_refused")
        elif not self.stopped:
            heard(steady(), name, life, post.data)

    def shown(self):
        """The board for people: who tells, and the others' loads by cache."""
        now, exchange = steady(), self.exchange
        exchange.now = max(now, exchange.now)
        return {
            "zone": self.view.local_member.zone,
            "routers": len(exchange.neighbours) + 1,
            "speaker": exchange.own_reporter,
            "counts": dict(exchange.counts),
            "tellers": [
                [name, teller.life, teller.number, teller.member_count, (now - teller.reported_at) // 10]
                for name, teller in sorted(exchange.table.reporters.items())
            ],
            "caches": [
                [
                    s.cache,
                    round(s.others_in_flight, 2),
                    round(s.others_rate, 2),
                    s.age // 10,
                    s.covered_routers,
                    s.other_routers,
                    s.uncertain,
                ]
                for s in exchange.summaries()
            ],
        }

    def count(self, name, by=1):
        counters = self.member.roster.counters
        counters[name] = counters.get(name, 0) + by
