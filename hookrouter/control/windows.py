"""Windows (the paper's) on each cache's sends, and one gate on all fills."""

from math import inf, log

WINDOW_LEAST = 2.0  # sends out, by all routers of the location: enough to go on learning from
WINDOW_SLACK = 2.0  # sends of one router beyond its share: so many meet by chance
WINDOW_CUT = 5.0  # sends, for each that misses: at four out the paper's 1 lets two in five be late;
WINDOW_KEPT = 0.5  # yet this share stays: one router's window may be under one send
WINDOW_FULL = 4.0  # times what a cache's link carries at full pace: beyond it nothing comes in time
MISSES = 0.4  # of the sends that name a source, at most so many need it in calm: the others are hits
STALL_SENDS = 3  # unanswered, the first for the least budget: of so many a hit would have come by then
QUIET = 20_000  # 2 s without a miss, and the gate opens by itself: by then what was cut has shown
DOUBLING = 30_000  # 3 s: of the gate in quiet, for a crowd's cause ends with time and not with own sends
MOST_DOUBLINGS = 60  # beyond it a gate limits nothing
GATE_CUT = 0.7  # of the gate stays with each fill that misses: four in a second leave a quarter
GATE_STEP = 0.05  # more for each fill in time: one late in seven holds it where it is
GATE_LEAST = 0.05  # of fills: copies go on being made, and it is seen when fills come again
CROWD = 0.5  # of the gate: below it fills miss at whatever source, so none is to blame and none is repeated


class Windows:
    def __init__(self, beliefs, terms, dice, times, health):
        self.b, self.dice, self.times, self.health = beliefs, dice, times, health
        self.crew, self.routers = terms.topology.zone_routers, max(1, terms.topology.routers)
        self.room = beliefs.add_column(inf)
        self.gate, self.gate_from = 1.0, 0  # share of fills that is begun, and since when it opens by itself
        self.tells_hits, self.gated = terms.note_level != "none", False
        self.stall = min((kind.latency_budget for kind in terms.kinds), default=0)

    def slide(self, n, late, growth=1.0):
        """CoBlitz's chunk window: slower growth the wider, a cut for each miss; each router has a part."""
        widest = WINDOW_SLACK + self.part(n) * WINDOW_FULL
        window = min(self.room[n], widest)
        if late:
            window = max(WINDOW_LEAST / self.crew, window - WINDOW_CUT, window * WINDOW_KEPT)
        else:
            window += growth * min(1, window) / log(max(WINDOW_LEAST, window * self.crew))
        self.room[n] = min(widest, window)

    def part(self, n):
        """One router's, in sends: of a source what it carries for all and what this location's links take."""
        b, whole = self.b, self.b.weight[n]
        return (
            whole / self.crew
            if n in b.edges
            else min(b.edge_capacity / self.crew, whole / self.routers / MISSES)
        )

    def listed(self):
        """Where a router's part of a source is wide, its window learns of a crowd: else the gate must."""
        narrow = max(map(self.part, self.b.parents or self.b.origins), default=0.0) < WINDOW_SLACK
        self.gated = narrow and not self.tells_hits  # told hits teach windows nothing wrong
        self.health.patience = inf if narrow else STALL_SENDS, self.stall  # few sends tell nothing

    def share(self):
        """Of fills, what is begun now."""
        doublings = max(0, self.b.now - self.gate_from) / DOUBLING
        return min(1.0, self.gate * 2.0 ** min(MOST_DOUBLINGS, doublings))

    def crowd(self):
        return self.share() < CROWD

    def turn(self, late):
        """One router sees few fills of each source, and a crowd of them at all: so one gate for all."""
        if not self.gated:
            return
        gate = self.share()
        self.gate = max(GATE_LEAST, gate * GATE_CUT) if late else min(1.0, gate + GATE_STEP)
        self.gate_from = self.b.now + QUIET if late else max(self.b.now, self.gate_from)

    def open(self, n, lk):
        """Room for one more; a part of a send is a chance, and the better the less it has to send."""
        mean = self.times.mean_work
        lump = self.dice.random() * (lk.sending_time or mean[lk.kind_index]) / max(1.0, *mean)
        gate = self.share() if self.gated and n not in self.b.edges else 1.0
        # An open gate holds back nothing: a large lookup's part may be beyond 1.
        return self.b.in_flight[n] + lump < self.room[n] and (gate == 1.0 or lump < gate)
