"""Relays and routers: a place in the order, a lease to renew, and what a router answers with."""

from hookrouter.purges import PurgeTerms
from hookrouter.purges import place as p
from hookrouter.purges.fence import Fence
from hookrouter.purges.followers import Followers, Renewal
from hookrouter.purges.guard import TRIAL_COST
from hookrouter.purges.slice_codec import decode_row
from hookrouter.purges.tail import RESUME

from .links import Link, Publisher
from .shapes import GRACE, GROUPS, HOLD, KINDS, LEASE, OBJECTS, ROUNDING, SEALED, SECOND, SKEW, TAGS


class Follower:
    """What a relay and a router have in common: a place in the order, and a lease to renew."""

    def setup(self, world, name, upstream):
        self.world, self.name, self.upstream = world, name, upstream
        self.link, self.generation, self.life, self.paused_until = None, 0, 0, 0
        self.away = False  # between a planned end and the next start
        self.off = world.dice.randint(-SKEW // 2, SKEW // 2)

    def start(self):
        self.life += 1
        self.generation += 1
        self.away = False
        self.place, self.fetching = self.world.make_place(), None
        self.fresh()
        self._connect(self.life)
        self._renew(self.life)

    def restart(self):
        self._stop()
        self.world.after(self.world.dice.randint(100, SECOND), self.start)

    def end(self):
        """A planned end: it answers nothing more, says so, and starts again after a while."""
        self._stop()
        self.away, dice = True, self.world.dice
        for _ in range(dice.choice((1, 1, 2))):  # the call may be repeated, or come late
            self.world.after(
                self.world.delay(), self.upstream.left, self.name, self.generation, self.relied_on()
            )
        self.world.after(dice.randint(100, dice.choice((1, 12)) * SECOND), self.start)

    def _stop(self):
        if self.link is not None:
            self.link.open = False
            self.upstream.links.discard(self.link)
            self.link = None
        self.life += 1

    def _connect(self, life):
        if life != self.life or self.link is not None:
            return
        if not self.upstream.ready():
            self.world.after(500, self._connect, life)
            return
        self.link = Link(self.world, self.upstream, self)
        self.world.after(self.world.delay(), self._hello, self.link)

    def _hello(self, link):
        if link.open and self.upstream.ready():
            self.upstream.serve(self.place.position, self.place.seen, self.place.whole(), link)
        else:
            link.cut()

    def lost(self, link):
        if link is not self.link:
            return
        self.link = None
        self.place.broken()
        self.world.after(self.world.dice.randint(50, 2_000), self._connect, self.life)

    def came(self, link, word, epoch, *args):
        if self.paused():
            return self.world.after(
                self.paused_until - self.world.now, self.came_late, link, word, epoch, args
            )
        if link is not self.link:
            return None
        if not self.place.epoch(epoch):
            link.cut()
        elif word == "begin":
            self.place.begin(*args)
        elif word == "purge":
            done = self.place.purge(args[0])
            if done == p.APPLY:
                self.apply(args[0])
            elif done == p.CUT:
                link.cut()
        elif word == "end":
            parts = self.place.end(*args)
            if parts is None:
                link.cut()
            else:
                self.snapshot(parts)
                self._fetch(self.life)
        if word != "begin" and self.place.parts is None:
            self.place.goes_on()
            self._fetch(self.life)
        self._renew_now()
        return None

    def _fetch(self, life):
        """The next slice that is missing."""
        row = self.place.catch_up.missing() if life == self.life else None
        if row is not None and self.fetching is None:
            self.fetching = row
            self.world.after(self.world.delay(), self._fetched, life, row)

    def _fetched(self, life, row):
        if life != self.life:
            return
        self.fetching = None
        body, dice = self.upstream.body(row.digest), self.world.dice
        if self.paused() or dice.random() < self.world.shape.loss:  # the answer is lost
            self.world.after(SECOND // 10, self._fetch, life)
        elif body is None:
            self.world.slices_lost += 1
            self.place.list_anew()
            if self.link is not None:
                self.link.cut()
        else:
            self.world.slices += 1
            self.adopt(decode_row(row, body))
            self.place.catch_up.took(row)
            self.world.after(self.world.delay(), self._fetch, life)
            self._renew_now()

    def came_late(self, link, word, epoch, args):
        if link.open:
            self.came(link, word, epoch, *args)

    def paused(self):
        return self.world.now < self.paused_until

    def _renew(self, life):
        if life == self.life:
            if not self.paused():
                self._renew_now()
            self.world.after(LEASE // 4, self._renew, life)

    def _renew_now(self):
        asked, life = self.world.now, self.life

        def back(span, epoch, clock):
            if self.world.dice.random() >= self.world.shape.loss:
                self.world.after(self.world.delay(), self._granted, life, asked, span, epoch, clock)

        if self.world.dice.random() >= self.world.shape.loss:
            self.world.after(
                self.world.delay(),
                self.upstream.renew,
                self.name,
                self.generation,
                self.place.position,
                self.place.seen,
                -1 if self.place.catch_up.pending else self.least(),
                -1 if self.place.catch_up.pending else self.every(),
                isinstance(self, Relay),
                back,
            )

    def _granted(self, life, asked, span, epoch, clock):
        if self.paused():
            self.world.after(
                self.paused_until - self.world.now, self._granted, life, asked, span, epoch, clock
            )
        elif life == self.life and self.place.epoch(epoch):
            self.grant(asked, span, clock)


class Relay(Follower, Publisher):
    def __init__(self, world, name, upstream):
        self.setup(world, name, upstream)
        self.links, self.names = set(), {}
        self.fresh()

    def ready(self):
        return self.tail.epoch > 0 and not self.place.catch_up.pending and not self.away

    def end(self):
        for link in sorted(self.links, key=lambda link: link.follower.name):
            link.cut()
        super().end()

    def relied_on(self):
        return self.followers.relied_on(self.world.now)

    def left(self, name, generation, relied_on):
        """A follower says that it has ended."""
        if not self.away and self.followers.left(name, generation, relied_on):
            self.names.pop(name, None)

    def fresh(self):
        for router in getattr(self.world, "routers", ()):
            if router.link is not None and router.link.upstream is self:
                router.link.cut()
        self.links = set()
        self.tail, self.fence = self.world.make_tail(0), Fence(LEASE)
        self.followers = Followers(LEASE, SKEW, ROUNDING, self.world.now, tuple(self.names.items()), 0)

    def apply(self, purge):
        self.tail.epoch = max(self.tail.epoch, self.place.seen)
        self.tail.add(purge)
        self.publish([purge])

    def snapshot(self, parts):
        self.tail.epoch = self.place.seen
        self.tail.take(parts, self.place.position)
        self.followers.other_branch()
        for link in sorted(self.links, key=lambda link: link.follower.name):
            link.cut()

    def adopt(self, state):
        self.tail.merge(state)

    def grant(self, asked, span, clock):
        self.tail.epoch = max(self.tail.epoch, self.place.seen)
        self.fence.at(self.world.now)
        self.fence.granted(asked, span)

    def every(self):
        _, every = self.followers.least(self.world.now)
        return self.place.position.n if every is None else every

    def least(self):
        live, _ = self.followers.least(self.world.now)
        return self.place.position.n if live is None else min(live, self.place.position.n)

    def renew(self, follower, generation, position, seen, least, every, relay, answer):
        if self.away:
            return
        self.fence.at(self.world.now)
        left = self.fence.left()
        on_branch = self.tail.place(position, seen) == RESUME
        renewal = Renewal(follower, generation, on_branch, least, every, SKEW, relay)
        span = self.followers.renew(self.world.now, renewal, self.tail.newest.n, left)
        if span is not None:
            self.names[follower] = generation
            answer(span, self.tail.epoch, self.world.now + self.off)


class Router(Follower):
    def __init__(self, world, name, upstream):
        self.setup(world, name, upstream)
        self.fresh()
        world.after(0, self._lookup)

    def fresh(self):
        terms = PurgeTerms(
            lease=LEASE,
            hold=HOLD,
            grace=GRACE,
            skew=SKEW,
            fenced=self.world.shape.fenced,
            most_names=10,
            most_tagged=12,
            most_sealed=SEALED,
        )
        self.guard = self.world.make_guard(terms)
        self.guard.judged = KINDS  # each answer is judged before it is given on
        self.heard, self.own = [], {}

    def clock(self):
        return self.world.now + self.off

    def apply(self, purge):
        self.guard.told(self.clock(), purge)
        self.heard.append((self.world.now, self.world.told[purge.epoch, purge.n]))

    def snapshot(self, parts):
        for purge in parts:
            self.apply(purge)

    def adopt(self, state):
        for _ in self.guard.adopt(self.clock(), state):
            pass

    def grant(self, asked, span, clock):
        self.guard.at(self.world.now)
        self.guard.clock(asked + self.off, self.clock(), clock)
        self.guard.granted(asked, span)

    def every(self):
        return self.place.position.n

    least = every

    def relied_on(self):
        return False

    def _lookup(self):
        world = self.world
        world.after(world.dice.expovariate(1 / 400), self._lookup)
        if self.paused() or self.away:
            return
        kind, name = world.dice.choice(KINDS), world.dice.choice(OBJECTS)
        self.guard.at(world.now)
        if self.guard.shut():
            world.nacked += 1
            return
        oldest = self.guard.oldest(self.clock(), kind, name, GROUPS[name])
        own = self.own.get((kind, name))
        if own is not None and own + world.origin_off >= oldest:
            world.judge(self, kind, name, own, world.now)
            return
        self.guard.trials = TRIAL_COST  # as if earned: what is safe does not rest on that
        oldest = self.guard.oldest(self.clock(), kind, name, GROUPS[name], first_send=True)
        made, took = world.fetch(kind, name, oldest, world.now)
        world.after(took, self._answered, self.life, kind, name, made, world.now)

    def _answered(self, life, kind, name, made, began):
        world = self.world
        if self.paused():
            world.after(self.paused_until - world.now, self._answered, life, kind, name, made, began)
            return
        if life != self.life:
            return
        self.guard.at(world.now)
        told = made + world.origin_off
        tags = TAGS[name] if world.dice.random() < 0.7 else None
        if self.guard.shut():
            world.nacked += 1
        elif self.guard.judge(self.clock(), began + self.off, kind, name, GROUPS[name], told, tags):
            world.rejected += 1
        else:
            if told >= self.guard.oldest(self.clock(), kind, name, GROUPS[name]):
                self.own[kind, name] = made
            world.judge(self, kind, name, made, began)
