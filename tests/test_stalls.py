"""A handful of routers: a cache that stalls is no crowd, and no gate is needed where windows learn enough."""

import pytest
from fleet import FLEET, MS, SECOND, cache, ended, lookup, router, sends, terms

from hookrouter import interface

NOW = 1_000_000
HANDFUL = [cache("c0"), FLEET[4], FLEET[-1]]  # one cache, one parent, the origin


def asked(control, at, number):
    return sends(control.decide(at, [lookup(number, due=at + 4 * SECOND, size=5)]))[0]


@pytest.mark.parametrize("released, routers", ((True, 3), (False, 3), (False, 200)))
def test_sends_in_work_at_a_cache_that_stalls_do_not_blame_their_source(released, routers):
    """Failed before: each cut the parent's window by half, and with it what was begun for every cache.
    With many routers one sends too little to tell a stall from a crowd: calm+mass fell from 0.88 to 0.78.
    """
    control = router(HANDFUL, note_level="none", topology=terms().topology._replace(routers=routers))
    p0 = control.row_by_id["p0"]
    control.windows.size[p0] = before = 20.0
    first = [asked(control, NOW, n) for n in range(1, 5)]
    control.decide(
        NOW + 50 * MS, [ended(first[0], interface.SATISFIED, took=50 * MS)]
    )  # heard after all four went out
    later = [asked(control, NOW + 60 * MS + n, n) for n in range(5, 9)]
    control.decide(NOW + 590 * MS, [])  # budgets of the first are over, the later ones tell of a stall
    if released:
        at = NOW + 2 * SECOND
        control.decide(at, [ended(send, interface.SATISFIED, took=at - NOW) for send in first[1:] + later])
    if routers == 3:
        assert control.windows.size[p0] > before / 2
    else:
        assert control.windows.size[p0] < before / 4


def test_sends_late_beside_answers_of_their_cache_still_cut_the_window_of_their_source():
    control = router(HANDFUL, note_level="none")
    p0 = control.windows.size[control.row_by_id["p0"]] = 20.0
    first = [asked(control, NOW, n) for n in range(1, 5)]
    for n in range(5, 12):  # hits go on
        hit = asked(control, NOW + n * 50 * MS, n)
        control.decide(NOW + n * 50 * MS + 9, [ended(hit, interface.SATISFIED, took=9)])
    control.decide(NOW + 590 * MS, [])
    assert first and control.windows.size[control.row_by_id["p0"]] < p0 / 4


@pytest.mark.parametrize(
    "routers, notes, gated", ((3, "none", False), (200, "none", True), (200, "hit", False))
)
def test_fills_that_miss_shut_the_gate_only_where_one_routers_part_of_a_source_is_too_small(
    routers, notes, gated
):
    """Failed before: a handful of routers nacked a third of all lookups for as long as one answer in ten was lost."""
    control = router(note_level=notes, topology=terms().topology._replace(routers=routers))
    control.now = NOW
    for _ in range(9):
        control.windows.adjust_gate(True)
    assert control.windows.overloaded() == gated
