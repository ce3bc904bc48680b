"""Fleet-wide purges: the decisions, alone and in made-up fleets where everything goes wrong."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.purges.shapes import GRACE, LEASE, SKEW
from benchmarks.purges.world import World
from hookrouter.purges import Guard, Position, Purge, PurgeTerms, expressions, submissions, types
from hookrouter.purges import ledger as g
from hookrouter.purges import place as p
from hookrouter.purges import tail as t
from hookrouter.purges.followers import Followers, Renewal
from hookrouter.purges.index import Index
from hookrouter.purges.tags import Listed, read_tags

SECOND = 10_000
TERMS = PurgeTerms(
    lease=LEASE, hold=600 * SECOND, grace=GRACE, skew=SKEW, fenced=types.YOUNG, most_names=50, most_tagged=9
)


@pytest.mark.parametrize("block", range(8))
def test_no_schedule_of_kills_cuts_pauses_and_skew_breaks_a_rule(block):
    for seed in range(20 * block, 20 * block + 20):
        assert World(seed).run() == [], seed


class Unfenced(Guard):
    def _age(self):
        return self.terms.hold

    def at(self, steady):
        super().at(steady)
        self.age = self.terms.hold


class Trusting(Guard):
    def refused(self, *copy):
        return False


class Skewless(Guard):
    def told(self, now, purge):
        super().told(now, purge._replace(timestamp=purge.timestamp - 3 * SKEW))


class OwnCopiesUnjudged(Guard):
    """Leaves unknown tags out where nothing judges what is given."""

    def oldest(self, now, kind, name, group, first_send=False):
        return super().oldest(now, kind, name, group, True)


class AnswersOfUnknownTagsPass(Guard):
    """An answer that names no tags is judged as one that has none."""

    def refused(self, now, began, kind, name, group, made, tags):
        return super().refused(now, began, kind, name, group, made, tags or ())


@pytest.mark.parametrize("make", (Unfenced, Trusting, Skewless, OwnCopiesUnjudged, AnswersOfUnknownTagsPass))
def test_a_router_without_one_of_its_guards_is_found(make):
    assert any(World(seed, make).run() for seed in range(60))


# ---- which copies may answer, beside a plain list

WHATS = {
    types.OBJECT: ("aa", "ab", "bb"),
    types.GROUP: ("1", "2"),
    types.TAG: ("red", "blue"),
    types.PREFIX: ("clip/a", "page/"),
    types.GLOB: ("*/?b", "clip/[!a]*"),
    types.REGEX: ("(clip|page)/b+", "clip/a[ab]"),
}
PLAIN = {
    "clip/a": lambda n: n.startswith("clip/a"),
    "page/": lambda n: n.startswith("page/"),
    "*/?b": lambda n: n[-1] == "b" and n[-3] == "/",
    "clip/[!a]*": lambda n: n.startswith("clip/b"),
    "(clip|page)/b+": lambda n: n.endswith("/bb"),
    "clip/a[ab]": lambda n: n.startswith("clip/a"),
}
purges = st.sampled_from([(kind, what) for kind, whats in WHATS.items() for what in whats])


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(purges, st.integers(0, 9_000)), max_size=30),
    st.integers(0, 3),
    st.sampled_from(["clip", "page"]),
    st.sampled_from(["aa", "ab", "bb"]),
    st.sampled_from(["1", "2"]),
    st.sampled_from([None, (), ("red",), ("red", "blue")]),
    st.integers(0, 9_000),
)
def test_the_index_is_never_laxer_than_a_list_of_all_purges_and_stricter_only_where_names_share(
    events, most, object_kind, name, group, tags, at
):
    index, told, now = Index(TERMS._replace(most_names=most)), [], 0
    for (kind, what), span in events:
        now += span
        index.add(kind, what, now, now)
        told.append((now, kind, what))
        index.newest(object_kind, name, group, tags)  # so that later patterns meet remembered matches

    def concerned(kind, what):
        if kind == types.TAG:
            return tags is None or what in tags
        return {types.OBJECT: what == name, types.GROUP: what == group}.get(kind) or (
            kind in types.PATTERN_KINDS and PLAIN[what](f"{object_kind}/{name}")
        )

    plain = [made for made, kind, what in told if concerned(kind, what)]
    assert index.newest(object_kind, name, group, tags) >= max(plain, default=0)
    due = index.due(now - at, object_kind, name, group, tags)
    assert due >= max((made for made in plain if made <= now - at), default=0)
    if most == 3:  # no name shares a bound then
        assert index.newest(object_kind, name, group, tags) == max(plain, default=0)


def test_purges_of_one_name_in_quick_succession_come_due_all_the_same():
    index = Index(TERMS)
    for n in range(100_000):
        index.add(types.TAG, "sheet", n, n)  # each within the grace of the one before
    assert index.due(99_999 - GRACE, "page", "aa", "1", ("sheet",)) >= 99_999 - 2 * GRACE
    assert len(index) == 1


def test_two_tags_of_one_object_in_opposite_order_are_the_same_at_two_routers():
    told = [Purge(1, 1, 8_000, types.TAG, "red"), Purge(1, 2, 8_500, types.TAG, "blue")]
    guards = [Guard(TERMS), Guard(TERMS)]
    for guard, purges_told in zip(guards, (told, told[::-1])):
        guard.granted(0, LEASE)
        for purge in purges_told:
            guard.told(9_000, purge)
        guard.learn("aa", 8_400, ("red", "blue"))
    now = 9_000 + GRACE + 4 * SKEW
    for made in (7_000, 8_400, 9_100):
        refused = {guard.refused(now, now, "page", "aa", 1, made, ("blue", "red")) for guard in guards}
        assert refused == {made < 8_500}
    assert guards[0].oldest(now, "page", "aa", 1) == guards[1].oldest(now, "page", "aa", 1) > 8_500


def test_what_is_older_than_the_hold_leaves_and_the_tables_with_it():
    index = Index(TERMS)
    for n in range(3_000):
        index.add(types.KINDS[n % 6], str(n % 256) if n % 6 == 1 else f"x{n}", n, n)
    held = len(index), len(index.patterns.sets)
    index.forget(3_000 + TERMS.hold)
    assert held[0] > 500 and len(index) == 0
    assert (index.objects.own, index.objects.shared, index.tags.own, index.tags.shared) == ({}, {}, {}, {})
    assert len(index.patterns.sets) <= 1 < held[1]


def test_a_pattern_that_this_build_cannot_compile_counts_against_every_name():
    index = Index(TERMS)
    index.add(types.REGEX, "(?<=a)b", 5, 5)
    assert index.newest("clip", "zz", "1", ()) == 5


@pytest.mark.parametrize(
    "kind, what, said",
    [
        (types.REGEX, "clip/(", "cannot be compiled"),
        (types.REGEX, "(?=a)b", "cannot be compiled"),
        (types.REGEX, "((a{100}){100}){10}", "cannot be compiled"),
        (types.GLOB, "clip/[ab", "without its ]"),
        (types.GLOB, "[!]", "an empty []"),
        (types.REGEX, "", "empty"),
        (types.PREFIX, "x" * 257, "257 characters"),
        (types.PREFIX, "clip/\n", "printable"),
        (types.GLOB, "*", "matches every name"),
        (types.REGEX, ".*|a", "matches every name"),
        (types.GROUP, "256", "from 0 to 255"),
        (types.GROUP, "07", "from 0 to 255"),
        (types.TAG, "a b", "without spaces"),
        (types.OBJECT, "", "1 to 256"),
        ("page", "x", "no sort of purge"),
    ],
)
def test_the_desk_refuses_with_the_reason(kind, what, said):
    assert said in submissions.refusal(kind, what, False)
    assert expressions.refusal(types.GLOB, "*", True) is None


@pytest.mark.parametrize(
    "text, tags",
    [
        (" red,blue  red", ("red", "blue")),
        ("", ()),
        (" ".join(f"t{n}" for n in range(33)), None),
        ("x" * 65, None),
    ],
)
def test_tags_that_cannot_be_used_are_unknown_not_none(text, tags):
    assert read_tags(text) == tags


def test_a_listed_object_has_just_the_tags_of_the_file():
    guard = Guard(TERMS, Listed({"aa": ("red",)}))
    guard.told(9_000, Purge(1, 1, 9_000, types.TAG, "red"))
    guard.granted(0, LEASE)
    assert guard.oldest(9_000, "page", "aa", 1) > 9_000 > guard.oldest(9_000, "page", "zz", 1)


# ---- the order, and a follower's place in it


def filled(epochs, recent=4):
    tail = t.Tail(TERMS.hold, epochs[-1] + 1, recent=recent)
    for n, epoch in enumerate(epochs, 1):
        tail.add(Purge(epoch, n, n, types.OBJECT, f"o{n}"))
    return tail


@pytest.mark.parametrize(
    "position, seen, given_then",
    [
        ((2, 6), 2, t.RESUME),
        ((2, 4), 2, t.RESUME),
        ((1, 3), 1, t.RESUME),
        ((1, 4), 2, t.SNAPSHOT),
        ((0, 0), 0, t.SNAPSHOT),
        ((1, 1), 1, t.SNAPSHOT),
        ((2, 7), 2, t.SNAPSHOT),
        ((1, 6), 1, t.SNAPSHOT),
        ((2, 6), 4, t.RAISE),
    ],
)
def test_a_follower_is_given_what_its_position_asks_for(position, seen, given_then):
    assert filled([1, 1, 1, 2, 2, 2]).place(Position(*position), seen) == given_then


def test_a_place_takes_each_purge_once_in_order_and_only_whole_snapshots():
    place = p.Place()
    one, two, three = (Purge(5, n, n, types.OBJECT, "a") for n in (1, 2, 3))
    assert [place.purge(x) for x in (one, one, three, two, one, three)] == [
        p.APPLY,
        p.PASS,
        p.CUT,
        p.APPLY,
        p.PASS,
        p.APPLY,
    ]
    place.begin()
    assert place.purge(one) == p.KEEP
    place.broken()  # cut before its end
    assert place.end(Position(6, 9), 1) is None and place.position == (5, 3)
    place.begin()
    place.purge(one)
    assert place.end(Position(6, 9), 2) is None  # one of two came
    place.begin()
    place.purge(one)
    assert place.end(Position(6, 9), 1) == [one] and place.position == (6, 9)
    assert place.epoch(7) and not place.epoch(6)


def test_a_names_bounds_are_those_of_the_tags_asked_about_and_void_after_a_purge():
    index = Index(TERMS)
    index.add(types.OBJECT, "x", 10, 10)
    assert index.newest("clip", "x", "1", ("red",)) == index.newest("clip", "x", "1", None) == 10
    for made, tag in ((20, "red"), (30, "blue")):
        index.add(types.TAG, tag, made, made)
    for _ in range(2):
        for tags, newest in (
            (("red",), 20),
            (None, 30),
            ((), 10),
            (("blue",), 30),
            (("red",), 20),
            (["green"], 10),
        ):
            assert index.newest("clip", "x", "1", tags) == newest
    index.add(types.TAG, "red", 40, 40)
    assert index.newest("clip", "x", "1", ("red",)) == 40
    # Both of red were told within a grace: the earlier time stands, so both are due from it on.
    assert [index.due(since, "clip", "x", "1", ("red",)) for since in (5, 15, 20, 40)] == [0, 10, 40, 40]


def test_a_batch_is_answered_only_once_written_and_a_failed_one_refused():
    tail = t.Tail(TERMS.hold, 3)
    desk = g.Ledger(tail, {}, g.Limits(10, 2))

    def ask(token, key, *items, now=100):
        return desk.submit(now, submissions.Submission(token, key, items or ((types.OBJECT, key),), False))

    [first] = ask(1, "a")
    assert [purge.n for purge, _ in first.batch] == [1]
    assert (
        ask(2, "b", now=50) == []
        and ask(3, "a") == []
        and ask(4, "b", (types.OBJECT, "other"))[0].why == "key"
    )
    accepted, again, tell, second = desk.written()
    assert (accepted.token, again.token, again.repeated, tell.purges[0].what) == (1, 3, True, "a")
    assert second.batch[0][0].timestamp == 100  # the clock went back, the order's times did not
    assert ask(5, "a")[0].repeated and tail.newest == (3, 1)
    refused, reopen = desk.failed()
    assert (refused.token, refused.why) == (2, "busy") and isinstance(reopen, g.Reopen)
    assert ask(6, "c")[0].why == "busy"
    desk.reopened(filled([3, 4]), {"b": ()})
    assert ask(7, "c")[0].batch[0][0][:2] == (5, 3)
    assert ask(8, "p", *((types.PREFIX, f"clip/{n}") for n in range(3))) == []  # routers seal prefixes
    assert [ask(9, f"g{n}", (types.GLOB, f"clip/{n}?")) for n in range(3)][2][0].reason.startswith(
        "2 patterns are live"
    )
    assert "9 purges are live" not in str([ask(n, f"x{n}") for n in range(4)])
    assert any("may be" in e.reason for n in range(20, 40) for e in ask(n, f"y{n}"))


# ---- leases, and from when a purge is in effect


def renewal(name, n, generation=1, branch=True):
    return Renewal(name, generation, branch, n, n, SKEW, False)


def test_a_purge_is_in_effect_once_all_have_it_or_hold_to_young_copies():
    followers = Followers(LEASE, SKEW, 20, 0)
    assert followers.renew(0, renewal("a", 0), 0) == followers.renew(0, renewal("b", 0), 0) == LEASE
    followers.accepted(100, [Purge(1, 1, 100, types.OBJECT, "x")])
    assert followers.renew(200, renewal("a", 1), 1) == LEASE
    assert followers.renew(5_000, renewal("b", 0), 1) == 100 + LEASE - 5_000  # no more than from the purge on
    assert followers.settle(6_000) == [] and followers.behind(6_000, 1) == [("b", "live", 0)]
    assert followers.renew(20_300, renewal("b", 0), 1) == 0
    end = followers.latest(100)
    assert followers.due(20_000) <= end
    assert followers.settle(100 + followers.span - 1) == []
    # What the origin gives out meanwhile may bear an older time.
    assert followers.settle(100 + followers.span) == []
    assert followers.settle(end) == [(1, 100, end)]
    assert followers.behind(end, 1) == [("b", "lapsed", 0)]


def test_a_desk_that_started_anew_reckons_with_leases_of_its_former_life():
    followers = Followers(LEASE, 0, 0, 1_000, [("a", 7)])
    followers.read_anew(1_000, [Purge(1, 1, 100, types.OBJECT, "x")])
    assert followers.settle(1_100) == [] and followers.behind(1_100, 1) == [("a", "unheard", -1)]
    assert followers.renew(1_200, renewal("a", 0, 7), 1) == 0  # it may have been in effect before
    assert followers.renew(1_200, renewal("a", 1, 6), 1) is None  # an older life of the same router
    assert followers.renew(1_300, renewal("a", 1, 7), 1) == LEASE
    assert followers.settle(1_300) == [] and [n for n, _, _ in followers.settle(1_700)] == [1]
    assert followers.renew(1_400, renewal("a", 0, 8), 1) == 0  # it starts again; its former life may go on
    followers.accepted(1_500, [Purge(2, 2, 1_500, types.OBJECT, "z")])
    assert followers.renew(1_600, renewal("a", 2, 8), 2) == LEASE
    assert followers.settle(1_600 + LEASE // 2) == []
    assert followers.renew(1_700, renewal("a", 2, 7), 2) is None
    assert followers.settle(1_400 + 2 * LEASE) == []
    assert [n for n, _, _ in followers.settle(1_800 + 2 * LEASE)] == [2]
    assert followers.renew(2_000 + 2 * LEASE, renewal("a", 2, 7), 2) == LEASE  # the later one's lease is over
    followers.left("a", 7)
    # Behind, and without a lease so far: waits for none.
    assert followers.renew(80_000, renewal("new", 0), 2) == 0
    followers.accepted(90_000, [Purge(2, 3, 90_000, types.OBJECT, "y")])
    assert followers.settle(90_000) == []  # nobody is left to wait for, but what the skew asks
    assert followers.settle(90_000 + 2 * SKEW) == [(3, 90_000, 90_000 + 2 * SKEW)]
