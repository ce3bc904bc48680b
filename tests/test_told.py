"""What other routers of a fleet tell, heeded where each decision asks for it; without them nothing differs."""

from fleet import FLEET, MS, SECOND, cache, ended, lookup, router, sends, terms

from hookrouter import interface
from hookrouter.control import Control

NOW = 1_000_000
COST = 5_000.0  # what a lookup is taken to need before one was seen


class Told:
    """Says what a test gives it."""

    def __init__(self, others=None, lead=2.0, allowance=None, tries=True):
        self.out, self.much, self.room, self.may, self.asked, self.spent = (
            others or {},
            lead,
            allowance,
            tries,
            [],
            [],
        )

    def others(self, cache, now):
        return self.out.get(cache)

    def lead(self, name):
        return self.much

    def allowance(self, cache, now, cost):
        self.asked.append((cache, now, cost))
        return self.room

    def sent(self, cache, now, cost):
        self.spent.append((cache, now, cost))

    def tries(self, cache, now):
        return self.may


def beside(told, fleet=FLEET, **more):
    control = Control(1, terms(**more), fleet_view=told)
    control.decide(NOW, [interface.CacheList(interface.REMEMBERED, tuple(fleet))])
    return control


def first(control, number=1, now=NOW, **more):
    return sends(control.decide(now, [lookup(number, due=now + 4 * SECOND, **more)]))


def test_sends_of_others_move_a_part_to_its_second_cache_before_this_router_has_any_out():
    top = first(router())[0].cache
    assert first(beside(Told()))[0].cache == top
    told = {c.id: 16.0 for c in FLEET}
    assert first(beside(Told(told)))[0].cache == top
    assert first(beside(Told({**told, top: 31.0})))[0].cache == top  # not twice as busy: the design's lead
    assert first(beside(Told({**told, top: 33.0})))[0].cache != top
    assert first(beside(Told({**told, top: 31.0}, lead=1.5)))[0].cache != top  # the name's own lead


def test_a_cold_cache_is_sent_to_by_the_share_that_is_told_and_by_own_turns_where_none_is():
    cold = [cache("c0", born=NOW), FLEET[-1]]
    second = terms().topology._replace(number=1)  # the first turn is another router's
    at_edge = lambda told: first(beside(told, cold, may_bypass_caches=False, topology=second))  # noqa: E731
    assert not at_edge(Told()) and not at_edge(Told(allowance=False))
    told = Told(allowance=True)
    assert at_edge(told) and told.asked == [("c0", NOW, COST)]
    assert sorted(told.spent) == [("c0", NOW, COST), ("o0", NOW, COST)]
    warm = Told(allowance=False)  # what is warm is not asked about
    assert first(beside(warm, [cache("c0"), FLEET[-1]])) and warm.asked == []


def test_of_a_cache_set_aside_only_those_whose_turn_it_is_look_if_it_is_well():
    for may in (True, False):
        control = beside(Told(tries=may))
        n = control.row_by_id["c0"]
        assert control.health.usable(n)
        control.health.set_aside(n)
        control.now += 2 * SECOND
        assert control.health.usable(n) == may


def test_who_is_told_nothing_of_use_decides_as_one_alone():
    one, other = router(), beside(Told())
    for n in range(300):
        now = NOW + n * 40 * MS
        effects = one.decide(now, [lookup(n, due=now + 4 * SECOND, key=f"k{n % 7}", size=50)])
        assert effects == other.decide(now, [lookup(n, due=now + 4 * SECOND, key=f"k{n % 7}", size=50)])
        for send in sends(effects) if n % 3 else ():
            end = ended(send, interface.ERRED if n % 5 == 0 else interface.SATISFIED)
            assert one.decide(now + 9, [end]) == other.decide(now + 9, [end])
