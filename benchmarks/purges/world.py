"""A made-up fleet under purges in simulated time, and a plain model of which copies may answer.

The desk's and the routers' decisions are the real ones (hookrouter/purges); network, disk, clocks, caches
and the origin are played here and go wrong at random. The model knows true times and judges each answer by
two rules: nothing begun after a purge's stated time is answered from an older copy, and nothing that a
router answers a grace after it was told is older. Times are whole tenths of a millisecond of true time.
"""

import heapq
from random import Random

from hookrouter.purges import Guard, Position, types
from hookrouter.purges.catalogue import Catalogue
from hookrouter.purges.place import Place
from hookrouter.purges.retention.archive import Archive
from hookrouter.purges.tail import Tail

from .desk import Desk
from .followers import Relay, Router
from .shapes import GRACE, GROUPS, HOLD, KINDS, OBJECTS, SEALED, SECOND, SKEW, TAGS, concerns, shape_of

UNLISTED = 10  # purges sealed since slices were listed, where few are kept one by one


class World:
    def __init__(self, seed, make_guard=Guard, make_place=Place, make_tail=Tail, **shape):
        """make_...: of parts that tests replace by mistaken ones. shape: fields of Shape that are fixed."""
        self.dice = Random(seed)
        self.shape = shape_of(self.dice)._replace(**shape)
        self.make_place, self.tail_of = make_place, make_tail
        self.slices = self.slices_lost = 0  # taken in by followers; that were not to be had any more
        self.now, self.count, self.heap = 0, 0, []
        self.breaks, self.answers, self.rejected, self.nacked, self.stated = [], 0, 0, 0, 0
        self.given = {}  # number -> the purge that the model saw acknowledged under it
        self.told = {}  # purge's number -> Told
        self.in_effect = []  # (true time, Told): stated by the desk
        self.lost_by_restore = 0
        self.origin_off = self.dice.randint(-SKEW // 2, SKEW // 2)
        self.caches = [{} for _ in range(4)]  # kind, object -> true time the origin gave it out
        self.liars = [self.dice.random() < self.shape.liars for _ in self.caches]
        self.make_guard = make_guard
        self.desk = Desk(self)
        ups = [self.desk] + [Relay(self, f"relay{n}", self.desk) for n in range(self.shape.relays)]
        self.relays = ups[1:]
        self.routers = [Router(self, f"r{n}", self.dice.choice(ups)) for n in range(self.shape.routers)]

    def make_tail(self, epoch):
        """The order as desk and relays hold it: with few purges one by one, the others sealed."""
        made = self.tail_of(
            HOLD, epoch, recent=self.shape.recent, names=self.shape.recent, archive=Archive(HOLD, SEALED)
        )
        if self.shape.recent < UNLISTED:
            made.catalogue = Catalogue(made.archive, UNLISTED, most_former=0)
        return made

    # ---- time

    def after(self, span, call, *args):
        self.count += 1
        heapq.heappush(self.heap, (self.now + max(0, int(span)), self.count, call, args))

    def delay(self):
        """Of one message: mostly a millisecond or two, seldom a second."""
        return (
            int(self.dice.expovariate(1 / 20)) + 5
            if self.dice.random() < 0.97
            else self.dice.randint(0, SECOND)
        )

    def chance(self, rate, step):
        return self.dice.random() < rate * step / SECOND

    def run(self):
        self.after(0, self._trouble)
        for node in (self.desk, *self.relays, *self.routers):
            self.after(0, node.start)
        self.after(self.dice.randint(0, SECOND), self._purge)
        while self.heap and self.now < self.shape.span:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        return self.breaks

    def _trouble(self):
        """Ten times a second something may go wrong somewhere."""
        step, shape = 1_000, self.shape
        if self.desk.up and self.chance(shape.kills, step):
            self.desk.kill()
        for node in (*self.relays, *self.routers):
            if node.link is not None and self.chance(shape.cuts, step):
                node.link.cut()
            if self.chance(shape.restarts, step):
                node.restart()
        for router in self.routers:
            if self.chance(shape.pauses, step):
                router.paused_until = max(router.paused_until, self.now + self.dice.randint(100, 10 * SECOND))
        if shape.ends:
            for node in (*self.relays, *self.routers):
                if not node.away and self.chance(shape.ends, step):
                    node.end()
        self.after(step, self._trouble)

    def _purge(self):
        dice = self.dice
        kind = dice.choice(types.KINDS)
        name = dice.choice(OBJECTS)
        what = {
            types.OBJECT: name,
            types.GROUP: str(GROUPS[name]),
            types.TAG: dice.choice(TAGS[name]),
            types.PREFIX: f"{dice.choice(KINDS)}/{name[0]}",
            types.GLOB: f"*/{name[0]}?",
            types.REGEX: f"clip/[0-9]{name[1]}",
        }
        self.desk.submit(f"k{self.count}", ((kind, what[kind]),))
        self.after(dice.expovariate(self.shape.purges) * SECOND, self._purge)

    # ---- the origin and the caches

    def fetch(self, kind, name, oldest, true):
        """(true time the origin gave it out, for how long this took). oldest: the bound asked for, true: of
        now.
        """
        n = self.dice.randrange(len(self.caches))
        cache = self.caches[n]
        made = cache.get((kind, name))
        told = None if made is None else made + self.origin_off
        if made is not None and (told >= oldest or self.liars[n]):
            return made, self.delay()
        took = self.delay() + self.dice.randint(50, 3_000)
        if self.dice.random() < 0.3:  # it joins a fill that is under way
            made = true - self.dice.randint(0, 300)
            if made + self.origin_off >= oldest or self.liars[n]:
                cache[kind, name] = made
                return made, took
        made = true + self.dice.randint(0, took)
        self.after(made - true, cache.__setitem__, (kind, name), made)
        return made, took

    # ---- judged

    def acknowledged(self, purges, repeated):
        for purge in purges:
            number = Position(purge.epoch, purge.n)
            if self.given.get(number, purge) != purge:
                self.breaks.append(f"number {number} given twice")
            self.given[number] = purge

    def judge(self, router, kind, name, made, began):
        """An answer leaves router now for a lookup begun then, with a copy of that true time."""
        self.answers += 1
        for at, purge in self.in_effect:
            if began >= at and made < purge.at and concerns(purge, kind, name):
                self.breaks.append(
                    f"{router.name} at {self.now}: {kind}/{name} of {made} begun at {began}, "
                    f"purged at {purge.at} by {purge.kind} {purge.what}, "
                    f"stated in effect at {at}"
                )
        for at, purge in router.heard:
            if self.now >= at + GRACE and made < purge.at and concerns(purge, kind, name):
                self.breaks.append(
                    f"{router.name} at {self.now}: {kind}/{name} of {made}, "
                    f"purged at {purge.at}, told at {at}, over a grace ago"
                )
