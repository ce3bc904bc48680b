"""Routers of one zone in made-up time: what they tell, over datagrams that are lost, late, doubled and cut
one way; kills, clocks that jump, liars. A plain exact model stands beside each board.
"""

from random import Random

import msgspec

from hookrouter.decisions.sharing import protocol, soft_state
from hookrouter.decisions.sharing.bounds import allowed_share
from hookrouter.decisions.sharing.exchange import Exchange
from hookrouter.decisions.sharing.reporters import assign_reporters
from hookrouter.lab.engine import Engine

SECOND = 10_000
DAY = 86_400 * SECOND
HEAD = 90  # bytes of a datagram beside its message: seal, names, numbers, envelope
VIEW_LAG = SECOND  # until the view tells a start or a death
SETTLE = 6  # seconds without faults, and all is known: a saying a second, twice, and eight beats
STEP = 0.12  # of its value may a sum in silence move in 100 ms: 4 s of falling have 40 of them
STRIKES = 3  # in a row set a cache aside (the control's FAILURES)

encode = msgspec.msgpack.Encoder().encode
EIGHT = protocol.Terms(reporters=8)
SMALL = protocol.Terms(reporters=4)  # so five routers have one who is spoken for


class Node:
    def __init__(self, world, name):
        self.world, self.name, self.life, self.up, self.generation = world, name, 0, False, 0
        self.core, self.offset, self.liar, self.loads = None, 0, None, {}

    def clock(self):
        return self.offset + int(self.world.engine.now)

    def start(self):
        dice = self.world.dice
        self.life, self.up, self.generation = self.life + 1 + dice.randrange(3), True, self.generation + 1
        self.offset = dice.randrange(1 << 40)
        self.core = self.world.make(self.world.terms, self.name, self.life, dice.randrange(1 << 30))
        self.said, self.held = {}, set()
        self.world.seen()
        self.core.take(self.clock(), protocol.LivingRouters(self.world.zone()))
        self.tick(self.generation)

    def kill(self):
        self.up = False
        self.generation += 1
        self.world.seen()

    def tick(self, generation):
        if generation != self.generation or not self.up:
            return
        self.take(protocol.OwnLoads(tuple((cache, "", *load) for cache, load in sorted(self.loads.items()))))
        self.take(protocol.Tick())
        self.world.engine.after(max(1, self.core.alarm() - self.clock()), self.tick, generation)

    def take(self, event):
        for effect in self.core.take(self.clock(), event):
            if isinstance(effect, protocol.Send):
                self.world.send(self, effect)
        teller = self.core.table.reporters.get(self.name)
        if teller is not None and self.liar is None:
            self.world.truth.setdefault(
                (self.name, self.life, teller.number),
                ({key: row[1:] for key, row in teller.loads.items()}, self.world.engine.now),
            )


