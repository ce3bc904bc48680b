"""The leader's table of members' leases, and the placement of duties; discarded when the leader steps down.

A renewal takes effect once a majority has confirmed, in a heartbeat round begun after the renewal arrived,
that this leader still leads. No later leader can have been elected before that, and a new leader waits from
its election on until earlier leases have expired (Gray and Cheriton, 1989; Ongaro, 2014, 6.4.1). So renewals
need no disk write.
"""

from hashlib import blake2b

MAX_RELEASE_LEASES = 3  # lease durations after which a move is dropped if the owner has not released the duty
MAX_DUTIES_PER_MEMBER = 4_000  # as many as one message holds


class Session:
    """A member process's lease: its last confirmed renewal, and those that wait for confirmation."""

    __slots__ = ("seq", "until", "pending", "leaving", "reply_to", "duty_kinds")

    def __init__(self):
        # pending: (seq, lease end, required round) of unconfirmed renewals
        self.seq, self.until, self.pending, self.leaving, self.reply_to = 0, 0, [], False, None
        self.duty_kinds = None

    def supports(self, duty):
        """Returns whether the member can work on that duty."""
        return self.duty_kinds is None or duty.partition("/")[0] in self.duty_kinds


class LeaseTable:
    """Sessions of members by "name#generation", and the grants, moves and releases in progress."""

    def __init__(self, now, earlier_leases_until, settings):
        """earlier_leases_until: until then owners may hold leases that an earlier leader confirmed."""
        self.earlier_leases_until, self.settings = earlier_leases_until, settings
        self.lease_span = int(settings.lease * (1 + settings.clock_drift)) + 1
        self.sessions = {}  # name#generation -> Session
        # released: (duty, fencing token) given up by its owner; moving: duty -> (target member, deadline);
        # granting: duty -> log index of the proposed grant
        self.released, self.moving, self.granting = set(), {}, {}
        self.rebalance_at = now + settings.rebalance_interval

    def renew(self, now, member_id, reply_to, renew, required_round):
        """Records a renewal. reply_to: name to answer; required_round: heartbeat round that confirms it."""
        session = self.sessions.setdefault(member_id, Session())
        session.reply_to, session.leaving, session.duty_kinds = reply_to, renew.leaving, renew.duty_kinds
        if renew.seq > max([session.seq, *(row[0] for row in session.pending)]):
            session.pending.append((renew.seq, now + self.lease_span, required_round))
        self.released.update((duty, fencing_token) for duty, fencing_token in renew.released)

    def confirmed(self, confirmed_round):
        """Applies the renewals that a confirmed round covers. Returns the ids of their members."""
        member_ids = []
        for member_id, session in self.sessions.items():
            confirmed_renewals = [row for row in session.pending if row[2] <= confirmed_round]
            if confirmed_renewals:
                session.pending = [row for row in session.pending if row[2] > confirmed_round]
                session.seq = max(session.seq, confirmed_renewals[-1][0])
                session.until = max(session.until, confirmed_renewals[-1][1])
                member_ids.append(member_id)
        return member_ids

    def forget_expired(self, now, applied):
        """Removes finished grants, and sessions that expired at least one lease ago."""
        self.granting = {name: index for name, index in self.granting.items() if index > applied}
        for member_id in [
            member_id
            for member_id, row in self.sessions.items()
            if not row.pending and now >= max(row.until, self.earlier_leases_until) + self.lease_span
        ]:
            del self.sessions[member_id]

    def live_members(self, now):
        """Returns the ids of members with an unexpired lease that are not leaving."""
        return [member_id for member_id, row in self.sessions.items() if now < row.until and not row.leaving]

    def held_until(self, member_id):
        """Returns the time of this clock by which that owner's leases have expired by its own clock."""
        session = self.sessions.get(member_id)
        return max(self.earlier_leases_until, session.until if session is not None else 0)

    def place(self, now, duties, applied):
        """Chooses owners for duties that have none, whose lease has expired or whose owner released them.

        applied: grants proposed up to that index are decided. Returns [(duty, member, previous token)].
        """
        live = self.live_members(now)
        if not live:
            return []
        counts = {member_id: len(duties.by_owner.get(member_id, ())) for member_id in sorted(live)}
        has_live_lease = {member_id: now < self.held_until(member_id) for member_id in duties.by_owner}
        unowned = [
            (name, duty)
            for name, duty in duties.by_name.items()
            if self.granting.get(name, 0) <= applied
            and (
                duty.owner is None
                or not has_live_lease[duty.owner]
                or (name, duty.fencing_token) in self.released
            )
        ]
        grants = []
        for name, duty in unowned:
            target = self.moving.pop(name, (None, 0))[0]
            eligible = [member_id for member_id in counts if self.sessions[member_id].supports(name)]
            fewest = min((counts[member_id] for member_id in eligible), default=MAX_DUTIES_PER_MEMBER)
            if fewest >= MAX_DUTIES_PER_MEMBER:
                continue
            member = (
                target
                if target in eligible
                else min(
                    (member_id for member_id in eligible if counts[member_id] == fewest),
                    key=lambda member_id, name=name: blake2b(
                        f"{name}|{member_id}".encode(), digest_size=8
                    ).digest(),
                )
            )
            counts[member] += 1
            grants.append((name, member, duty.fencing_token))
        self._rebalance(now, duties, counts)
        return grants

    def granted(self, name, previous_token):
        """Notes that a grant is applied; a release or move of the previous token is void."""
        self.released.discard((name, previous_token))
        self.moving.pop(name, None)

    def _rebalance(self, now, duties, counts):
        """Moves duties from the most to the least loaded member if their counts differ by three or more.

        A move interrupts the duty's work for a moment, so a smaller difference does not justify one.
        """
        self.moving = {
            name: row for name, row in self.moving.items() if now < row[1] and name in duties.by_name
        }
        if now < self.rebalance_at or self.moving or len(counts) < 2:
            return
        self.rebalance_at = now + self.settings.rebalance_interval
        most_loaded, least_loaded = (pick(sorted(counts), key=counts.get) for pick in (max, min))
        for _ in range((counts[most_loaded] - counts[least_loaded] - 1) // 2):
            name = next(
                (
                    name
                    for name in duties.by_owner.get(most_loaded, ())
                    if name not in self.moving and self.sessions[least_loaded].supports(name)
                ),
                None,
            )
            if name is not None:
                self.move(now, name, least_loaded)

    def move(self, now, name, member):
        """Asks the owner of a duty to release it to that member."""
        self.moving[name] = member, now + MAX_RELEASE_LEASES * self.lease_span
