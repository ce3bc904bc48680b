"""Copies of the router's own: which lookups they satisfy, and what is kept of answers."""

import pytest
from fleet import SECOND, ended, lookup, router, sends

from hookrouter import interface

OWN = dict(
    own_copy_bytes=100_000, own_concurrent_answers=2.0, own_answer_rate=5.0
)  # bytes, links, bytes in a tenth of a millisecond


def keeping(control, now=1_000_000, made=990_000, size=5_000, **more):
    """One lookup satisfied by a cache that tells when the origin gave the copy out; what the router said to it."""
    lk = lookup(len(control.copies.stored.copies) + 1, due=now + 4 * SECOND, **more)
    first = sends(control.decide(now, [lk]))[0]
    return control.decide(now + 100, [ended(first, interface.SATISFIED, copy=(made, size))])


def asked(control, now, number=99, **more):
    return control.decide(now, [lookup(number, due=now + 4 * SECOND, **more)])


def given(effects):
    return any(isinstance(e, interface.Give) for e in effects)


def test_a_copy_of_its_own_is_given_without_a_send_and_no_other_part_is():
    control = router(**OWN)
    assert interface.Keep(1, 0) in keeping(control, key="k")
    again = asked(control, 1_010_000, key="k")
    assert given(again) and not sends(again) and not control.pending_lookups
    assert sends(asked(control, 1_010_000, 98, key="k", part=1)) and sends(
        asked(control, 1_010_000, 97, kind="page", key="k")
    )
    plain = router()  # as before the simulator: nothing to keep it in
    assert keeping(plain, key="k") == [] and sends(asked(plain, 1_010_000, key="k"))


def test_a_copy_of_its_own_is_as_old_as_its_kind_permits_and_never_kept_of_a_write():
    control = router(**OWN)
    keeping(control, kind="page", key="k", made=1_000_000)
    assert given(asked(control, 1_000_000 + 8 * SECOND, 98, kind="page", key="k"))
    assert sends(asked(control, 1_000_001 + 8 * SECOND, 99, kind="page", key="k"))
    assert not any(isinstance(e, interface.Keep) for e in keeping(control, kind="hold", key="w"))


@pytest.mark.parametrize("purge", [interface.Purged(100, 0, "k"), interface.Purged(100, 7, None)])
def test_a_purge_drops_own_copies_and_none_that_was_sent_for_before_it_is_kept(purge):
    control = router(**OWN)
    keeping(control, key="k", group=7)
    first = sends(asked(control, 1_000_200, 50, key="k", part=1, group=7))[0]
    assert interface.Drop("clip", "k", 0) in control.decide(1_000_300, [purge])
    assert sends(asked(control, 1_000_400, key="k", group=7)) and control.copies.stored.bytes == 0
    assert control.decide(1_000_500, [ended(first, interface.SATISFIED, copy=(1_000_199, 5_000))])[:1] != [
        interface.Keep(50, 0)
    ]
    assert not control.copies.stored.copies
    assert interface.Keep(1, 0) in keeping(control, 1_000_600, made=1_000_350, key="k", group=7)


def test_own_copies_keep_to_their_room_and_those_asked_for_last_stay():
    control = router(**OWN)
    for n in range(20):
        keeping(control, key=f"k{n}")
    assert control.copies.stored.bytes == 100_000
    assert given(asked(control, 1_010_000, key="k0"))
    dropped = keeping(control, key="k20")
    assert (
        interface.Drop("clip", "k1", 0) in dropped
        and ("clip", "k0", 0) in control.copies.stored.copies
        and control.copies.stored.bytes == 100_000
    )
    assert not any(
        isinstance(e, interface.Keep) for e in keeping(control, key="huge", size=7_000)
    )  # it would cost too many


def test_what_the_routers_own_link_would_bring_late_goes_to_a_cache():
    control = router(**OWN)
    keeping(control, key="k")
    effects = control.decide(1_010_000, [lookup(n, due=1_050_000, key="k") for n in range(100, 120)])
    gave = sum(isinstance(e, interface.Give) for e in effects)
    assert 2 <= gave <= 8 and sends(effects)  # 500 each on a link of two; half of the budget is 3,500
    assert not given(asked(control, 1_010_001, 130, key="k")) and given(
        asked(control, 1_020_000, 131, key="k")
    )


def test_a_copy_that_came_while_the_first_send_runs_is_given_in_place_of_a_second():
    """Failed before: the table had no such row, and the decision ended in an exception."""
    control = router(may_duplicate=True, **OWN)
    effects = control.decide(1_000_000, [lookup(50, key="k")])
    alarm = min((e for e in effects if isinstance(e, interface.SetAlarm)), key=lambda e: e.delay)
    keeping(control, 1_000_100, key="k")
    assert control.decide(1_000_000 + alarm.delay, [interface.Alarm(alarm.token)]) == [
        interface.Give(50),
        interface.Cancel(50, 0),
    ]
    assert 50 not in control.pending_lookups


def test_where_no_cache_is_left_an_own_copy_may_take_the_whole_budget():
    control = router(**OWN)
    keeping(control, key="k")
    control.copies.link_free_at = 1_010_000 + 4_000  # its link is taken for most of the budget
    assert sends(asked(control, 1_010_000, 98, key="k"))
    control.decide(1_010_001, [interface.CacheList(interface.WHOLE, ())])
    assert given(asked(control, 1_010_001, key="k"))
    control.copies.link_free_at = 1_010_001 + 9 * SECOND
    assert isinstance(asked(control, 1_010_002, 97, key="k")[-1], interface.Nack)
