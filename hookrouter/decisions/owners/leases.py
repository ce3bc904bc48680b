"""What a leader knows of members' leases, and where it has duties go. It lives as long as the leader leads.

A renewal counts once a majority has confirmed, after it came, that this leader still leads: no later leader
can have been elected before then, and a later leader waits from its election on (Gray and Cheriton, 1989;
Ongaro, 2014, 6.4.1). So leases cost the disk nothing.
"""

from hashlib import blake2b

RELEASE_LATEST = 3  # leases: a duty whose owner does not give it up by then stays where it is
MOST_HELD = 4_000  # duties of one member: what one message tells


class Session:
    __slots__ = ("seq", "until", "pending", "leaving", "to", "bears")

    def __init__(self):
        self.seq, self.until, self.pending, self.leaving, self.to = 0, 0, [], False, None
        self.bears = None

    def fit(self, duty):
        return self.bears is None or duty.partition("/")[0] in self.bears


class Leases:
    def __init__(self, now, floor, terms):
        """floor: until then every owner of before may still hold what it held."""
        self.floor, self.terms = floor, terms
        self.span = int(terms.lease * (1 + terms.drift)) + 1
        self.sessions = {}  # name#life -> Session
        self.released, self.moving, self.granting = set(), {}, {}
        self.spread_at = now + terms.spread_every

    def renew(self, now, who, to, renew, need):
        """to: the name to answer; need: the round that confirms it."""
        session = self.sessions.setdefault(who, Session())
        session.to, session.leaving, session.bears = to, renew.leaving, renew.bears
        if renew.seq > max([session.seq, *(row[0] for row in session.pending)]):
            session.pending.append((renew.seq, now + self.span, need))
        self.released.update((duty, number) for duty, number in renew.released)

    def confirmed(self, round_):
        """Those whose renewal counts now."""
        found = []
        for who, session in self.sessions.items():
            done = [row for row in session.pending if row[2] <= round_]
            if done:
                session.pending = [row for row in session.pending if row[2] > round_]
                session.seq = max(session.seq, done[-1][0])
                session.until = max(session.until, done[-1][1])
                found.append(who)
        return found

    def forget(self, now, applied):
        """What is gone for long takes no room."""
        self.granting = {name: index for name, index in self.granting.items() if index > applied}
        for who in [
            who
            for who, row in self.sessions.items()
            if not row.pending and now >= max(row.until, self.floor) + self.span
        ]:
            del self.sessions[who]

    def live(self, now):
        return [who for who, row in self.sessions.items() if now < row.until and not row.leaving]

    def held_until(self, who):
        """When at the latest the last lease of that owner is over by its own clock, in this clock's time."""
        session = self.sessions.get(who)
        return max(self.floor, session.until if session is not None else 0)

    def place(self, now, duties, applied):
        """[(duty, member, the number that the grant follows)] for what nobody holds, or its owner has given
        up.
        applied: grants that were proposed up to that index have come to something.
        """
        live = self.live(now)
        if not live:
            return []
        counts = {who: len(duties.owned.get(who, ())) for who in sorted(live)}
        held = {who: now < self.held_until(who) for who in duties.owned}
        free = [
            (name, duty)
            for name, duty in duties.rows.items()
            if self.granting.get(name, 0) <= applied
            and (duty.owner is None or not held[duty.owner] or (name, duty.number) in self.released)
        ]
        grants = []
        for name, duty in free:
            wanted = self.moving.pop(name, (None, 0))[0]
            fit = [who for who in counts if self.sessions[who].fit(name)]
            least = min((counts[who] for who in fit), default=MOST_HELD)
            if least >= MOST_HELD:
                continue
            member = (
                wanted
                if wanted in fit
                else min(
                    (who for who in fit if counts[who] == least),
                    key=lambda who, name=name: blake2b(f"{name}|{who}".encode(), digest_size=8).digest(),
                )
            )
            counts[member] += 1
            grants.append((name, member, duty.number))
        self._spread(now, duties, counts)
        return grants

    def granted(self, name, old):
        """A grant is in force: what was said of the number before is void."""
        self.released.discard((name, old))
        self.moving.pop(name, None)

    def _spread(self, now, duties, counts):
        """Duties of the most laden to the least, where three or more lie between: a move stops work for a
        moment, so it is not made for one duty more or less.
        """
        self.moving = {name: row for name, row in self.moving.items() if now < row[1] and name in duties.rows}
        if now < self.spread_at or self.moving or len(counts) < 2:
            return
        self.spread_at = now + self.terms.spread_every
        most, least = (pick(sorted(counts), key=counts.get) for pick in (max, min))
        for _ in range((counts[most] - counts[least] - 1) // 2):
            name = next(
                (
                    name
                    for name in duties.owned.get(most, ())
                    if name not in self.moving and self.sessions[least].fit(name)
                ),
                None,
            )
            if name is not None:
                self.move(now, name, least)

    def move(self, now, name, member):
        self.moving[name] = member, now + RELEASE_LATEST * self.span
