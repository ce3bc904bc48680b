"""What members ask: leases renewed, commands, changes of keepers, a look at it all."""

from .. import words as w
from ..duties import ADOPT, DECLARE, DONE, DROP, KEEP, NAMES, OPEN, SWEEP
from .leading import SOON
from .states import LEADING
from .weights import fits

MOST_ASKS = 10_000  # commands of members that wait for their commit
HAND_OVER, REPLACE = "hand-over", "replace"
# What members may ask of the log; grants are the leader's own.
ASKED = (DECLARE, DROP, DONE, OPEN, KEEP, NAMES, SWEEP, ADOPT)


class Members:
    def _renew(self, sender, renew):
        if self.state != LEADING:
            self._send(sender, w.Answer("renew", elsewhere=self.leader))
            return
        self.leases.renew(self.now, f"{sender}#{renew.life}", sender, renew, self.round + 1)
        self.beat_at = min(self.beat_at, self.now + SOON)

    def _renewed(self, who):
        session = self.leases.sessions.get(who)
        if session is None or not session.seq:
            return
        # What is being granted to another, or was given up, is no longer this one's to be told of.
        held = [(name, self.duties.rows[name].number) for name in self.duties.owned.get(who, ())]
        held = [
            row
            for row in held
            if row not in self.leases.released and self.leases.granting.get(row[0], 0) <= self.applied
        ]
        moving = [name for name, _ in held if name in self.leases.moving]
        self._send(session.to, w.Renewed(session.seq, int(who.rpartition("#")[2]), held, moving))

    def _ask(self, sender, ask):
        if self.state != LEADING:
            self._send(sender, w.Answer(ask.key, elsewhere=self.leader))
        elif ask.command in DIRECT:
            self._send(sender, w.Answer(ask.key, DIRECT[ask.command](self, *ask.fields[:2])))
        elif ask.command not in ASKED or not ask.key.startswith(f"{sender}#"):
            self._send(sender, w.Answer(ask.key, ["malformed"]))
        elif not fits(ask):
            self._send(sender, w.Answer(ask.key, ["too large, or no records"]))
        elif len(self.asks) >= MOST_ASKS:
            self._send(sender, w.Answer(ask.key, ["busy"]))
        else:
            self.asks[self.propose(w.COMMAND, (ask.key, ask.command, ask.fields))] = sender, ask.key

    def _replace(self, add=None, strike=None):
        """Who keeps: one more, as a learner first, or one less. One change at a time."""
        if self.changed > self.commit or self.term_at(self.commit) != self.term:
            return ["busy"]
        if add is not None and isinstance(add, str) and add not in (*self.voters, *self.learners):
            self.propose(w.CHANGE, (list(self.voters), [*self.learners, add]))
        elif strike is not None and strike != self.name and strike in (*self.voters, *self.learners):
            rest = [[name for name in names if name != strike] for names in (self.voters, self.learners)]
            if not rest[0]:
                return ["the last voter stays"]
            self.propose(w.CHANGE, tuple(rest))
        else:
            return [
                "no such change: the one to add keeps already, or the one to strike leads or does not keep"
            ]
        return ["changing", self.last()]

    def _hand_over(self, name="", to=None):
        """To that member, or to the one with least."""
        duty, live = self.duties.rows.get(name), sorted(self.leases.live(self.now))
        if duty is None:
            return ["unknown duty"]
        fit = [
            who
            for who in live
            if who != duty.owner
            and to in (None, who, who.partition("#")[0])
            and self.leases.sessions[who].fit(name)
        ]
        if not fit:
            return [
                "no other live member bears it"
                if to is None
                else f"{to} does not live, or does not bear it, or owns it already"
            ]
        counts = [row.owner for row in self.duties.rows.values()]
        target = min(fit, key=counts.count)
        self.leases.move(self.now, name, target)
        if duty.owner is not None:
            self._renewed(duty.owner)
        return ["moving", target]

    def _look(self, sender, look):
        self._send(sender, w.Answer(look.key, self.shown()))

    def shown(self):
        """What people ask for, plain values."""
        leading = self.state == LEADING
        rows = []
        for name, duty in sorted(self.duties.rows.items()):
            left = max(0, self.leases.held_until(duty.owner) - self.now) if leading and duty.owner else None
            rows.append([name, duty.owner, duty.number, duty.step, left])
        orders = [
            [name, order.epoch, order.newest, order.seal.hex(), order.where]
            for name, order in sorted(self.duties.orders.items())
        ]
        return {
            "keeper": self.name,
            "state": self.state,
            "term": self.term,
            "leader": self.leader,
            "voters": list(self.voters),
            "learners": list(self.learners),
            "commit": self.commit,
            "last": self.last(),
            "aside": self.doubt
            or ("it has not heard from a majority since its start" if self.aside() else None),
            "members": sorted(self.leases.live(self.now)) if leading else None,
            "duties": rows,
            "orders": orders,
            "unfiled": len(self.unfiled),
        }


DIRECT = {HAND_OVER: Members._hand_over, REPLACE: Members._replace}  # what a leader does of its own
