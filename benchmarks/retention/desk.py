"""From how many live purges on the desk refuses, by the program's own decisions and the default limits."""

from hookrouter.purges import ledger
from hookrouter.purges.tail import Tail
from hookrouter.site import SECTIONS

from .guard_run import GAP, HOLD, START
from .stock import Purges

SEED = 46
SHOWN = 300_000  # live purges up to which it is tried: a desk's decisions keep every purge whole
IN_ONE = 1_000  # purges of one submission


def limits() -> ledger.Limits:
    """As an operator's file without keys states them."""
    keys = SECTIONS["desk"]
    return ledger.Limits(keys["most live"].default, keys["most patterns"].default)


def first_refusal(most: int = SHOWN) -> int | None:
    """Live purges at which the first submission of objects is refused; None: not up to there."""
    tail = Tail(HOLD, 1)
    desk, purges, now = ledger.Ledger(tail, {}, limits()), Purges(SEED), START
    while len(tail.live) < most:
        items = tuple({(one.kind, one.what): None for one in (purges.purge() for _ in range(IN_ONE))})
        effects = desk.submit(now, ledger.Submission(1, f"k{now}", items, False))
        if any(isinstance(effect, ledger.Refused) for effect in effects):
            return len(tail.live)
        desk.written()
        now += GAP * IN_ONE
    return None


def refused(live: int) -> dict[str, int | None]:
    """Of so many purges of one hold: how many are refused; None where the desk was not tried as far."""
    at = first_refusal()
    return {"desk_refuses_at": at, "refused": None if at is None else max(0, live - at)}
