"""What a run came to, and what it broke. Safety only: how much was served is for whoever ran it to judge."""

from . import objects

SLACK = 0.25  # seconds beyond each time that the rules give, if not told otherwise: few cores for many
PURGE = 1_000  # ms after which a purge that was told binds every answer
GRACE = 500  # ms of a drain
AROUND = 6.0  # seconds after a router was struck in which what it had taken may be lost
TOLD = 1_000  # ms after a cold start was told: routers knew


class Verdict:
    """table: of the clients; caches: their tables; told: events and purges of the feed; struck: [(Unix s,
    what, router)]. broken: [text], empty where each rule was kept.
    """

    def __init__(self, table, caches, told, struck, slack=SLACK):
        self.lookups, self.caches, self.slack = table["lookups"], caches, 1_000 * slack
        self.router_faults = [(at, name) for at, what, name in struck if what in ("kill", "stop")]
        self.outcomes = {}
        for row in self.lookups:
            self.outcomes[row[3]] = self.outcomes.get(row[3], 0) + 1
        sent = len(self.lookups) - self.outcomes.get("unsent", 0) - self.outcomes.get("left", 0)
        self.sent = sent
        self.served = self.outcomes.get("served", 0) / sent if sent else 0.0
        self.lost = [row for row in self.lookups if row[3] == "lost" and not self._router_had_fault(row)]
        self.answered_twice, self.corrupt = table["twice"], table["bad"]
        self.stale = [row for row in self.lookups if row[5] and self._stale(row, told["purged"])]
        self.overloads = [fall for row in caches for fall in row["falls"]]
        self.after_drain = [
            use for row in caches for use in row["after_drain"] if use[0] > GRACE + self.slack
        ]
        self.invalid_requests = [target for row in caches for target in row["void"]]
        self.repeated_effects = self._find_repeated_effects()
        self.violations = [
            f"{what}: {len(rows)}, such as {rows[0]}"
            for what, rows in (
                ("lookups lost by a router that lived", self.lost),
                ("answered twice", self.answered_twice),
                ("bytes that no cache made", self.corrupt),
                ("older than a purge or its time", self.stale),
                ("cold caches pushed over", self.overloads),
                ("drained caches used", self.after_drain),
                ("requests that no client sent", self.invalid_requests),
                ("effects twice", self.repeated_effects),
            )
            if rows
        ]

    def _router_had_fault(self, row):
        """Its router was killed or stopped while it was out, or just before: nobody else is to blame."""
        return any(
            name == row[1] and at - AROUND <= row[0] + row[4] and row[0] <= at + AROUND
            for at, name in self.router_faults
        )

    def _stale(self, row, purged):
        at, _, kind, _, _, made, object_ = row
        fresh, grace = objects.KINDS[kind][3:5]
        if fresh and at * 1_000 - made > fresh + grace + self.slack:
            return True
        return any(
            made < when
            and at * 1_000 > told + PURGE + self.slack
            and (key == object_ if key else group == objects.group(object_))
            for told, when, key, group in purged
        )

    def _find_repeated_effects(self):
        """Side effects by id or key that ran more than once: a guarded one may, within its caches' memory."""
        seen = {}
        for row in self.caches:
            for key, effect, at, name in row["effects"]:
                seen.setdefault((effect, key), []).append((at, name))
        return [(key, ran) for (effect, key), ran in seen.items() if len(ran) > 1 and effect == "single_shot"]

    def summary(self):
        slots = [slot for row in self.caches for slot in row["slots"]]
        edge = [slot for row in self.caches if row["sort"] == "box" for slot in row["slots"]]
        took = sorted(row[4] for row in self.lookups if row[3] == "served") or [0.0]
        hits, fills = (sum(slot["hits"] for slot in edge), sum(sum(slot["fills"].values()) for slot in edge))
        return {
            "lookups": len(self.lookups),
            **{end: count for end, count in sorted(self.outcomes.items())},
            "served_share": round(self.served, 4),
            "hit_share": round(hits / max(1, hits + fills), 4),
            "p50_ms": round(1_000 * took[len(took) // 2], 1),
            "p99_ms": round(1_000 * took[int(len(took) * 0.99)], 1),
            "origin_fills": sum(slot["fills"].get("o0", 0) for slot in slots),
            "full": sum(slot["full"] for slot in slots),
            "refused": sum(slot["refused"] for slot in slots),
            "falls": len(self.overloads),
            "rule_breaks": len(self.violations),
        }
