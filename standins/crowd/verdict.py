"""The results of a run and its violations of safety rules; the caller judges how much was served."""

from . import objects

SLACK = 0.25  # default tolerance in seconds for each time limit, since many processes share few cores
PURGE_MS = 1_000  # after its announcement a purge binds every answer
DRAIN_GRACE_MS = 500  # time for which a draining cache may still be used
FAULT_WINDOW = 6.0  # seconds around a fault of a router in which its lookups may be lost
COLD_START_KNOWN_MS = 1_000  # after its announcement routers know of a cold start


class Verdict:
    """Checks the rules when it is created; violations: [text], empty if all rules hold.

    table: of the clients; caches: their tables; announced: events and purges of the feed; events: [(Unix s,
    event, process)] of processes that were started or signalled; slack: seconds of tolerance.
    """

    def __init__(self, table, caches, announced, events, slack=SLACK):
        self.lookups, self.caches, self.slack = table["lookups"], caches, 1_000 * slack
        self.router_faults = [(fault_s, name) for fault_s, event, name in events if event in ("kill", "stop")]
        self.outcomes = {}
        for row in self.lookups:
            self.outcomes[row[3]] = self.outcomes.get(row[3], 0) + 1
        sent = len(self.lookups) - self.outcomes.get("unsent", 0) - self.outcomes.get("left", 0)
        self.sent = sent
        self.served = self.outcomes.get("served", 0) / sent if sent else 0.0
        self.lost = [row for row in self.lookups if row[3] == "lost" and not self._router_had_fault(row)]
        self.answered_twice, self.corrupt = table["twice"], table["bad"]
        self.stale = [row for row in self.lookups if row[5] and self._stale(row, announced["purged"])]
        self.overloads = [overload for row in caches for overload in row["falls"]]
        self.after_drain = [
            late_use
            for row in caches
            for late_use in row["after_drain"]
            if late_use[0] > DRAIN_GRACE_MS + self.slack
        ]
        self.invalid_requests = [target for row in caches for target in row["void"]]
        self.repeated_effects = self._find_repeated_effects()
        self.violations = [
            f"{what}: {len(rows)}, such as {rows[0]}"
            for what, rows in (
                ("lookups lost by a router without a fault", self.lost),
                ("answered twice", self.answered_twice),
                ("answers with bytes that no cache produced", self.corrupt),
                ("answers older than a purge or their freshness limit", self.stale),
                ("cold caches overloaded", self.overloads),
                ("drained caches used after the grace time", self.after_drain),
                ("requests that no client sent", self.invalid_requests),
                ("single-shot effects that ran more than once", self.repeated_effects),
            )
            if rows
        ]

    def _router_had_fault(self, row):
        """Whether the lookup's router was killed or stopped within FAULT_WINDOW of the lookup."""
        return any(
            name == row[1] and fault_s - FAULT_WINDOW <= row[0] + row[4] and row[0] <= fault_s + FAULT_WINDOW
            for fault_s, name in self.router_faults
        )

    def _stale(self, row, purged):
        sent_s, _, kind, _, _, created_ms, object_ = row
        fresh, grace = objects.KINDS[kind][3:5]
        if fresh and sent_s * 1_000 - created_ms > fresh + grace + self.slack:
            return True
        return any(
            created_ms < purge_ms
            and sent_s * 1_000 > announced_ms + PURGE_MS + self.slack
            and (key == object_ if key else group == objects.group(object_))
            for announced_ms, purge_ms, key, group in purged
        )

    def _find_repeated_effects(self):
        """Returns single-shot side effects that ran more than once; guarded ones may run again."""
        seen = {}
        for row in self.caches:
            for key, effect, ran_ms, name in row["effects"]:
                seen.setdefault((effect, key), []).append((ran_ms, name))
        return [
            (key, runs) for (effect, key), runs in seen.items() if len(runs) > 1 and effect == "single_shot"
        ]

    def summary(self):
        """Returns the figures of the run."""
        slots = [slot for row in self.caches for slot in row["slots"]]
        edge = [slot for row in self.caches if row["sort"] == "box" for slot in row["slots"]]
        latencies = sorted(row[4] for row in self.lookups if row[3] == "served") or [0.0]
        hits, fills = (sum(slot["hits"] for slot in edge), sum(sum(slot["fills"].values()) for slot in edge))
        return {
            "lookups": len(self.lookups),
            **{end: count for end, count in sorted(self.outcomes.items())},
            "served_share": round(self.served, 4),
            "hit_share": round(hits / max(1, hits + fills), 4),
            "p50_ms": round(1_000 * latencies[len(latencies) // 2], 1),
            "p99_ms": round(1_000 * latencies[int(len(latencies) * 0.99)], 1),
            "origin_fills": sum(slot["fills"].get("o0", 0) for slot in slots),
            "full": sum(slot["full"] for slot in slots),
            "refused": sum(slot["refused"] for slot in slots),
            "falls": len(self.overloads),
            "rule_breaks": len(self.violations),
        }
