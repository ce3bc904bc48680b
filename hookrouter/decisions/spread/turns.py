"""The turns of a cold cache as Control hands them out, by the wall clock, which also dates its start."""

from ...tables.turn_order import turn_position


def turns_handed_out(row, wall):
    """Returns (turns of all routers since its start, its capacity by now)."""
    cold, age = row.terms, max(0, wall - row.born)
    capacity = row.weight * (cold.share + (1 - cold.share) * min(1.0, age / cold.span))
    return cold.pace * age * (capacity + row.weight * cold.share) / 2, capacity


def open_turn(row, unit, wall, terms):
    """Returns (the turn of this unit that opened last or -1, whether it is still open)."""
    count, capacity = turns_handed_out(row, wall)
    turn, since = divmod(count - turn_position(unit, terms.routers), terms.routers)
    return int(max(-1, turn)), turn >= 0 and since <= row.terms.burst * capacity


def time_to_next_turn(row, unit, wall, terms):
    """Returns the time until the unit's next turn opens at the present rate, in tenths of a millisecond."""
    count, capacity = turns_handed_out(row, wall)
    remaining = terms.routers - (count - turn_position(unit, terms.routers)) % terms.routers
    return remaining / max(1e-12, row.terms.pace * capacity)
