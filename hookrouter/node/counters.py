"""Counters and gauges of one router, printed one per line under stable names."""

from .. import interface

LOOKUP_OUTCOMES = (
    "satisfied",
    "nacked",
    "failed",
    "given_up",
)  # plus lookups_held, they add up to the lookups taken
SEND_OUTCOMES = (
    interface.SATISFIED,
    interface.ERRED,
    interface.FULL,
    interface.LATE,
    interface.UNREACHED,
    interface.BROKEN,
    interface.CANCELLED,
    interface.VOID,
    interface.MISSING,
)
GIVE_UP_REASONS = (
    "fenced",
    "fills",
    "time",
    "sends",
    "caches",
    "effect",
    "kind",
)  # why Control gave up lookups
PLAIN_COUNTERS = (
    "accepts_failed",
    "clients_connected",
    "clients_turned_away",
    "clients_malformed",
    "clients_flooding",
    "clients_not_reading",
    "clients_shed",
    "calls_malformed",
    "calls_of_unknown_kind",
    "calls_without_room",
    "calls_beyond_bound",
    "calls_beyond_share",
    "calls_without_time",
    "calls_cut_off",
    "bodies_left_out",
    "copies_given",
    "copies_not_verified",
    "copies_revoked",
    "ids_used_twice",
    "keys_missing",
    "lookups_beyond_limit",
    "sends",
    "sends_waited",
    "sends_to_gone_caches",
    "probes",
    "connections",
    "caches_malformed",
    "caches_unasked",
    "feed_connections",
    "feed_events",
    "feed_malformed",
    "feed_gaps",
    "purge_connections",
    "purges_told",
    "purges_failed",
    "purges_malformed",
    "purge_gaps",
    "slices_fetched",
    "slices_taken",
    "slices_refused",
    "slices_failed",
    "renewals_refused",
    "renewals_failed",
    "copies_refused",
    "purges_of_every_name",
    "room_filled",
    "reloads",
    "reloads_refused",
    "decisions_failed",
    "effects_failed",
    "errors_uncaught",
    "traces_failed",
)


class Counters:
    """Counts by name; every name exists from the start with the value 0."""

    def __init__(self, kinds):
        """kinds: names of the object kinds, each of which gets its own lookup counters."""
        self.values = dict.fromkeys(PLAIN_COUNTERS, 0)
        self.values.update((f"sends_{outcome}", 0) for outcome in SEND_OUTCOMES)
        self.values.update((f"given_up_for_{reason}", 0) for reason in GIVE_UP_REASONS)
        self.values.update(
            (f"lookups_{event}.{kind}", 0) for kind in kinds for event in ("taken", *LOOKUP_OUTCOMES)
        )

    def count(self, name):
        """Adds one to a counter; KeyError for an unknown name."""
        self.values[name] += 1

    def lookup_taken(self, kind):
        """Counts a lookup that was accepted from a client."""
        self.count(f"lookups_taken.{kind}")

    def lookup_ended(self, kind, outcome):
        """Counts the outcome of a lookup: one of LOOKUP_OUTCOMES."""
        self.count(f"lookups_{outcome}.{kind}")

    def lookup_given_up(self, reason):
        """Counts why Control gave up a lookup; other reasons than GIVE_UP_REASONS are not counted."""
        if reason in GIVE_UP_REASONS:
            self.count(f"given_up_for_{reason}")

    def send_ended(self, outcome):
        """Counts the outcome of a send: one of SEND_OUTCOMES."""
        self.count(f"sends_{outcome}")

    def lines(self, gauge_values):
        """Lines of "name value": the counters sorted by name, then the gauges."""
        return [f"{name} {value}" for name, value in (*sorted(self.values.items()), *gauge_values.items())]


def gauges(router):
    """Current values: resources in use and requests in progress, by name."""
    return {
        "sends_out": sum(len(lookup.active_sends) for lookup in router.lookups.occupied()),
        "sends_believed_out": len(router.control.pending_sends),
        "caches_set_aside": sum(trickle is not None for trickle in router.control.health.slow_start_limit),
        "caches_listed": len(router.caches.endpoints),
        "lookups_held": len(router.by_call),
        "clients_held": len(router.front.connections),
        "connections_held": len(router.caches.connections),
        "sends_waiting": len(router.caches.waiting),
        "deadlines_held": len(router.deadlines),
        "body_bytes_held": router.front.body_memory.used_bytes + router.caches.body_memory.used_bytes,
        "half_frame_bytes_held": router.front.watch.partial_bytes_total,
        **(router.purges.gauges() if router.purges is not None else {}),
        "copies_held": len(router.copies),
        "copy_bytes_held": router.control.copies.stored.bytes,
    }


def bounded_tables(router):
    """What the tables hold that clients and caches can fill, by gauge name: entries, and bytes."""
    front, caches = router.front, router.caches
    return {
        "clients_held": len(front.connections),
        "clients_lingering": len(front.lingering),
        "half_frame_bytes_held": front.watch.partial_bytes_total,
        "client_body_bytes_held": front.body_memory.used_bytes,
        "unread_answer_bytes_held": front.unread.bytes,
        "cache_body_bytes_held": caches.body_memory.used_bytes,
        "connections_held": len(caches.connections),
        "sends_waiting": len(caches.waiting),
        "lookups_held": len(router.by_call),
        "copies_held": len(router.copies),
        "copy_bytes_held": router.control.copies.stored.bytes,
        "deadlines_held": len(router.deadlines),
    }
