"""Counts of what is taken in, sent and answered: stable names, one line each."""

from .. import interface as i

ENDS = ("satisfied", "nacked", "failed", "given_up")  # of a lookup; with those held they make up the taken
SENDS = (i.SATISFIED, i.ERRED, i.FULL, i.LATE, i.UNREACHED, i.BROKEN, i.CANCELLED, i.VOID, i.MISSING)
WHYS = ("fenced", "fills", "time", "sends", "caches", "effect", "kind")  # why the module gave lookups up
PLAIN = (
    "clients_connected", "clients_turned_away", "clients_malformed", "clients_not_reading",
    "clients_shed", "calls_malformed", "calls_of_unknown_kind", "calls_without_room", "copies_given",
    "ids_used_twice", "keys_missing", "lookups_beyond_limit", "sends", "sends_waited", "probes",
    "connections", "caches_malformed", "caches_unasked", "feed_connections", "feed_events", "feed_malformed",
    "feed_gaps", "purge_connections", "purges_told", "purges_malformed", "purge_gaps", "renewals_refused",
    "renewals_failed", "copies_refused", "room_filled", "reloads", "reloads_refused", "decisions_failed",
    "errors_uncaught", "traces_failed",
)


class Counters:
    def __init__(self, kinds):
        self.values = dict.fromkeys(PLAIN, 0)
        self.values.update((f"sends_{end}", 0) for end in SENDS)
        self.values.update((f"given_up_for_{why}", 0) for why in WHYS)
        self.values.update((f"lookups_{word}.{kind}", 0) for kind in kinds for word in ("taken", *ENDS))

    def count(self, name):
        self.values[name] += 1

    def taken(self, kind):
        self.count(f"lookups_taken.{kind}")

    def ended(self, kind, end):
        self.count(f"lookups_{end}.{kind}")

    def given_up(self, why):
        if why in WHYS:
            self.count(f"given_up_for_{why}")

    def send_ended(self, end):
        self.count(f"sends_{end}")

    def lines(self, held):
        """One a counter, then one for each thing held now."""
        return [f"{name} {value}" for name, value in (*sorted(self.values.items()), *held.items())]
