"""Limits on load: a window on the sends in flight to each cache (CoBlitz), and an admission gate on fills."""

from math import inf, log

MIN_WINDOW = 2.0  # sends of all routers of the location: enough to keep learning from
WINDOW_SLACK = 2.0  # sends of one router beyond its share: so many coincide by chance
# Sends, for each missed budget: with the paper's 1, two in five are late at a window of four.
WINDOW_CUT = 5.0
WINDOW_KEPT = 0.5  # but at least this share is left: one router's window may be under one send
MAX_LINK_LOAD = 4.0  # multiple of the full-rate answers of a cache's link, beyond which no answer is in time
MAX_MISS_RATIO = 0.4  # share of the sends with a source that need it without overload; the others are hits
STALL_SENDS = 3  # unanswered for the smallest latency budget: of so many at least a hit would have arrived
GATE_HOLD = 20_000  # 2 s without a missed budget before the gate opens by time: by then a cut has had effect
GATE_DOUBLING_TIME = 30_000  # 3 s, by time and not by own sends: the cause of overload ends by itself
MAX_DOUBLINGS = 60  # avoids overflow; the gate is open long before
GATE_DECREASE = 0.7  # factor for each fill that misses its budget: four in a second leave a quarter
GATE_INCREASE = 0.05  # for each fill in time: with one late in seven the gate stays where it is
MIN_GATE = 0.05  # some fills always run, to make copies and to notice when fills succeed again
# Below this share fills miss at any source, so no source is blamed and no lookup is repeated.
OVERLOAD_GATE = 0.5


class Windows:
    """Window sizes by cache, in sends of this router, and the share of fills that the gate admits.

    The gate is for many routers: each sees too few fills for the windows of sources to notice overload.
    """

    def __init__(self, state, terms, rng, times, health):
        self.state, self.rng, self.times, self.health = state, rng, times, health
        self.zone_routers, self.routers = terms.topology.zone_routers, max(1, terms.topology.routers)
        self.size = state.add_column(inf)
        # Share of fills admitted at gate_opens_from; it grows with time from then on.
        self.gate, self.gate_opens_from = 1.0, 0
        self.hits_reported, self.gated = terms.note_level != "none", False
        self.stall_duration = min((kind.latency_budget for kind in terms.kinds), default=0)

    def adjust(self, row, late, growth=1.0):
        """Changes a cache's window after an answer in time or a missed budget, as CoBlitz does for chunks:
        the wider, the slower it grows; a miss cuts it. Each router has a share of the location's window.
        """
        widest = WINDOW_SLACK + self.router_share(row) * MAX_LINK_LOAD
        window = min(self.size[row], widest)
        if late:
            window = max(MIN_WINDOW / self.zone_routers, window - WINDOW_CUT, window * WINDOW_KEPT)
        else:
            window += growth * min(1, window) / log(max(MIN_WINDOW, window * self.zone_routers))
        self.size[row] = min(widest, window)

    def router_share(self, row):
        """This router's share of a cache's capacity, in sends; for a source, limited by what this location's
        links carry.
        """
        state, weight = self.state, self.state.weight[row]
        return (
            weight / self.zone_routers
            if row in state.edges
            else min(state.edge_capacity / self.zone_routers, weight / self.routers / MAX_MISS_RATIO)
        )

    def on_cache_list(self):
        """Decides whether the gate is used: only if a router's share of a source is too small for windows to
        detect overload.
        """
        narrow = (
            max(map(self.router_share, self.state.parents or self.state.origins), default=0.0) < WINDOW_SLACK
        )
        self.gated = narrow and not self.hits_reported  # reported hits are not mistaken for fills
        # Few sends do not show a stall.
        self.health.stall_limits = inf if narrow else STALL_SENDS, self.stall_duration

    def fill_share(self):
        """The share of fills that the gate admits now."""
        doublings = max(0, self.state.now - self.gate_opens_from) / GATE_DOUBLING_TIME
        return min(1.0, self.gate * 2.0 ** min(MAX_DOUBLINGS, doublings))

    def overloaded(self):
        """Whether fills miss their budgets regardless of their source."""
        return self.fill_share() < OVERLOAD_GATE

    def adjust_gate(self, late):
        """Closes or opens the gate after a fill; one gate, since a router sees few fills of each source."""
        if not self.gated:
            return
        gate = self.fill_share()
        self.gate = max(MIN_GATE, gate * GATE_DECREASE) if late else min(1.0, gate + GATE_INCREASE)
        self.gate_opens_from = (
            self.state.now + GATE_HOLD if late else max(self.state.now, self.gate_opens_from)
        )

    def admits(self, row, lookup):
        """Whether this cache's window, and the gate if it is a source, admit one more send of this lookup.
        A fraction of a send is admitted by chance, which is the better the smaller the answer is.
        """
        mean_work = self.times.mean_work
        draw = (
            self.rng.random() * (lookup.sending_time or mean_work[lookup.kind_index]) / max(1.0, *mean_work)
        )
        gate = self.fill_share() if self.gated and row not in self.state.edges else 1.0
        # An open gate admits everything: for a large lookup `draw` may exceed 1.
        return self.state.in_flight[row] + draw < self.size[row] and (gate == 1.0 or draw < gate)
