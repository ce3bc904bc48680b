"""What holds of merges, of lists and of the allowance, tried on seeded cases; parts may be mistaken ones."""

from collections import Counter
from random import Random

from hookrouter.decisions.warming import Allowance, BorrowedLists, Sketch, merge, messages
from hookrouter.decisions.warming.pace import ColdCapacity

LEAST = 1e-6


def merges(dice, merge=merge):
    """Either way round the same, and the bound in any order."""
    made, true = [], Counter()
    for _ in range(3):
        sketch = Sketch(9)
        for _ in range(dice.randrange(400)):
            name = "page", f"o{int(dice.paretovariate(0.7)) % 60}", 0
            sketch.record(name, 10)
            true[name] += 1
        made.append(sketch.summary())
    one, two, three = made
    if merge(one, two) != merge(two, one):
        return "a merge depends on its order"
    for whole in (merge(merge(one, two), three), merge(one, merge(three, two))):
        if whole.total != sum(true.values()) or whole.slack() > whole.total / 9 + LEAST:
            return f"a merge of {sum(true.values())} lookups has {whole.total}, slack {whole.slack()}"
        for name, count in true.items():
            low = whole.rows[name][0] if name in whole.rows else 0
            if not low - LEAST <= count <= low + whole.slack() + LEAST:
                return f"{name} was asked for {count} times, told are {low} and {whole.slack()}"
    return None


def listed(first, count, weight):
    rows = [messages.Row("page", f"o{n}", 0, 0, 1_000, weight) for n in range(first, first + count)]
    return messages.PopularityList(0, 0, 0, count * weight, 10_000, rows)


def lists(dice, borrowed=BorrowedLists):
    """Twice is once, in any order; one that lies brings its stated share of all weight at most."""
    count, lies = dice.randrange(3, 12), dice.randrange(1, 10**9)
    lent = {f"r{k}": listed(0, 30, dice.randrange(500, 2_000)) for k in range(count)}
    lent["liar"] = listed(100, 30, lies)
    tables = []
    for _ in range(2):
        table, order = borrowed(), [*lent, *dice.choices(list(lent), k=2)]
        dice.shuffle(order)
        for who in order:
            table.add(who, lent[who])
        tables.append({name: one.rate for name, one in table.combined().items()})
    if tables[0] != tables[1]:
        return "the sum of the lists depends on their order, or adds twice"
    false = sum(rate for name, rate in tables[0].items() if int(name[1][1:]) >= 100)
    if false > 2 / len(lent) * sum(tables[0].values()) * (1 + LEAST):
        return "a liar brings more than its share"
    return None


def allowances(dice, allowance=Allowance):
    """Fills with lookups stay within what is borne in every stretch of time; lookups first."""
    terms = ColdCapacity(0.3, 100_000, 2.0, 2_000)
    made, now, others, at, busy = allowance(terms, 0, 4, 0), 0, 0.0, 0, dice.choice((0.2, 0.6))
    room = 0.0  # a bucket in plain lines: what may be spent, were nothing forgotten
    for _ in range(400):
        now += dice.randrange(1, 60)
        able = min(1.0, 0.3 + 0.7 * at / 100_000)
        room = max(
            -2.0 * 2_000,
            min(2.0 * 2_000 * min(1.0, 0.3 + 0.7 * now / 100_000), room + (2.0 * able - others) * (now - at)),
        )
        at = now
        word = dice.random()
        if word < 0.15:
            others = dice.random() * 0.6
            made.set_others(now, 0, others)
        elif word < busy:
            made.spend_lookup(now, 40)
            room -= 40
        elif others and made.try_fill(now, 30):
            room -= 30
            if room < -LEAST:
                return f"a fill goes where {-room:.0f} too much has gone already"
    return None


CHECKS = {"merge": (merges, "merge"), "borrowed": (lists, "borrowed"), "allowance": (allowances, "allowance")}


def broken(place=None, mistake=None, most=40):
    """What was wrong with that mistake in its place, or with the program's own; None."""
    for check, (law, argument) in CHECKS.items():
        if place is not None and check != place:
            continue
        for seed in range(most):
            wrong = law(Random(seed), **({argument: mistake} if mistake is not None else {}))
            if wrong is not None:
                return seed, wrong
    return None
