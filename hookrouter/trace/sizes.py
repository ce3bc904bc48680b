"""Whether large objects are answered as the rest of their kind is: the largest tenth, the fifth after it."""

from collections import defaultdict

FEW = 400  # lookups of a kind: of fewer the largest quarter is taken for the tenth
TENTH, QUARTER, FIFTH = 0.1, 0.25, 0.2


def by_size(ends, answered):
    """{kind: (offered, share answered, of the largest, of the next)}, the last two in parts of the second.

    ends: of an Account; answered: the outcomes that count. A kind without sizes is left out.
    """
    kinds, rows = defaultdict(list), {}
    for end in ends:
        kinds[end.kind].append((end.size, end.outcome in answered))
    for kind, sized in sorted(kinds.items()):
        sized.sort(key=lambda row: -row[0])
        if not sized[0][0]:
            continue
        count = len(sized)
        largest = max(1, int(count * (TENTH if count >= FEW else QUARTER)))
        whole = share(sized)
        parts = share(sized[:largest]), share(sized[largest : largest + int(count * FIFTH)])
        rows[kind] = count, whole, *(part / whole if whole else 0.0 for part in parts)
    return rows


def share(sized):
    return sum(good for _, good in sized) / len(sized) if sized else 0.0
