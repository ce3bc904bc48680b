"""The turns of a cold cache, as Control hands them out: by the wall clock, since its start is told by it."""

from ...tables.turn_order import turn_position


def handed(row, wall):
    """(turns to all routers since its start, what it is able to by now)."""
    cold, age = row.terms, max(0, wall - row.born)
    able = row.weight * (cold.share + (1 - cold.share) * min(1.0, age / cold.span))
    return cold.pace * age * (able + row.weight * cold.share) / 2, able


def open_at(row, unit, wall, terms):
    """(turn of this unit that opened last, or -1; whether it is still open)."""
    count, able = handed(row, wall)
    turn, since = divmod(count - turn_position(unit, terms.routers), terms.routers)
    return int(max(-1, turn)), turn >= 0 and since <= row.terms.burst * able


def until_next(row, unit, wall, terms):
    """Tenths of a millisecond until its next turn opens, as the pace is now."""
    count, able = handed(row, wall)
    left = terms.routers - (count - turn_position(unit, terms.routers)) % terms.routers
    return left / max(1e-12, row.terms.pace * able)
