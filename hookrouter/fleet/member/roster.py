"""This member's view of the fleet on a socket: decisions in view/, its changes in the log and for people."""

import os
import time
from collections import deque

from ...decisions.view import Member, View, protocol
from ...decisions.view import Terms as ViewTerms
from ..wire.datagrams import Datagrams
from ..wire.post import Post

GATHER = 0.5  # seconds in which changes are gathered for the log
MOST_LINES = 5  # of one gathering, each for one member; of more the log has one line
MOST_KEPT = 20  # changes of one name that are kept for people
MOST_NAMES = 5_000  # of whom changes are kept
MOST_SHOWN = 3_000  # members in one answer: a frame takes them
VERSION = "0.3"
SHARES = ", shares"  # in the role of a router that shares: those alone are counted among a zone's


class Roster:
    def __init__(self, reactor, fleet, life, role, clock, log):
        """fleet: the section of the operator's file."""
        self.reactor, self.clock, self.log = reactor, clock, log
        host, port = fleet["address"] or fleet["listen"]
        self.listens = fleet["listen"]
        seeds = fleet["seeds"] or tuple(fleet["keepers"].values())
        me = Member(fleet["name"], life, host, port, fleet["zone"], role, VERSION, 0)
        self.counters = {}
        self.socket = Datagrams(reactor, fleet["name"], fleet["secret"].value, self._heard, self._count)
        seeds = tuple(seed for seed in seeds if seed != (host, port))
        self.view = View(ViewTerms(seeds=seeds), me, clock(), life)
        self.posted = None  # called for what further parts say: name, life, Post
        self.changes, self.gathered, self.call, self.stopped, self.said = {}, [], None, False, None

    def _count(self, name):
        self.counters[name] = self.counters.get(name, 0) + 1

    def start(self):
        self.socket.listen(*self.listens)
        self._tick()

    # ---- the view

    def _tick(self):
        self._take(protocol.Tick())
        settled = self.view.settled_since() is not None
        if settled != self.said:
            self.said = settled
            self.log("view has settled" if settled else "view has not settled", members=self.view.alive_count)

    def _heard(self, name, life, address, message):
        if self.stopped:
            return
        if not isinstance(message, Post):
            self._take(protocol.Received(name, life, address, message))
        elif self.posted is not None:
            self.posted(name, life, message)
        else:
            self._count("posts_for_nobody")

    def _take(self, event):
        for effect in self.view.take(self.clock(), event):
            if isinstance(effect, protocol.Send):
                self.socket.send(self.view.local_member.life, effect.name, effect.address, effect.message)
            elif isinstance(effect, protocol.StateChanged):
                self._changed(effect)
            else:
                self.log(effect.event, level="warn", **dict(effect.fields))
        if self.call is not None and self.call.active():
            self.call.cancel()
        if not self.stopped:
            self.call = self.reactor.callLater(
                max(0.001, (self.view.alarm() - self.clock()) / 10_000), self._tick
            )

    def post(self, row, topic, data):
        """A datagram for another part of that member; row: as the view has it. It may be lost."""
        self.socket.send(self.view.local_member.life, row.name, row.address, Post(topic, data))

    # ---- what is told of it

    def _changed(self, changed):
        rows = self.changes.pop(changed.member.name, None) or deque(maxlen=MOST_KEPT)
        rows.append((int(time.time() * 1_000), changed))
        self.changes[changed.member.name] = rows
        if len(self.changes) > MOST_NAMES:
            del self.changes[next(iter(self.changes))]
        if not self.gathered:
            self.reactor.callLater(GATHER, self._tell)
        self.gathered.append(changed)

    def _tell(self):
        """A line each for a few; of many one line, and of a whole zone that it is one."""
        gathered, self.gathered = self.gathered, []
        by_state = {}
        for changed in gathered:
            by_state.setdefault(changed.member.state, []).append(changed)
        for state, rows in by_state.items():
            if len(rows) <= MOST_LINES:
                for x in rows:
                    self.log(
                        f"member {protocol.STATES[state]}",
                        member=x.member.name,
                        zone=x.member.zone,
                        why=x.reason,
                        by=",".join(x.sources),
                    )
                continue
            self.log(f"members {protocol.STATES[state]}", count=len(rows), of=self.view.alive_count)
            for zone, lost, of in self.zones([x.member for x in rows]) if state >= protocol.SUSPECT else ():
                self.log(
                    "a zone as a whole does not answer: it is cut off, or down",
                    zone=zone,
                    members=lost,
                    of=of,
                    level="warn",
                )

    def zones(self, rows):
        """(zone, how many of those rows, of all known there) where it is half of it or more."""
        zones = sorted({row.zone for row in rows})
        known = [row.zone for row in self.view.members.values() if row.state != protocol.LEFT]
        found = [(zone, sum(row.zone == zone for row in rows), known.count(zone)) for zone in zones]
        return [(zone, lost, of) for zone, lost, of in found if lost >= 3 and 2 * lost >= of]

    def shown(self):
        view = self.view
        view.now = self.clock()
        since = view.settled_since()
        rows = sorted(view.members.values(), key=lambda row: row.key)
        return {
            "member": view.local_member.name,
            "pid": os.getpid(),
            "settled_ms": None if since is None else (view.now - since) // 10,
            "digest": f"{view.digest:012x}",
            "alive": view.alive_count,
            "slow_itself": view.health_score,
            "counters": dict(sorted(self.counters.items())),
            "of": len(rows),
            "twins": sorted(f"{name}#{life}" for name, life in view.duplicates),
            "members": [
                [
                    row.name,
                    row.life,
                    f"{row.host}:{row.port}",
                    row.zone,
                    row.role,
                    row.version,
                    row.incarnation,
                    protocol.STATES[row.state],
                ]
                for row in rows[:MOST_SHOWN]
            ],
        }

    def explained(self, name):
        """What was thought of it here, and why: [(wall ms, life, before, state, incarnation, why, by)]."""
        return [
            [
                at,
                x.member.life,
                None if x.previous is None else protocol.STATES[x.previous],
                protocol.STATES[x.member.state],
                x.member.incarnation,
                x.reason,
                list(x.sources),
            ]
            for at, x in self.changes.get(name, ())
        ]

    # ---- the end

    def leave(self, final):
        self._take(protocol.Leave(final))

    def stop(self):
        self.stopped = True
        if self.call is not None and self.call.active():
            self.call.cancel()
        self.socket.stop()
