"""Every order of news of one member, sums of views, and a late waking: what is checked without a network."""

from random import Random

from msgspec.structs import replace

from hookrouter.decisions.view import Member, Terms, View, protocol

from .nodes import SECOND


def explore(make=View, most=200_000):
    """(states, what is wrong or None, whether all were seen) of two members that hear of a third, X: they may
    suspect it, bury it, hear any row that was ever said again in any order, and X may hear what is said of
    it and refute, at most twice. Held: what a member thinks of X only rises; nobody knows of an incarnation
    that X never had; a death ends only by an incarnation above it; X refutes what is said of it; from each
    state, with all rows heard, both think the same of one that lives.
    """
    x = Member("x", 1, "h", 1, "z", "r", "v", 0)

    def view(name, row):
        made = make(Terms(), Member(name, 1, "h", 2 if name == "a" else 3, "z", "r", "v", 0), 0, 1)
        if row is not None:
            made._store(
                Member(
                    "x", 1, "h", 1, "z", "r", "v", row[0], row[1], "b" if row[1] >= protocol.SUSPECT else ""
                ),
                "",
                (),
            )
            if row[1] == protocol.SUSPECT:
                made._suspect(made.members[x.key], "b")
        return made

    def of(made):
        row = made.members.get(x.key)
        return None if row is None else (row.incarnation, row.state)

    def said(row):
        return Member(
            "x", 1, "h", 1, "z", "r", "v", row[0], row[1], "b" if row[1] >= protocol.SUSPECT else ""
        )

    start = (((0, protocol.ALIVE), (0, protocol.ALIVE)), 0, frozenset([(0, protocol.ALIVE)]))
    seen, left = {start}, [start]
    while left:
        if len(seen) > most:
            return len(seen), None, False
        thinks, own, rows = left.pop()
        following = []
        for n, name in enumerate("ab"):
            now = thinks[n]
            after = []
            if now is not None and now[1] < protocol.SUSPECT:
                after.append((now[0], protocol.SUSPECT))
            if now is not None and now[1] == protocol.SUSPECT:
                after.append((now[0], protocol.DEAD))
            for row in rows:
                made = view(name, now)
                made.now += 1 << 30  # its suspicions have run for their least time
                made._learn(said(row), "c", True)
                after.append(of(made))
                if now is not None and of(made) is not None and of(made) < now:
                    return len(seen), f"{name} thought {now}, then heard {row} and thinks {of(made)}", True
                if of(made) is not None and of(made)[0] > own:
                    return len(seen), f"{name} knows incarnation {of(made)[0]}, x has {own}", True
            for new in after:
                if new != now:
                    both = (new, thinks[1]) if n == 0 else (thinks[0], new)
                    following.append((both, own, rows | {new}))
        if own < 2:
            for row in rows:
                made = make(Terms(), Member("x", 1, "h", 1, "z", "r", "v", own), 0, 1)
                made._learn(said(row), "c", True)
                if made.local_member.incarnation != own:
                    following.append(
                        (
                            thinks,
                            made.local_member.incarnation,
                            rows | {(made.local_member.incarnation, made.local_member.state)},
                        )
                    )
                elif row[1] >= protocol.SUSPECT and row[0] >= own:
                    return len(seen), f"x of incarnation {own} heard {row} and did not refute it", True
        best = max(rows)
        for n, name in enumerate("ab"):
            made = view(name, thinks[n])
            made.now += 1 << 30
            for row in sorted(rows) * 2:
                made._learn(said(row), "c", True)
            if of(made) != best and best[1] < protocol.DEAD:
                return len(seen), f"{name} heard all of {sorted(rows)} and thinks {of(made)}", True
        for state in following:
            if state not in seen:
                seen.add(state)
                left.append(state)
    return len(seen), None, True


def sums_tell(seed, make=View):
    """Whether views have one sum just where they have the same rows of who takes part."""
    dice, by_sum = Random(seed), {}
    for _ in range(400):
        rows = [
            Member(f"n{n}", 1, "h", n + 1, "z", "r", "v", dice.randrange(2), dice.choice((0, 0, 2, 3)))
            for n in range(3)
        ]
        made = make(Terms(), Member("me", 1, "h", 9, "z", "r", "v", 0), 0, 1)
        for row in dice.sample(rows, 3):
            made._store(row, "", ())
        same = frozenset((row.name, row.incarnation, row.state) for row in rows if row.state < protocol.DEAD)
        if by_sum.setdefault(made.digest, same) != same or list(by_sum.values()).count(same) > 1:
            return False
    return True


def wakes_late(make=View):
    """Whether a member that stood still buries, on waking, one that it had come to suspect just before."""

    def row(name, port):
        return Member(name, 1, "h", port, "z", "r", "v", 0)

    core = make(Terms(), row("a", 1), 0, 1)
    for name, port in (("b", 2), ("c", 3)):
        core.take(10, protocol.Received(name, 1, ("h", port), protocol.MemberList([row(name, port)])))
    accused = replace(row("b", 2), state=protocol.SUSPECT, accuser="c")
    core.take(20, protocol.Received("c", 1, ("h", 3), protocol.MemberList([accused])))
    core.take(30, protocol.Received("c", 1, ("h", 3), protocol.Ping(1, 0, [])))  # it has heard somebody since
    core.take(30 + 20 * SECOND, protocol.Tick())
    return core.members["b", 1].state == protocol.DEAD
