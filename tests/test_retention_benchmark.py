"""The arithmetic of the retention benchmark: stock, copies, samples, baseline, filters, steps."""

from collections import Counter
from random import Random

import pytest

from benchmarks.retention import baseline, copies, desk, guard_run, sample, stock, weighing
from benchmarks.retention.filters import ways
from benchmarks.retention.former import MOST_NAMES, FormerBounds
from hookrouter.purges import Purge
from hookrouter.purges import types as w
from hookrouter.purges.ledger import Limits

DAY, SECOND = copies.DAY, stock.SECOND
NAMES = 3_000  # in a filter of these tests


# ---- the stock


@pytest.mark.parametrize("exponent", (0.7, 1.0, 1.3))
def test_ranks_come_by_zipfs_law(exponent):
    zipf, dice, count = stock.Zipf(1_000, exponent), Random(1), 40_000
    seen = Counter(zipf.rank(dice) for _ in range(count))
    total = sum(rank**-exponent for rank in range(1, 1_001))
    assert min(seen) >= 1 and max(seen) <= 1_000
    for rank in (1, 2, 5, 20):
        expected = rank**-exponent / total
        assert seen[rank] / count == pytest.approx(expected, rel=0.12)
        assert zipf.share(rank) == pytest.approx(expected, rel=0.04)


def test_ranks_of_billions_need_no_table():
    zipf, dice = stock.Zipf(), Random(2)
    ranks = [zipf.rank(dice) for _ in range(2_000)]
    assert max(ranks) > 100_000_000 and max(ranks) <= stock.OBJECTS


def test_names_differ_and_are_the_same_each_time():
    names = {stock.name_of(rank) for rank in range(20_000)}
    assert len(names) == 20_000
    assert stock.name_of(0) == "e220a8397b1dcdaf"  # SplitMix64's first number from the seed 0
    tags = stock.tags_of(stock.name_of(7))
    assert len(set(tags)) == stock.TAGS_EACH and tags == stock.tags_of(stock.name_of(7))
    assert 0 <= stock.group_of(stock.name_of(7)) < stock.GROUPS


def test_the_newest_objects_have_ranks_of_their_own():
    few = 10_007
    zipf = stock.Zipf(few)
    ranks = {(few - made) * stock.STRIDE % few + 1 for made in range(few)}
    assert len(ranks) == zipf.count and min(ranks) == 1 and max(ranks) == few


def test_purges_have_their_shares_and_concern_their_example():
    purges = stock.Purges(3, stock.ALL_KINDS)
    drawn = [purges.purge() for _ in range(20_000)]
    kinds = Counter(one.kind for one in drawn)
    assert kinds[w.OBJECT] / 20_000 == pytest.approx(0.9, abs=0.01)
    assert kinds[w.TAG] / 20_000 == pytest.approx(0.08, abs=0.01)
    assert kinds[w.PREFIX] / 20_000 == pytest.approx(0.019, abs=0.004)
    assert 5 < kinds[w.GLOB] < 50
    assert all(stock.concerns(one, one.example) for one in drawn)
    other = stock.name_of(stock.OBJECTS + 1)
    assert not any(stock.concerns(one, other) for one in drawn)
    again = stock.Purges(3, stock.ALL_KINDS)
    assert [again.purge() for _ in range(100)] == drawn[:100]


# ---- copies


