"""This member's view of the fleet over UDP; logs membership changes and describes the view to operators."""

import os
from collections import deque

from ...clock import unix_milliseconds
from ...decisions.view import Member, View, protocol
from ...decisions.view import Terms as ViewTerms
from ..wire.datagrams import Datagrams
from ..wire.post import Post

LOG_BATCH_DELAY = 0.5  # seconds of changes that are logged together
MAX_LOG_LINES = 5  # per batch, one for each member; a larger batch is logged as one line
MAX_CHANGES_KEPT = 20  # changes kept for each member name
MAX_NAMES_KEPT = 5_000  # member names with kept changes
MAX_MEMBERS_SHOWN = 3_000  # members in one answer; they fit into a frame
VERSION = "0.3"
SHARING_ROLE_SUFFIX = ", shares"  # suffix of a sharing router's role; only those count as routers of a zone


class Roster:
    """Runs the membership protocol on a datagram socket."""

    def __init__(self, reactor, fleet, generation, role, clock, log):
        """fleet: section [fleet] of the operator's file; generation: tells restarts of this member apart."""
        self.reactor, self.clock, self.log = reactor, clock, log
        host, port = fleet["address"] or fleet["listen"]
        self.listen_address = fleet["listen"]
        seeds = fleet["seeds"] or tuple(fleet["keepers"].values())
        local_member = Member(fleet["name"], generation, host, port, fleet["zone"], role, VERSION, 0)
        self.counters = {}
        self.socket = Datagrams(reactor, fleet["name"], fleet["secret"].value, self._on_datagram, self._count)
        seeds = tuple(seed for seed in seeds if seed != (host, port))
        self.view = View(ViewTerms(seeds=seeds), local_member, clock(), generation)
        self.on_post = None  # called with (name, generation, Post) for other parts' posts
        self.changes, self.unlogged, self.timer, self.stopped, self.logged_settled = {}, [], None, False, None

    def _count(self, name):
        self.counters[name] = self.counters.get(name, 0) + 1

    def start(self):
        """Listens and sends the first messages."""
        self.socket.listen(*self.listen_address)
        self._tick()

    # ---- the view

    def _tick(self):
        self._handle(protocol.Tick())
        settled = self.view.settled_since() is not None
        if settled != self.logged_settled:
            self.logged_settled = settled
            self.log("view has settled" if settled else "view has not settled", members=self.view.alive_count)

    def _on_datagram(self, name, generation, address, message):
        if self.stopped:
            return
        if not isinstance(message, Post):
            self._handle(protocol.Received(name, generation, address, message))
        elif self.on_post is not None:
            self.on_post(name, generation, message)
        else:
            self._count("posts_for_nobody")

    def _handle(self, event):
        for effect in self.view.take(self.clock(), event):
            if isinstance(effect, protocol.Send):
                self.socket.send(self.view.local_member.life, effect.name, effect.address, effect.message)
            elif isinstance(effect, protocol.StateChanged):
                self._on_change(effect)
            else:
                self.log(effect.event, level="warn", **dict(effect.fields))
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.stopped:
            self.timer = self.reactor.callLater(
                max(0.001, (self.view.alarm() - self.clock()) / 10_000), self._tick
            )

    def post(self, row, topic, data):
        """Sends a datagram to a part of another member; row: its Member in the view. It may be lost."""
        self.socket.send(self.view.local_member.life, row.name, row.address, Post(topic, data))

    # ---- logging and descriptions

    def _on_change(self, changed):
        rows = self.changes.pop(changed.member.name, None) or deque(maxlen=MAX_CHANGES_KEPT)
        rows.append((unix_milliseconds(), changed))
        self.changes[changed.member.name] = rows
        if len(self.changes) > MAX_NAMES_KEPT:
            del self.changes[next(iter(self.changes))]
        if not self.unlogged:
            self.reactor.callLater(LOG_BATCH_DELAY, self._log_changes)
        self.unlogged.append(changed)

    def _log_changes(self):
        """Logs a few changes one by one, many as a count, and reports a zone that fails as a whole."""
        batch, self.unlogged = self.unlogged, []
        by_state = {}
        for changed in batch:
            by_state.setdefault(changed.member.state, []).append(changed)
        for state, rows in by_state.items():
            if len(rows) <= MAX_LOG_LINES:
                for change in rows:
                    self.log(
                        f"member {protocol.STATES[state]}",
                        member=change.member.name,
                        zone=change.member.zone,
                        why=change.reason,
                        by=",".join(change.sources),
                    )
                continue
            self.log(f"members {protocol.STATES[state]}", count=len(rows), of=self.view.alive_count)
            for zone, lost, total in (
                self.zones([change.member for change in rows]) if state >= protocol.SUSPECT else ()
            ):
                self.log(
                    "a zone as a whole does not answer: it is cut off, or down",
                    zone=zone,
                    members=lost,
                    of=total,
                    level="warn",
                )

    def zones(self, rows):
        """Returns (zone, count of those rows, all known there) for zones of which they are at least half."""
        zones = sorted({row.zone for row in rows})
        known = [row.zone for row in self.view.members.values() if row.state != protocol.LEFT]
        found = [(zone, sum(row.zone == zone for row in rows), known.count(zone)) for zone in zones]
        return [(zone, lost, total) for zone, lost, total in found if lost >= 3 and 2 * lost >= total]

    def describe(self):
        """The view, as a dict for operators."""
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
            "twins": sorted(f"{name}#{generation}" for name, generation in view.duplicates),
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
                for row in rows[:MAX_MEMBERS_SHOWN]
            ],
        }

    def history(self, name):
        """State changes of a member: [wall ms, generation, previous, state, incarnation, reason, sources]."""
        return [
            [
                wall_ms,
                change.member.life,
                None if change.previous is None else protocol.STATES[change.previous],
                protocol.STATES[change.member.state],
                change.member.incarnation,
                change.reason,
                list(change.sources),
            ]
            for wall_ms, change in self.changes.get(name, ())
        ]

    # ---- shutdown

    def leave(self, final):
        """Tells other members that this one leaves."""
        self._handle(protocol.Leave(final))

    def stop(self):
        """Closes the socket."""
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.socket.stop()
