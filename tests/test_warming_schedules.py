"""Warming's state machine under schedules of faults and in a bounded model; each seeded mistake is found."""

import pytest
from warming_mistakes import MISTAKES

from benchmarks.warming import laws
from benchmarks.warming.finding import found
from benchmarks.warming.model import explore
from benchmarks.warming.schedules import play


def test_seeded_schedules_break_nothing_and_reach_late_owners():
    seen = [play(seed) for seed in range(400)]
    assert [one for one in seen if one[0] is not None] == []
    assert sum(one[3] for one in seen) > 0 and sum(one[2] for one in seen) > 1_000


def test_every_interleaving_of_two_owners_and_three_fills():
    states, wrong, ended = explore(limits={"purges": 0, "drains": 0})
    assert wrong is None and ended and states > 500


def test_merges_lists_and_allowances_keep_their_bounds():
    assert laws.broken() is None


@pytest.mark.parametrize("place, mistake", MISTAKES)
def test_each_seeded_mistake_is_found(place, mistake):
    assert found(place, mistake) is not None
