"""The size to design for and the budgets, as the operators give them, and bounds that the code sets."""

from dataclasses import dataclass

from hookrouter.decisions.owners.protocol import Settings as KeeperSettings
from hookrouter.decisions.sharing.protocol import Terms as SharingTerms
from hookrouter.decisions.view.protocol import Terms as ViewTerms
from hookrouter.desk.local_store import MIN_UNSEALED, SEAL_BATCH_SIZE
from hookrouter.feed.renewals import NEWS_IN_LEASE, RENEWALS
from hookrouter.purges.catalogue import MOST_UNLISTED
from hookrouter.purges.followers import DRIFT, MOST_FOLLOWERS
from hookrouter.purges.guard import ROUNDING, TRIAL_COST
from hookrouter.purges.index import MOST_PATTERNS, REMEMBERED
from hookrouter.purges.names import SHARED
from hookrouter.purges.prefixes import MOST_PREFIXES
from hookrouter.purges.tail import MOST_NAMES, RECENT
from hookrouter.purges.types import PurgeTerms
from hookrouter.purges.wire import MOST_IN_EVENT

SECONDS_A_DAY = 86_400
SECONDS_AN_HOUR = 3_600
TENTHS_A_SECOND = 10_000  # of a millisecond: the unit of spans in the code


@dataclass(frozen=True)
class Size:
    """The operators' figures."""

    routers: int = 1_200
    sites: int = 59
    caches: int = 200
    lookups_per_s: float = 1.2e6
    traffic_bits_per_s: float = 4e12
    objects: float = 3.9e9
    purges_per_s: float = 32.0
    effect_s: float = 1.4
    regions: int = 13
    zones: int = 38
    changes_per_day: int = 5_800
    change_s: float = 10.0
    machines: int = 12
    machines_lost: int = 2
    machine_failures_per_day: int = 4
    restarts_per_day: int = 350


@dataclass(frozen=True)
class Budget:
    """What the control of one router may take."""

    core_share: float = 0.023
    memory_mb: float = 64.0
    bytes_per_s: float = 5_000.0


@dataclass(frozen=True)
class Bounds:
    """Limits set in the code, and the defaults of the operator's file."""

    names: int = 16_000
    tagged: int = 50_000
    most_live: int = 4_000_000
    most_desk_patterns: int = 4_000
    hold_s: int = SECONDS_A_DAY
    lease_s: float = 2.0
    skew_s: float = 0.020
    grace_s: float = 0.5
    shared: int = SHARED
    most_sealed: int = PurgeTerms._field_defaults["most_sealed"]
    router_prefixes: int = MOST_PREFIXES
    router_patterns: int = MOST_PATTERNS
    trial_cost: int = TRIAL_COST
    remembered: int = REMEMBERED
    recent: int = RECENT
    order_names: int = MOST_NAMES
    unlisted: int = MOST_UNLISTED
    rows_read: int = MIN_UNSEALED + SEAL_BATCH_SIZE
    purges_in_event: int = MOST_IN_EVENT
    desk_members: int = MOST_FOLLOWERS
    drift: float = DRIFT
    rounding_s: float = ROUNDING / TENTHS_A_SECOND
    duty_lease_s: float = 1.0
    election_s: float = KeeperSettings("", 0, ()).max_election_timeout / TENTHS_A_SECOND
    log_entries: int = KeeperSettings("", 0, ()).max_log_entries + KeeperSettings("", 0, ()).log_tail
    keepers: int = 5
    tellers: int = SharingTerms().reporters
    teller_rows: int = SharingTerms().max_caches
    forget_s: float = ViewTerms().dead_retention / TENTHS_A_SECOND
    renewals_in_lease: int = RENEWALS
    news_in_lease: int = NEWS_IN_LEASE


SIZE, BUDGET, BOUNDS = Size(), Budget(), Bounds()
SHORT_LEASE_S = 1.0  # of purges: fits the time to effect; that of the scale run
