"""Load spreading: connects decisions/spread to the router's Control and to the exchange of loads."""

import msgspec

from ... import interface
from ...clock import steady
from ...decisions.spread import Spread, spread_terms
from ...decisions.spread.messages import TOPIC, Started

TICK_INTERVAL = 0.2  # seconds between updates of the cache list, share requests and reports
encode = msgspec.msgpack.Encoder().encode


class Spreading:
    """The fleet view that Control queries (others, lead, allowance, sent, tries).

    Leases are checked against the monotonic clock at each send, so a paused process notices their end before
    its next send.
    """

    def __init__(self, reactor, log, section, sharing, router):
        self.reactor, self.log, self.sharing = reactor, log, sharing
        self.router, self.control, self.isolated = router, router.control, True
        local_member = sharing.view.local_member
        terms = spread_terms(router.terms, lease=section["lease"], silent_after=sharing.terms.silent_after)
        self.spread = Spread(terms, (local_member.name, local_member.life), local_member.life, steady())
        self.lead = self.spread.lead
        self.neighbour_names, self.listed, self.timer, self.stopped = None, {}, None, False
        self.counts = {"posts": 0, "refused": 0}

    # ---- called by Control with wall-clock times

    def others(self, cache, now):
        """Returns the other routers' sends in flight at the cache, or None without recent reports."""
        return self.spread.others(cache, steady())

    def allowance(self, cache, now, cost):
        """Returns whether a cold cache may get a send of this cost now, or None if it is not cold."""
        allowed = self.spread.allowance(cache, steady(), cost, now)
        if allowed is False:
            self.counts["refused"] += 1
        return allowed

    def sent(self, cache, now, cost):
        """Charges a send to a cold cache."""
        self.spread.sent(cache, now, cost)

    def tries(self, cache, now):
        """Whether this router may send to the cache; False while another member probes it."""
        return self.spread.tries(cache, steady())

    # ---- lifecycle

    def start(self):
        """Subscribes to summaries and messages, and registers with Control."""
        self.sharing.add_listener(self)
        self.sharing.subscribe(TOPIC, self._on_message)
        self._tick()
        self.control.fleet_view = self

    def stop(self):
        """Unregisters from Control."""
        self.stopped, self.control.fleet_view = True, None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def summary_changed(self, now, summary):
        """Takes a new summary of the other routers' load at a cache."""
        self.spread.news(now, summary)

    def _tick(self):
        now, wall = steady(), self.router.now()
        self._update_list(now, wall)
        neighbours = sorted({*self.sharing.neighbours(), self.spread.member_id[0]})
        if neighbours != self.neighbour_names:
            self.neighbour_names = neighbours
            self.spread.set_members(neighbours)
        health, posts = self.control.health, []
        for row in self.control.edges:
            # A slow-start limit above 1 means a send succeeded: the cache is back, though few sends go there.
            in_slow_start = health.slow_start_limit[row] == 1
            cold_age = (
                -1
                if self.control.cold.limits_in_force(row) is None
                else max(0, wall - self.control.cold.born[row])
            )
            posts += self.spread.observe(
                now,
                self.control.cache_ids[row],
                in_slow_start,
                health.paused_until[row] if in_slow_start else None,
                cold_age,
            )
        self._post(posts + self.spread.tick(now, wall))
        if self.isolated != self.spread.loads.alone(now):
            self.isolated = not self.isolated
            self.log(
                "hears nothing of its zone's loads, decides alone"
                if self.isolated
                else "spreads load by what its zone tells",
                members=len(neighbours),
            )
        if not self.stopped:
            self.timer = self.reactor.callLater(TICK_INTERVAL, self._tick)

    def _update_list(self, now, wall):
        """Passes changed entries of Control's cache list on, including restarts that Control inferred."""
        control, entries = self.control, {}
        for name, row in control.row_by_id.items():
            entries[name] = interface.Cache(
                name,
                control.zone[row],
                0,
                control.weight[row],
                control.cold.born[row],
                control.phase[row],
                control.machine_type[row],
            )
        targets = [entry for entry in entries.values() if self._sends_to(entry)]
        changed = [entry for entry in targets if self.listed.get(entry.id) != entry]
        gone = [
            entry._replace(phase=interface.GONE)
            for name, entry in self.listed.items()
            if name not in entries or not self._sends_to(entries[name])
        ]
        if changed or gone:
            self.spread.listed(now, gone + changed, wall)
            self.listed = {entry.id: entry for entry in targets}

    def _sends_to(self, entry):
        """Whether this router sends to the cache; false for a draining one."""
        terms = self.spread.terms
        return (
            entry.phase == interface.READY
            and entry.machine_type != terms.origin_machine_type
            and (entry.zone == terms.zone or entry.machine_type == terms.parent_machine_type)
        )

    def _on_message(self, now, name, generation, data):
        self._post(self.spread.receive(now, self.router.now(), name, data))

    def _post(self, posts):
        for post in posts:
            if isinstance(post, Started):
                self._started(post)
                continue
            self.counts["posts"] += 1
            self.sharing.post(post.recipient, TOPIC, encode(post.message))

    def _started(self, started):
        row, started_at = self.control.row_by_id.get(started.cache), self.router.now() - started.age
        if row is not None and started_at > self.control.cold.born[row]:
            self.control.cold.start(row, started_at)

    def describe(self):
        """For operators: other routers' load levels by cache, shares of cold caches, trickle probes."""
        now, loads = steady(), self.spread.loads
        return {
            "alone": loads.alone(now),
            "counts": dict(self.counts),
            "mean": round(loads.mean(), 2),
            "caches": [
                [
                    name,
                    None if (others := loads.others(name, now)) is None else round(others, 2),
                    row.report.state_at(now, loads.terms),
                ]
                for name, row in sorted(loads.rows.items())
            ],
            "shares": [
                [name, row.own_unit.state, sum(unit.state == "held" for unit in row.borrowed_units.values())]
                for name, row in sorted(self.spread.shares.rows.items())
            ],
            "sought": {name: row.state for name, row in sorted(self.spread.trickle.rows.items())},
        }
