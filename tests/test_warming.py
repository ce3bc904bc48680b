"""Decisions of warming: bounds and merges of the sketch, false lists, the plan, the allowance of fills."""

from collections import Counter
from random import Random

import msgspec
import pytest
from fleet import FLEET, lookup, router, sends
from hypothesis import given, settings
from hypothesis import strategies as st

from hookrouter.decisions.warming import (
    Allowance,
    BorrowedLists,
    LocationState,
    RecentPurges,
    Sketch,
    fair_share,
    lists,
    make_plan,
    merge,
    messages,
)
from hookrouter.decisions.warming.pace import ColdCapacity
from hookrouter.decisions.warming.planning import STEP_SIZE, Kind, newly_kept
from hookrouter.decisions.warming.rank import hash_key, rank
from hookrouter.errors.wire import UnusableList
from hookrouter.purges.types import Purge

NAMES = [("page", f"o{n}", 0) for n in range(40)]
asks = st.lists(st.integers(0, 39), max_size=300)


def sketched(numbers, capacity=8, halve_at=None):
    sketch, true = Sketch(capacity), Counter()
    for at, n in enumerate(numbers):
        if at == halve_at:
            sketch.halve()
            true = Counter({name: count / 2 for name, count in true.items()})
        sketch.record(NAMES[n], 100)
        true[NAMES[n]] += 1
    return sketch, true


@given(asks, st.integers(0, 300))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_no_count_is_off_by_more_than_the_stated_bound_also_after_halving(numbers, halve_at):
    sketch, true = sketched(numbers, halve_at=halve_at)
    bound = sketch.total / sketch.capacity
    for name in NAMES:
        count = sketch.rows[name][0] if name in sketch.rows else None
        assert (
            (true[name] <= bound + 1e-9)
            if count is None
            else (true[name] - 1e-9 <= count <= true[name] + bound + 1e-9)
        )
    for name, (low_bound, _, _) in sketch.lower_bounds().rows.items():
        assert low_bound <= true[name] + 1e-9 <= low_bound + bound + 2e-9
    summary = sketch.summary()
    assert summary.slack() <= bound + 1e-9
    for name, (low, _, _) in summary.rows.items():
        assert low <= true[name] + 1e-9 <= low + summary.slack() + 2e-9


@given(asks, asks, asks)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_merges_commute_and_keep_the_bound_in_any_order(one, two, three):
    made = [sketched(numbers) for numbers in (one, two, three)]
    a, b, c = (sketch.summary() for sketch, _ in made)
    true = made[0][1] + made[1][1] + made[2][1]
    assert merge(a, b) == merge(b, a)
    for whole in (merge(merge(a, b), c), merge(a, merge(b, c))):
        assert whole.total == len(one) + len(two) + len(three)
        assert len(whole.rows) <= 7 and whole.slack() <= whole.total / 8 + 1e-9
        for name in NAMES:
            low = whole.rows[name][0] if name in whole.rows else 0
            assert low <= true[name] + 1e-9 <= low + whole.slack() + 2e-9


def row(n, weight, size=1_000, kind="page"):
    return messages.Row(kind, f"o{n}", 0, 0, size, weight)


def popularity_list(*rows, total=None, purge=0, age=0):
    return messages.PopularityList(
        age, 0, purge, sum(r.weight for r in rows) if total is None else total, 10_000, list(rows)
    )


@given(st.permutations(range(4)), st.integers(0, 3))
@settings(derandomize=True, max_examples=30)
def test_the_sum_of_lists_ignores_order_and_duplicates(order, again):
    made = [popularity_list(row(1, 5_000 * (k + 1)), row(k + 2, 3_000)) for k in range(4)]
    first, other = BorrowedLists(), BorrowedLists()
    for k in range(4):
        first.add(f"r{k}", made[k])
    for k in [*order, again]:
        other.add(f"r{k}", made[k])
    shown = [
        {n: (one.rate, one.rate_by_lender, one.size) for n, one in table.combined().items()}
        for table in (first, other)
    ]
    assert shown[0] == shown[1]


def test_a_false_list_contributes_no_more_weight_than_its_bound():
    for lenders in (3, 5, 9):
        table = BorrowedLists()
        for k in range(lenders - 1):
            table.add(f"r{k}", popularity_list(*[row(n, 1_000) for n in range(50)]))
        table.add("liar", popularity_list(*[row(n, 10**9) for n in range(100, 150)]))
        found = table.combined()
        lies = sum(one.rate for one in found.values() if "liar" in one.rate_by_lender)
        assert lies <= table.max_share() * sum(one.rate for one in found.values()) + 1e-9


@pytest.mark.parametrize(
    "wrong",
    [
        popularity_list(row(1, 5), row(1, 5)),
        popularity_list(row(1, 5), total=4),
        popularity_list(age=lists.MAX_AGE + 1),
    ],
)
def test_a_list_that_contradicts_itself_is_rejected(wrong):
    with pytest.raises(UnusableList):
        lists.read(msgspec.msgpack.encode(wrong))
    with pytest.raises(UnusableList):
        lists.read(b"\xc1" * 50)
    with pytest.raises(UnusableList):
        lists.read(b"\x90" * (lists.MAX_BYTES + 1))


