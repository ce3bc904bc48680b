"""How long until a purge is in effect, in calm, with the dead, and through a takeover of the desk."""

from .arithmetic import effect_latest_s, longest_lease_s
from .assumptions import assumed
from .figures import Figure, bound, shown, total
from .inputs import Inputs
from .sealed_filters import LIVE_SLICES, archive_bytes
from .size import BOUNDS, SHORT_LEASE_S, SIZE
from .tables import table, verdict


def effect(lease_s: float) -> Figure:
    """The latest from acceptance on, whoever is dead: the spans are the code's, the write is assumed."""
    write = assumed("desk_write")
    value = effect_latest_s(lease_s, BOUNDS.drift, BOUNDS.skew_s, BOUNDS.rounding_s, write.value)
    return Figure(value, write.standing)


def longest_lease() -> Figure:
    """With which a purge is in effect in time."""
    write = assumed("desk_write")
    value = longest_lease_s(SIZE.effect_s, BOUNDS.drift, BOUNDS.skew_s, BOUNDS.rounding_s, write.value)
    return Figure(value, write.standing)


def read_store(inputs: Inputs) -> Figure:
    """Until a new owner has read the desk's order: the slices of a hold, and the rows behind them."""
    filters = archive_bytes(BOUNDS.hold_s, LIVE_SLICES)
    return inputs.seconds("store_read", bound(BOUNDS.rows_read)) + inputs.seconds(
        "store_slices_read", filters
    )


def takeover(inputs: Inputs) -> Figure:
    """From the death of the owner until its successor takes purges: lease, election, grant, store."""
    lease = bound(BOUNDS.duty_lease_s * (1.0 + BOUNDS.drift))
    return total((lease, bound(BOUNDS.election_s), read_store(inputs)))


def effect_through_takeover(inputs: Inputs, lease_s: float) -> Figure:
    """Of a purge taken just before the owner died: the successor counts a lease anew from its reading on."""
    return takeover(inputs) + effect(lease_s)


def times_table(inputs: Inputs) -> str:
    """The times beside the operators' 1.4 s."""
    rows = (
        (f"lease of {BOUNDS.lease_s:g} s, the default", effect(BOUNDS.lease_s)),
        (f"lease of {SHORT_LEASE_S:g} s", effect(SHORT_LEASE_S)),
        ("a whole hold read from the store", read_store(inputs)),
        ("owner dies, 1 s lease, a whole hold", effect_through_takeover(inputs, SHORT_LEASE_S)),
        ("two regions apart, 1 s lease: the cut one holds no lease by then", effect(SHORT_LEASE_S)),
    )
    cells = [
        (name, f"{SIZE.effect_s:g} s", shown(figure, "s"), verdict(figure, SIZE.effect_s))
        for name, figure in rows
    ]
    text = table(("in effect everywhere, at the latest", "wanted", "value", ""), cells)
    return f"{text}\n\nThe longest lease that fits: {shown(longest_lease(), 's')}."
