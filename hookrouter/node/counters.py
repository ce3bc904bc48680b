"""Counts of what is taken in, sent and answered: one line each, stable names."""

ENDS = ("satisfied", "nacked", "failed", "given_up")
UNKNOWN = "unknown"


class Counters:
    def __init__(self, kinds):
        self.values = {}
        for kind in (*kinds, UNKNOWN):
            for word in ("taken", *ENDS):
                self.values[f"lookups_{word}.{kind}"] = 0

    def count(self, name, by=1):
        self.values[name] = self.values.get(name, 0) + by

    def taken(self, kind):
        self.count(f"lookups_taken.{kind or UNKNOWN}")

    def ended(self, kind, end):
        self.count(f"lookups_{end}.{kind or UNKNOWN}")

    def send_ended(self, end):
        self.count(f"sends_{end}")

    def lines(self, held):
        """One a counter, then one for each thing held now."""
        return [f"{name} {value}" for name, value in (*sorted(self.values.items()), *held.items())]
