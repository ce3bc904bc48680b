"""Orders of purges with a sealed part: slices merged, sent and taken over, beside a plain list of all purges."""

from random import Random

import pytest
from sealed_mistakes import MISTAKES

from benchmarks.purges.shapes import HOLD, LEASE, SEALED, SKEW
from benchmarks.purges.world import World
from hookrouter.purges import Guard, Position, Purge, PurgeTerms, slice_codec, types
from hookrouter.purges.catch_up import CatchUp
from hookrouter.purges.place import Place
from hookrouter.purges.retention.archive import Archive
from hookrouter.purges.tail import SNAPSHOT, Tail

SECOND = 10_000
TERMS = PurgeTerms(
    lease=LEASE,
    hold=HOLD,
    grace=5_000,
    skew=SKEW,
    fenced=types.YOUNG,
    most_names=6,
    most_tagged=9,
    most_sealed=SEALED,
)

# ---- a follower's part


def row_of(n):
    return slice_codec.Row("object", n, n, n, f"{n:032x}", 1)


def test_nothing_is_fetched_twice_and_all_that_is_sealed_is_held_only_once_the_last_slice_is():
    place = Place()
    place.position = Position(1, 5)
    place.begin([row_of(1), row_of(2)])
    assert place.whole() == (1, 5) and place.end(Position(2, 9), 0) == []
    assert place.position == (2, 9) and place.whole() == (1, 5) and place.catch_up.pending
    catch_up = place.catch_up
    assert catch_up.missing() == row_of(1)
    catch_up.took(row_of(1))
    place.begin([row_of(3)])  # a further snapshot; cut off, it lists nothing
    place.broken()
    assert catch_up.missing() == row_of(2)
    place.list_anew()
    assert place.position == (0, 0) and catch_up.pending and catch_up.missing() is None and catch_up.pending
    place.begin([row_of(3), row_of(1)])
    place.end(Position(2, 11), 0)
    assert place.whole() == (1, 5) and catch_up.missing() == row_of(3)
    catch_up.took(row_of(3))
    assert catch_up.missing() is None and not catch_up.pending and place.whole() == (2, 11)
    place.begin([row_of(1)])  # by now it is not held by its digest any more
    place.end(Position(2, 12), 0)
    assert catch_up.missing() == row_of(1) and place.whole() == (2, 11)


def test_an_order_that_goes_on_from_its_start_has_nothing_sealed():
    place = Place()
    place.begin([row_of(1)])
    place.end(Position(1, 4), 0)
    place.list_anew()
    place.goes_on()
    assert place.catch_up.missing() is None and not place.catch_up.pending
    other = CatchUp()
    assert other.missing() is None and other.whole(Position(1, 1)) == (1, 1)


# ---- an order beside a plain list of its purges


NO_GROUP = "300"
# How a guard is asked about nothing but a purge of that kind: name, group, tags.
ASKED = {
    types.OBJECT: lambda what: (what, NO_GROUP, ()),
    types.GROUP: lambda what: ("none", what, ()),
    types.TAG: lambda what: ("none", NO_GROUP, (what,)),
    types.PREFIX: lambda what: (what.removeprefix("clip/") + "/x", NO_GROUP, ()),
    types.GLOB: lambda what: (what.removeprefix("clip/").replace("*", "x"), NO_GROUP, ()),
    types.REGEX: lambda what: (what.removeprefix("clip/"), NO_GROUP, ()),
}
ENDING = {types.GLOB: "*", types.REGEX: "r"}