class World:
    """breaks: in words, what was seen that must not be."""

    def __init__(self, seed, count, caches=3, make=Exchange, terms=SMALL):
        self.dice, self.engine, self.make, self.terms = Random(seed), Engine(), make, terms
        self.nodes = [Node(self, f"r{n}") for n in range(count)]
        self.by_name = {node.name: node for node in self.nodes}
        self.loss, self.double, self.lag, self.jitter, self.held, self.cuts = 0.0, 0.0, 5, 20, 0, set()
        self.bytes, self.packets, self.breaks, self.truth = 0, 0, [], {}
        for node in self.nodes:
            node.loads = {
                f"c{n}": (0.75 + self.dice.random() / 2, 4 + 2 * self.dice.random()) for n in range(caches)
            }

    def zone(self):
        return {node.name: node.life for node in self.nodes if node.up}

    def seen(self):
        self.engine.after(VIEW_LAG, self._tell_view)

    def _tell_view(self):
        zone = self.zone()
        for node in self.up():
            node.take(protocol.LivingRouters(zone))

    def up(self):
        return [node for node in self.nodes if node.up]

    # ---- links

    def send(self, node, effect):
        message = lie(node, effect.message) if node.liar else effect.message
        self.packets += 1
        self.bytes += HEAD + len(encode(message))
        to = self.by_name[effect.name]
        if (node.name, to.name) in self.cuts or self.dice.random() < self.loss:
            return
        for _ in range(1 + (self.dice.random() < self.double)):
            span = self.lag + self.dice.randrange(self.jitter + 1)
            span += self.dice.randrange(self.held + 1) if self.held else 0
            self.engine.after(span, self.arrive, to, node.name, node.life, message)

    def arrive(self, to, name, life, message):
        if to.up:
            to.take(protocol.Received(name, life, message))

    def run(self, seconds):
        """In looks of 100 ms."""
        for _ in range(int(10 * seconds)):
            self.engine.run(self.engine.now + SECOND // 10)
            self.look()

    # ---- what must hold

    def broke(self, what, node):
        self.breaks.append(f"{what} at {node.name}, {self.engine.now / SECOND:.1f} s")

    def look(self):
        late = self.terms.silent_after + 6 * SECOND
        for node in self.up():
            board = node.core.table
            if node.clock() < node.core.now:
                continue  # its clock went back, and it has not looked at it yet
            if len(board.reporters) > self.terms.reporters:
                self.broke("more tellers than are kept", node)
            for name, teller in board.reporters.items():
                rows, when = self.truth.get((name, teller.life, teller.number), (None, 0))
                if self.by_name[name].liar is not None or any(n.liar for n in self.nodes):
                    continue
                if rows is None or any(rows.get(key) != row[1:] for key, row in teller.loads.items()):
                    self.broke(f"a row of {name} that it never said so", node)
                elif self.engine.now - when > late:
                    self.broke(f"a row of {name} is kept for ever", node)
                life, number = node.said.get(name, (0, 0))
                if life > teller.life:
                    self.broke(f"a former life of {name} is back", node)
                elif life == teller.life and name in node.held and number > teller.number:
                    self.broke(f"an earlier saying of {name} is back", node)
                node.said[name] = max((life, number), (teller.life, teller.number))
            node.held = set(board.reporters)
            if len(node.core.zone) > 1:
                self.step(node)

    def step(self, node):
        """A sum that is cut off falls without a step."""
        node.core.now = max(node.core.now, node.clock())
        summary = node.core.summary("c0")
        value = summary.others_in_flight if summary else 0.0
        key = tuple(
            sorted((name, t.number) for name, t in node.core.table.reporters.items() if name != node.name)
        )
        before, same, top = getattr(node, "sum", (0.0, None, 1.0))
        alone = all((name, node.name) in self.cuts for name in self.by_name if name != node.name)
        if alone and same is not None and set(key) <= set(same) and before - value > STEP * max(top, before):
            self.broke("a sum fell at once", node)
        node.sum = value, key, max(value, top if alone else 0.0)

    def exact(self, node, cache, field):
        """The plain model: all that the others have now."""
        return sum(other.loads[cache][field] for other in self.up() if other is not node)

    def settled(self, share):
        """All sums within that share of the exact ones."""
        for node in self.up():
            for cache in node.loads:
                summary, others = node.core.summary(cache), len(self.up()) - 1
                if others == 0:
                    continue
                want = self.exact(node, cache, 0)
                if summary is None or abs(summary.others_in_flight - want) > share * want + 0.02 * others:
                    got = None if summary is None else round(summary.others_in_flight, 2)
                    self.broke(f"{cache}: {got} for {want:.2f}", node)

    def bounded(self):
        """With one liar no sum is over its bound."""
        for node in self.up():
            if node.liar:
                continue
            speakers = assign_reporters(node.core.zone, node.core.reporters)
            liar = next(other for other in self.nodes if other.liar)
            told_by = speakers.get(liar.name)  # its own group may cut it lower, never raise it
            part = sum(speaks == told_by for speaks in speakers.values()) / (len(speakers) - 1)
            for cache in node.loads:
                summary = node.core.summary(cache)
                if summary is not None:
                    honest = sum(
                        other.loads[cache][0] for other in self.up() if other is not node and not other.liar
                    )
                    if summary.others_in_flight > bound(self.terms, honest, part) + 0.1:
                        self.broke(
                            f"{cache}: a liar moved {honest:.2f} to {summary.others_in_flight:.2f}", node
                        )


def bound(terms, honest, part, floor=None):
    """What a sum can be with one liar whose teller speaks for that part of the others."""
    share = allowed_share(terms.max_share, part)
    return max(honest / (1 - share) if share < 1 else float("inf"), honest + (floor or terms.floor_in_flight))


def lie(node, message):
    """loud: a million times its load, for thousands. fresh: all news is of now. ahead: numbers of others."""

    def block(row):
        own = row.reporter == node.name
        if node.liar == "loud" and own:
            loads = [
                protocol.Load(x.cache, x.source, protocol.MAX_LOAD, protocol.MAX_LOAD) for x in row.loads
            ]
            return msgspec.structs.replace(row, loads=loads, member_count=max(1, row.member_count))
        if node.liar == "fresh":
            return msgspec.structs.replace(row, age=0)
        if node.liar == "ahead" and not own:
            return msgspec.structs.replace(row, number=row.number + (1 << 40), loads=[])
        return row

    if isinstance(message, protocol.ReportList):
        return protocol.ReportList([block(row) for row in message.reports])
    return protocol.Delegation(block(message.report)) if isinstance(message, protocol.Delegation) else message


def sayings(blocks):
    """The same with one content for each number of a process, at whatever age."""
    said = {}
    for block in blocks:
        said.setdefault((block.reporter, block.life, block.number), block)
    return [
        msgspec.structs.replace(said[block.reporter, block.life, block.number], age=block.age)
        for block in blocks
    ]


def trial(seed, count=6, make=Exchange, seconds=8, terms=SMALL):
    """What broke in one seeded schedule of faults, a calm end, and one cut off from all."""
    world = World(seed, count, make=make, terms=terms)
    dice = world.dice
    for node in world.nodes:
        world.engine.after(dice.randrange(SECOND), node.start)
    world.run(2)
    for _ in range(seconds):
        fault(world, dice)
        world.run(1)
    world.loss, world.double, world.held, world.cuts = 0.0, 0.0, 0, set()
    world.run(6)  # what was held has come
    for node in world.nodes:
        if not node.up:
            node.start()
    world.run(SETTLE)
    world.settled(0.05)
    alone = dice.choice(world.up())
    world.cuts = {(node.name, alone.name) for node in world.nodes if node is not alone}
    world.run(terms.silent_after / SECOND + 2)
    if alone.core.summary("c0") is not None and alone.core.own_reporter != alone.name:
        world.broke("old news goes on to count", alone)
    return world.breaks


def fault(world, dice):
    up, kind = world.up(), dice.randrange(9)
    if kind in (0, 8) and len(up) > 2:
        node = dice.choice(up)
        node.kill()
        if kind == 8:
            node.start()  # at once
    elif kind == 1 and len(up) < len(world.nodes):
        dice.choice([node for node in world.nodes if not node.up]).start()
    elif kind == 2:
        world.loss, world.double = dice.choice((0.0, 0.2, 0.5)), dice.choice((0.0, 0.5))
    elif kind == 3:
        world.held = dice.choice((0, SECOND, 5 * SECOND))
    elif kind == 4:
        a = dice.choice(world.nodes).name
        world.cuts = {(a, node.name) for node in world.nodes if node.name != a}  # unheard, and hears
    elif kind == 5:
        world.cuts = set()
    elif kind == 6 and up:
        node = dice.choice(up)
        node.offset += dice.choice((DAY, -DAY))
        node.said, node.held = {}, set()  # it begins anew
    elif up:
        node = dice.choice(up)
        node.loads = {
            cache: (out * dice.choice((0.8, 1.2)), rate)
            for cache, (out, rate) in {c: (0.75 + dice.random() / 2, 6.0) for c in node.loads}.items()
        }


def lied(seed, count=12, make=Exchange, terms=EIGHT, kind=None):
    """What one liar broke, in a calm zone."""
    world = World(seed, count, make=make, terms=terms)
    for node in world.nodes:
        world.engine.after(world.dice.randrange(SECOND), node.start)
    world.dice.choice(world.nodes).liar = kind or world.dice.choice(("loud", "fresh"))
    world.run(SETTLE + 2)
    world.bounded()
    return world.breaks


def taken_over(seed, adopted=soft_state.adopted):
    """Whether told evidence alone sets a cache aside."""
    dice = Random(seed)
    told = [
        soft_state.SoftState(
            [
                protocol.CacheState(
                    "c0",
                    dice.randrange(1_001),
                    dice.random() < 0.5,
                    dice.random() * 1e9,
                    dice.random(),
                    -1,
                    dice.randrange(SECOND),
                )
            ],
            [],
        )
        for _ in range(dice.randrange(1, 3))
    ]
    over = adopted(told).failures.get("c0", 0) >= STRIKES
    return ["told evidence alone sets a cache aside"] if over else []


def found(mistake, seeds=30):
    """The first seed at which a mistake shows, or None."""
    for seed in range(1, seeds + 1):
        if hasattr(mistake, "adopted"):
            broke = taken_over(seed, mistake.adopted)
        else:
            broke = trial(seed, make=mistake) or lied(seed, make=mistake)
        if broke:
            return seed
    return None