def test_a_copy_is_no_older_than_a_day_and_one_often_asked_for_is_of_any_age():
    dice = Random(4)
    ages = [copies.age_of_copy(dice, 5.0) for _ in range(4_000)]
    found = sorted(age for age in ages if age is not None)
    assert len(found) > 3_990 and found[-1] < DAY
    assert found[len(found) // 2] == pytest.approx(DAY / 2, rel=0.08)


def test_a_copy_that_is_seldom_asked_for_is_mostly_gone():
    dice = Random(5)
    rate = 0.1 * SECOND / copies.UNASKED  # one request in ten spans of eviction
    ages = [copies.age_of_copy(dice, rate) for _ in range(4_000)]
    found = [age for age in ages if age is not None]
    assert len(found) / len(ages) == pytest.approx(0.095, abs=0.02)  # 1 - exp(-0.1)
    assert all(0 < age <= DAY for age in found)


# ---- the sample, before a guard and before the baseline


def lookup(rank=1, age=SECOND):
    name = stock.name_of(rank)
    return copies.Lookup(name, stock.group_of(name), stock.tags_of(name), age)


def named(kind, what, rank=1):
    return stock.Named(kind, what, stock.name_of(rank))


@pytest.mark.parametrize(
    "purge",
    (
        named(w.OBJECT, stock.name_of(1)),
        named(w.TAG, stock.tags_of(stock.name_of(1))[2]),
        named(w.PREFIX, f"{stock.KIND}/{stock.name_of(1)[:8]}"),
        named(w.GLOB, f"{stock.KIND}/{stock.name_of(1)[:8]}*{stock.name_of(1)[-4:]}"),
    ),
)
def test_a_name_that_a_purge_concerns_is_struck_off_the_sample(purge):
    one, other = lookup(1), lookup(2)
    asked = sample.Sample([one, other])
    asked.told(purge)
    assert asked.never_purged() == [other] and stock.concerns(purge, one.name)


def test_a_guard_without_purges_holds_nothing_and_one_with_a_wide_purge_all():
    now, keeper = guard_run.START, guard_run.guard()
    asked = sample.Sample([lookup(rank, age=rank * SECOND) for rank in range(1, 50)])
    assert asked.held(keeper, now) == sample.Held(49, 0)
    keeper.told(now - 10 * SECOND, Purge(1, 1, now - 10 * SECOND, w.PREFIX, f"{stock.KIND}/"))
    held = asked.held(keeper, now)
    assert held == sample.Held(49, 40) and held.share() == pytest.approx(40 / 49)  # of ages from 10 s on
    assert sample.Held(0, 0).share() == 0.0


def test_the_plain_model_finds_a_guard_that_lets_old_copies_answer():
    now, model = guard_run.START, guard_run.Model()
    keeper, deaf = guard_run.guard(), guard_run.guard()
    for rank in range(1, 40):
        purge = named(w.OBJECT, stock.name_of(rank), rank)
        keeper.told(now, Purge(1, rank, now, purge.kind, purge.what))
        model.told(now, purge)
    later = now + guard_run.SETTLED
    assert model.judge(keeper, later, Random(6)) == guard_run.Judged(39, 0)
    judged, answered = model.judge(deaf, later, Random(6))
    assert judged == 39 and answered > 20  # all but those from before the hold
    assert model.judge(deaf, now, Random(6)).judged == 0  # not in effect for sure yet


def test_the_baseline_shares_bounds_past_its_most():
    former, now = FormerBounds(), guard_run.START
    for number in range(MOST_NAMES + 1):
        former.told(now, named(w.OBJECT, f"{number:x}"))
    stranger = next(name for name in (f"z{n}" for n in range(1 << 20)) if former._of(w.OBJECT, name))
    held = copies.Lookup(stranger, 1, (), SECOND)
    assert former.holds(now + 1, held, True) and not former.holds(now + 1, held._replace(age=0), True)
    assert not former.holds(now + 1, lookup(), True)
    former.told(now, named(w.TAG, "t-none"))
    assert former.holds(now + 1, lookup(), False) and not former.holds(now + 1, lookup(), True)


def test_the_baselines_share_is_none_before_its_most():
    assert baseline.share(stock.OBJECTS_ONLY, 2_000, set()) == 0.0
    assert baseline.share(stock.ALL_KINDS, 2_000, set()) > 0.5  # tag purges, and no object's tags remembered


# ---- runs


def test_a_run_looks_more_often_in_its_last_hour():
    shape = guard_run.Shape(25.0, stock.OBJECTS_ONLY)
    steps = guard_run.looks(shape)
    assert steps[-1] == 25 * 3_600 * guard_run.RATE and steps[-4] == steps[-1] - 3 * 900 * guard_run.RATE
    assert steps == sorted(set(steps)) and steps[0] > 0


@pytest.mark.parametrize("kinds", (stock.OBJECTS_ONLY, stock.ALL_KINDS))
def test_a_short_run_answers_with_no_old_copy(kinds):
    made, keeper = guard_run.play(guard_run.Shape(0.05, kinds, sample=200))
    assert made.steps == made.told == made.live == 5_760 == int(0.05 * 3_600 * guard_run.RATE)
    assert made.judged.judged > 100 and made.judged.answered == 0
    assert made.now == guard_run.START + (made.steps - 1) * guard_run.GAP
    assert len(keeper.index) > 5_000


def test_hours_sealed_at_once_bind_as_those_that_were_told():
    shape = guard_run.Shape(0.06, stock.ALL_KINDS, sample=200, names=100)
    told, one = guard_run.play(shape)
    sealed, other = guard_run.play(shape._replace(told_hours=0.02))
    assert (told.steps, sealed.steps) == (6_912, 6_912) and sealed.told == 2_304
    purges = stock.Purges(shape.seed, shape.mix)
    drawn = [purges.purge() for _ in range(told.steps)]
    assert {purge.kind for purge in drawn} == {w.OBJECT, w.TAG, w.PREFIX, w.GLOB}
    for purge in drawn:
        name, group = purge.example, stock.group_of(purge.example)
        asked = told.now, stock.KIND, name, group
        assert one.oldest(*asked) > guard_run.START - guard_run.HOLD
        assert abs(one.oldest(*asked) - other.oldest(*asked)) < 300 * SECOND  # bounds of the open slices


def test_a_pause_in_one_run_is_no_step_of_the_programs():
    made, _ = guard_run.play(guard_run.Shape(0.01, stock.OBJECTS_ONLY, sample=10))
    one, other = made._replace(slow={7: 0.020, 9: 0.004}), made._replace(slow={8: 0.050, 9: 0.003})
    assert guard_run.longest_step_ms(one, other) == pytest.approx(3.0)
    assert guard_run.longest_step_ms(one, made._replace(slow={})) == guard_run.SLOW * 1e3


def test_a_desk_takes_a_stream_of_all_kinds_and_gives_it_on_in_slices():
    made = desk.figures(12_000)
    assert made["refused"] == 0 and made["desk_refuses_at"] is None and made["desk_live"] == 12_000
    assert made["catch_up_slices"] == 3 and 0.1 < made["catch_up_mb"] < 1.0
    assert desk.limits().most_live > 32 * 86_400 and desk.limits().most_patterns > 32 * 86_400 / 1_000


def test_a_desk_refuses_at_its_limit(monkeypatch):
    monkeypatch.setattr(desk, "limits", lambda: Limits(5_000, 4_000))
    made = desk.figures(8_000, stock.OBJECTS_ONLY)
    assert made["desk_refuses_at"] == made["desk_live"] == 5_000 and made["refused"] == 3_000


# ---- filters


@pytest.fixture(scope="module")
def keys():
    return weighing.names("purged/", NAMES)


@pytest.mark.parametrize("way", ways(NAMES), ids=lambda way: f"{way.name} {way.one_in}")
def test_a_filter_misses_no_member_and_takes_in_few_strangers(way, keys):
    made, times = weighing.steps(lambda: way.build(keys), 1)
    gathered = way.gather([made, made])
    assert all(way.prober(gathered, key) == [0, 1] for key in keys)
    strangers = weighing.names("stranger/", 4_000)
    wrong = sum(bool(way.prober(gathered, key)) for key in strangers)
    assert wrong <= 3 * max(1, len(strangers) / way.one_in)
    assert len(times) > 10 and made.size() == pytest.approx(len(made.frozen()), abs=16)


def test_frozen_forms_are_the_same_in_another_process():
    assert weighing.elsewhere(500) == weighing.frozen_digests(500)


def test_the_least_time_of_each_step_counts():
    times = iter([0.5, 0.0, 0.0, 0.7])

    def build():
        for _ in range(2):
            wait = next(times)
            end = weighing.perf_counter() + wait / 10
            while weighing.perf_counter() < end:
                pass
            yield
        return "made"

    made, least = weighing.steps(build, 2)
    assert made == "made" and len(least) == 3 and max(least) < 0.03
