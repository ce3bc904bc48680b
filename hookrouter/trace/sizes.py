"""Shares of answered lookups by object size: the largest tenth, and the fifth after it, of each kind."""

from collections import defaultdict

MIN_FOR_TENTH = 400  # lookups of a kind; with fewer, the largest quarter is reported in place of the tenth
TENTH, QUARTER, FIFTH = 0.1, 0.25, 0.2


def by_size(lookups, answered):
    """{kind: (lookups, share answered, ratio of the largest, ratio of the next)}; ratios to that share.

    lookups: ended_lookups of an Account; answered: the outcomes that count. Kinds without sizes are left out.
    """
    kinds, shares_by_kind = defaultdict(list), {}
    for lookup in lookups:
        kinds[lookup.kind].append((lookup.size, lookup.outcome in answered))
    for kind, rows in sorted(kinds.items()):
        rows.sort(key=lambda row: -row[0])
        if not rows[0][0]:
            continue
        count = len(rows)
        largest = max(1, int(count * (TENTH if count >= MIN_FOR_TENTH else QUARTER)))
        overall = answered_share(rows)
        large = answered_share(rows[:largest]), answered_share(rows[largest : largest + int(count * FIFTH)])
        shares_by_kind[kind] = count, overall, *(part / overall if overall else 0.0 for part in large)
    return shares_by_kind


def answered_share(rows):
    """Share of the rows (size, whether answered) that are answered."""
    return sum(is_answered for _, is_answered in rows) / len(rows) if rows else 0.0