class Play:
    """Purges of all kinds in jumps of time, lives of the desk, stores put back; followers catch up in between."""

    def __init__(self, seed, make_tail=Tail, make_place=Place):
        self.dice, self.wrong = Random(seed), []
        self.purges, self.former = [], []  # of this order; of one that a restored store has cut off
        self.make_tail, self.make_place, self.now, self.epoch = make_tail, make_place, HOLD, 1
        self.upstream = None  # desk or relay, while one follows
        self.recent, self.names = self.dice.choice((2, 5)), self.dice.choice((2, 5))
        self.tail = self._read(self.purges)

    def _read(self, purges):
        """The order as a new life of the desk reads it."""
        made = self.make_tail(
            HOLD, self.epoch, recent=self.recent, names=self.names, archive=Archive(HOLD, SEALED)
        )
        made.catalogue = type(made.catalogue)(made.archive, self.dice.choice((1, 4)))
        for one in purges:
            made.add(one)
        return made

    def _relayed(self):
        """The order as a relay has it that came just now, and then follows."""
        relay, snapshot = self._read(()), self.tail.snapshot()
        relay.take(snapshot.purges, self.tail.newest)
        for row in snapshot.slices:
            relay.merge(slice_codec.decode_row(row, self.tail.catalogue.body(row.digest)))
        return relay

    def run(self, steps=120):
        for _ in range(steps):
            self._purge()
            if self.dice.random() < 0.05:
                self.epoch += 1
                if self.dice.random() < 0.5:
                    self.former = self.purges
                    self.purges = self.purges[: self.dice.randrange(len(self.purges))]
                self.tail = self._read(self.purges)
            if self.dice.random() < 0.15:
                self._follow()
        return self.wrong

    def _purge(self):
        self.now += self.dice.choice((10, 1_000, HOLD // 24, HOLD // 24, HOLD // 6))
        kind = self.dice.choice((*types.KINDS, *types.SEALABLE_KINDS, *types.SEALABLE_KINDS))
        what = f"{self.dice.randrange(60):02d}{ENDING.get(kind, '')}"
        if kind in types.PATTERN_KINDS:
            what = f"clip/{kind}{what}"
        self.purges.append(Purge(self.epoch, len(self.purges) + 1, self.now, kind, what))
        for tail in {id(tail): tail for tail in (self.tail, self.upstream) if tail is not None}.values():
            tail.add(self.purges[-1])
            tail.fold(self.now)

    def _follow(self):
        """One that has all up to a position of this order, or a former one, and takes over the rest."""
        self.upstream = self.tail if self.dice.random() < 0.5 else self._relayed()
        order = self.dice.choice((self.purges, self.former or self.purges))
        has = order[: self.dice.choice((0, self.dice.randrange(len(order) + 1), len(order)))]
        self.guard, self.place = Guard(TERMS), self.make_place()
        self.guard.granted(0, 1 << 60)
        for one in has:
            self.guard.told(one.timestamp, one)
        if has:
            self.place.position = Position(has[-1].epoch, has[-1].n)
        self._connect()
        while (row := self.place.catch_up.missing()) is not None:
            body = self.upstream.catalogue.body(row.digest)
            if body is None:
                self.place.list_anew()
                self._connect()
                continue
            for _ in self.guard.adopt(self.now, slice_codec.decode_row(row, body)):
                pass
            self.place.catch_up.took(row)
            if self.dice.random() < 0.1:  # cut, and the order goes on meanwhile
                for _ in range(self.dice.randrange(8)):
                    self._purge()
                self._connect()
        self._may_have_lease()
        self.upstream = None

    def _connect(self):
        place = self.place
        if self.upstream.place(place.position, 0) != SNAPSHOT:
            for one in self.upstream.after(place.position.n, 1_000):
                place.goes_on()
                place.purge(one)
                self.guard.told(self.now, one)
            return
        snapshot = self.upstream.snapshot(place.whole())
        place.begin(snapshot.slices)
        for one in snapshot.purges:
            place.purge(one)
        for one in place.end(self.upstream.newest, len(snapshot.purges)):
            self.guard.told(self.now, one)
        if not place.catch_up.pending:
            self._may_have_lease()

    def _may_have_lease(self):
        """Each purge of the order binds."""
        for one in self.purges:
            if one.timestamp >= self.now - HOLD:
                name, group, tags = ASKED[one.kind](one.what)
                bound = self.guard.index.newest("clip", name, group, tags)
                if bound < one.timestamp:
                    self.wrong.append(f"{one} at {self.now} binds {bound}")


@pytest.mark.parametrize("block", range(4))
def test_whoever_catches_up_is_bound_by_each_purge_of_the_hold(block):
    for seed in range(12 * block, 12 * block + 12):
        assert Play(seed).run() == [], seed


CATCHING_UP = {"recent": 3, "restarts": 0.3, "cuts": 1.0, "purges": 20, "span": 8 * SECOND, "relays": 1}


@pytest.mark.parametrize("block", range(3))
def test_no_schedule_of_restarts_and_cuts_while_slices_are_fetched_breaks_a_rule(block):
    taken = lost = 0
    for seed in range(8 * block, 8 * block + 8):
        world = World(seed, **CATCHING_UP)
        assert world.run() == [], seed
        taken, lost = taken + world.slices, lost + world.slices_lost
    assert taken > 100


def found(parts, seeds=60):
    """Whether a play or a schedule finds the mistake."""
    if any(Play(seed, **parts).run() for seed in range(seeds)):
        return True
    return any(
        World(seed, restore=bool(seed % 2), kills=0.4, **CATCHING_UP, **parts).run() for seed in range(seeds)
    )


@pytest.mark.parametrize("mistake", MISTAKES)
def test_each_seeded_mistake_is_found(mistake):
    assert found(MISTAKES[mistake])