def test_the_hash_is_the_routers_own():
    edges = [c.id for c in FLEET if c.id.startswith("c")]
    for n in range(50):
        send = sends(router().decide(1_000_000, [lookup(n, key="film", part=n)]))[0]
        assert send.cache == rank(hash_key("film", n), edges)[0]
        assert send.source == rank(hash_key("film", n), ["p0", "p1"])[0]


KINDS = {"page": Kind(True, 2, 0, 1.0), "order": Kind(False, 2, 0, 9.0), "brief": Kind(True, 2, 100, 1.0)}
CACHES = ("a", "b", "c", "d")


def location(target="n", before=CACHES, after=(*CACHES, "n"), warm=CACHES, **more):
    return LocationState(target, before, after, frozenset(warm), ("p", "q"), KINDS, **more)


def planned(*rows, at=None, told=(), lenders=1, **more):
    table, purged = BorrowedLists(), RecentPurges()
    for k in range(lenders):
        table.add(f"r{k}", popularity_list(*rows, **more))
    for purge in told:
        purged.add(purge)
    return make_plan(at or location(), table, purged)


def test_a_plan_has_the_names_that_hash_to_the_cache_and_may_be_filled():
    rows = [row(n, 50_000) for n in range(60)]
    found = planned(*rows)
    names = {entry.name for entry in found}
    assert (
        names == {r.name for r in rows if "n" in rank(hash_key(r.object, 0), location().after)[:2]} and names
    )
    for entry in found:  # the source is the top candidate by the hash
        assert entry.source == rank(hash_key(entry.name[1], 0), CACHES)[0]
    assert not planned(*[row(n, 50_000, kind="order") for n in range(60)])
    assert not planned(*[row(n, 20_000, kind="brief") for n in range(60)])  # stale before the next lookup
    assert not planned(*[row(n, 50_000, kind="unknown") for n in range(60)])
    assert not planned(*[row(n, 10) for n in range(60)])  # too few lookups
    assert not planned(*[row(n, 1_000, size=10**8) for n in range(60)])  # large objects with few lookups
    one = found[0]
    told = [Purge(0, 5, 1, "object", one.name[1])]
    assert one.name not in {e.name for e in planned(*rows, told=told, purge=4)}
    assert one.name in {e.name for e in planned(*rows, told=told, purge=5)}
    assert not planned(*rows, told=[Purge(0, 5, 1, "prefix", "page/")], purge=4)
    sources = {entry.source for entry in planned(*rows, at=location(warm=("a",)))}
    assert sources <= {"a", "p", "q"} and sources & {"p", "q"}


def test_caches_get_the_names_that_they_take_over_from_a_leaving_one():
    at = location("a", CACHES, ("a", "b", "c"), ("b", "c"))
    found = planned(*[row(n, 50_000) for n in range(60)], at=at)
    assert found and all("d" in rank(hash_key(e.name[1], 0), CACHES)[:2] for e in found)
    assert all(newly_kept(at, e.name, 2) and e.source != "d" for e in found)


def test_a_false_list_fills_no_more_of_the_plan_than_its_share():
    table = BorrowedLists()
    for k in range(4):
        table.add(f"r{k}", popularity_list(*[row(n, 50_000) for n in range(200)]))
    table.add("liar", popularity_list(*[row(n, 10**7, size=1) for n in range(1_000, 3_000)]))
    found = make_plan(location(), table, RecentPurges())
    lies = sum(int(entry.name[1][1:]) >= 1_000 for entry in found)
    assert 0 < lies <= len(found) / 5 + STEP_SIZE


def test_fills_leave_the_reserve_for_lookups_and_stay_within_capacity():
    terms = ColdCapacity(0.3, 100_000, 2.0, 2_000)
    for seed in range(3):
        rng, allowance, spent, now = Random(seed), Allowance(terms, 0, 4, 0), [], 0
        for _ in range(3_000):
            now += rng.randrange(1, 40)
            if rng.random() < 0.2:
                allowance.set_others(now, 0, rng.random())
            if rng.random() < 0.1:
                allowance.spend_lookup(now, 20)
            elif allowance.try_fill(now, 30):
                spent.append((now, 30))
                assert allowance.balance >= terms.reserved * allowance.burst(now) - 1e-6
        for k, (began, _) in enumerate(spent):
            for upto, _ in spent[k : k + 60]:
                total = sum(cost for at, cost in spent[k : k + 60] if at <= upto)
                capacity = allowance.capacity(upto)
                assert total <= terms.pace * capacity * (terms.burst + upto - began) + 30


def test_the_slots_of_a_source_are_divided_exactly():
    for room in range(0, 12):
        for active in range(1, 9):
            for now in range(0, 10_000, 500):
                assert sum(fair_share(room, active, position, now) for position in range(active)) == room


def test_the_section_needs_fleet_and_sharing():
    from hookrouter.errors.site import InvalidSiteFile
    from hookrouter.site import read_text

    with pytest.raises(InvalidSiteFile, match=r"x:1: \[warming\]: \[fleet\] and \[sharing\] are missing"):
        read_text("x", "[warming]\nslots = 4\n")
    with pytest.raises(InvalidSiteFile, match="slots"):
        read_text("x", "[warming]\nslots = 0\n")
