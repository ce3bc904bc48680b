"""A member's part in spreading load: decisions of decisions/spread between its Control and the exchange."""

import msgspec

from ... import interface
from ...decisions.spread import Spread, spread_terms
from ...decisions.spread.messages import TOPIC, Started
from ...feed.purges import steady

TICK = 0.2  # seconds: the list is looked at, shares are asked for, what was found is told
encode = msgspec.msgpack.Encoder().encode


class Spreading:
    """What Control asks (others, lead, allowance, sent, tries) by the clock that nobody sets: a lease is
    looked at with each send, so a process that stood still finds out before its next one.
    """

    def __init__(self, reactor, log, section, sharing, router):
        self.reactor, self.log, self.sharing = reactor, log, sharing
        self.router, self.control, self.alone = router, router.control, True
        me = sharing.view.local_member
        terms = spread_terms(router.terms, lease=section["lease"], silent_after=sharing.terms.silent_after)
        self.spread = Spread(terms, (me.name, me.life), me.life, steady())
        self.lead = self.spread.lead
        self.names, self.lines, self.call, self.stopped = None, {}, None, False
        self.counts = {"posts": 0, "refused": 0}

    # ---- asked by Control; its time is the wall's

    def others(self, cache, now):
        return self.spread.others(cache, steady())

    def allowance(self, cache, now, cost):
        said = self.spread.allowance(cache, steady(), cost, now)
        if said is False:
            self.counts["refused"] += 1
        return said

    def sent(self, cache, now, cost):
        self.spread.sent(cache, now, cost)

    def tries(self, cache, now):
        return self.spread.tries(cache, steady())

    # ---- life

    def start(self):
        self.sharing.on_summary(self)
        self.sharing.subscribe(TOPIC, self._heard)
        self._tick()
        self.control.fleet_view = self

    def stop(self):
        self.stopped, self.control.fleet_view = True, None
        if self.call is not None and self.call.active():
            self.call.cancel()

    def news(self, now, summary):
        self.spread.news(now, summary)

    def _tick(self):
        now, wall = steady(), self.router.now()
        self._list(now, wall)
        neighbours = sorted({*self.sharing.neighbours(), self.spread.member_id[0]})
        if neighbours != self.names:
            self.names = neighbours
            self.spread.set_members(neighbours)
        health, posts = self.control.health, []
        for n in self.control.edges:
            # Once one send went well there it is found, though few go there yet.
            aside = health.slow_start_limit[n] == 1
            cold = (
                -1
                if self.control.cold.limits_in_force(n) is None
                else max(0, wall - self.control.cold.born[n])
            )
            posts += self.spread.observe(
                now, self.control.cache_ids[n], aside, health.paused_until[n] if aside else None, cold
            )
        self._post(posts + self.spread.tick(now, wall))
        if self.alone != self.spread.loads.alone(now):
            self.alone = not self.alone
            self.log(
                "hears nothing of its zone's loads, decides alone"
                if self.alone
                else "spreads load by what its zone tells",
                members=len(neighbours),
            )
        if not self.stopped:
            self.call = self.reactor.callLater(TICK, self._tick)

    def _list(self, now, wall):
        """Lines of the list as Control has them, those that changed; a start that it took for one, too."""
        control, lines = self.control, {}
        for name, n in control.row_by_id.items():
            lines[name] = interface.Cache(
                name,
                control.zone[n],
                0,
                control.weight[n],
                control.cold.born[n],
                control.phase[n],
                control.machine_type[n],
            )
        here = [line for line in lines.values() if self._meets(line)]
        changed = [line for line in here if self.lines.get(line.id) != line]
        gone = [
            line._replace(phase=interface.GONE)
            for name, line in self.lines.items()
            if name not in lines or not self._meets(lines[name])
        ]
        if changed or gone:
            self.spread.listed(now, gone + changed, wall)
            self.lines = {line.id: line for line in here}

    def _meets(self, line):
        """Whether this router sends there: what drains, too, has none of it."""
        terms = self.spread.terms
        return (
            line.phase == interface.READY
            and line.machine_type != terms.origin_machine_type
            and (line.zone == terms.zone or line.machine_type == terms.parent_machine_type)
        )

    def _heard(self, now, name, life, data):
        self._post(self.spread.receive(now, self.router.now(), name, data))

    def _post(self, posts):
        for post in posts:
            if isinstance(post, Started):
                self._started(post)
                continue
            self.counts["posts"] += 1
            self.sharing.post(post.recipient, TOPIC, encode(post.message))

    def _started(self, started):
        n, born = self.control.row_by_id.get(started.cache), self.router.now() - started.age
        if n is not None and born > self.control.cold.born[n]:
            self.control.cold.start(n, born)

    def shown(self):
        """For people: levels of the others by cache, shares of cold ones, who seeks what."""
        now, busy = steady(), self.spread.loads
        return {
            "alone": busy.alone(now),
            "counts": dict(self.counts),
            "mean": round(busy.mean(), 2),
            "caches": [
                [
                    name,
                    None if (others := busy.others(name, now)) is None else round(others, 2),
                    row.report.state_at(now, busy.terms),
                ]
                for name, row in sorted(busy.rows.items())
            ],
            "shares": [
                [name, row.own_unit.state, sum(unit.state == "held" for unit in row.borrowed_units.values())]
                for name, row in sorted(self.spread.shares.rows.items())
            ],
            "sought": {name: row.state for name, row in sorted(self.spread.trickle.rows.items())},
        }
