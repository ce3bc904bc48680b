"""The router's own copies: which lookups they satisfy, and which answers are kept."""

import pytest
from fleet import SECOND, lookup, router, send_end, sends

from hookrouter import interface
from hookrouter.tables.copy_cache import COPY_OBJECT_BYTES

OWN = dict(
    own_copy_bytes=100_000 + 20 * COPY_OBJECT_BYTES, own_concurrent_answers=2.0, own_answer_rate=5.0
)  # bytes of twenty copies, answers, bytes per time unit


def satisfy_and_keep(control, now=1_000_000, made=990_000, size=5_000, **more):
    """Satisfies one lookup from a cache that reports when the origin sent the copy; returns the effects."""
    request = lookup(len(control.copies.stored.copies) + 1, due=now + 4 * SECOND, **more)
    first = sends(control.decide(now, [request]))[0]
    effects = control.decide(now + 100, [send_end(first, interface.SATISFIED, copy=(made, size))])
    return effects + control.decide(now + 100, [interface.CopyVerified(request.id, 0, True)])


def ask(control, now, number=99, **more):
    return control.decide(now, [lookup(number, due=now + 4 * SECOND, **more)])


def answered_from_copy(effects):
    return any(isinstance(e, interface.Give) for e in effects)


def test_an_own_copy_answers_without_a_send_but_not_for_another_part():
    control = router(**OWN)
    assert interface.Keep(1, 0) in satisfy_and_keep(control, key="k")
    again = ask(control, 1_010_000, key="k")
    assert answered_from_copy(again) and not sends(again) and not control.pending_lookups
    assert sends(ask(control, 1_010_000, 98, key="k", part=1)) and sends(
        ask(control, 1_010_000, 97, kind="page", key="k")
    )
    without_copies = router()  # no capacity for copies, as in the simulator
    assert satisfy_and_keep(without_copies, key="k") == [] and sends(ask(without_copies, 1_010_000, key="k"))


def test_an_own_copy_is_at_most_as_old_as_its_kind_permits_and_writes_are_not_kept():
    control = router(**OWN)
    satisfy_and_keep(control, kind="page", key="k", made=1_000_000)
    assert answered_from_copy(ask(control, 1_000_000 + 8 * SECOND, 98, kind="page", key="k"))
    assert sends(ask(control, 1_000_001 + 8 * SECOND, 99, kind="page", key="k"))
    assert not any(isinstance(e, interface.Keep) for e in satisfy_and_keep(control, kind="hold", key="w"))


@pytest.mark.parametrize("purge", [interface.Purged(100, 0, "k"), interface.Purged(100, 7, None)])
def test_a_purge_drops_own_copies_and_answers_made_before_it_are_not_kept(purge):
    control = router(**OWN)
    satisfy_and_keep(control, key="k", group=7)
    first = sends(ask(control, 1_000_200, 50, key="k", part=1, group=7))[0]
    assert interface.Drop("clip", "k", 0) in control.decide(1_000_300, [purge])
    assert sends(ask(control, 1_000_400, key="k", group=7)) and control.copies.stored.bytes == 0
    assert control.decide(1_000_500, [send_end(first, interface.SATISFIED, copy=(1_000_199, 5_000))])[:1] != [
        interface.Keep(50, 0)
    ]
    assert not control.copies.stored.copies
    assert interface.Keep(1, 0) in satisfy_and_keep(control, 1_000_600, made=1_000_350, key="k", group=7)


def test_own_copies_stay_within_capacity_and_the_least_recently_used_is_evicted():
    control = router(**OWN)
    for n in range(20):
        satisfy_and_keep(control, key=f"k{n}")
    assert control.copies.stored.bytes == 100_000
    assert answered_from_copy(ask(control, 1_010_000, key="k0"))
    dropped = satisfy_and_keep(control, key="k20")
    assert (
        interface.Drop("clip", "k1", 0) in dropped
        and ("clip", "k0", 0) in control.copies.stored.copies
        and control.copies.stored.bytes == 100_000
    )
    assert not any(
        isinstance(e, interface.Keep) for e in satisfy_and_keep(control, key="huge", size=8_000)
    )  # it would evict too many


def test_a_lookup_goes_to_a_cache_where_the_routers_own_link_would_be_late():
    control = router(**OWN)
    satisfy_and_keep(control, key="k")
    effects = control.decide(1_010_000, [lookup(n, due=1_050_000, key="k") for n in range(100, 120)])
    gave = sum(isinstance(e, interface.Give) for e in effects)
    assert 2 <= gave <= 8 and sends(effects)  # 500 each on a link of two; half of the budget is 3,500
    assert not answered_from_copy(ask(control, 1_010_001, 130, key="k")) and answered_from_copy(
        ask(control, 1_020_000, 131, key="k")
    )


def test_a_copy_kept_while_the_first_send_runs_answers_in_place_of_a_second_send():
    """The transition table lacked this case, and the decision raised an exception."""
    control = router(may_duplicate=True, **OWN)
    effects = control.decide(1_000_000, [lookup(50, key="k")])
    alarm = min((e for e in effects if isinstance(e, interface.SetAlarm)), key=lambda e: e.delay)
    satisfy_and_keep(control, 1_000_100, key="k")
    assert control.decide(1_000_000 + alarm.delay, [interface.Alarm(alarm.token)]) == [
        interface.Give(50),
        interface.Cancel(50, 0),
    ]
    assert 50 not in control.pending_lookups


def test_where_no_cache_is_left_an_own_copy_may_take_the_whole_budget():
    control = router(**OWN)
    satisfy_and_keep(control, key="k")
    control.copies.link_free_at = 1_010_000 + 4_000  # the link is busy for most of the budget
    assert sends(ask(control, 1_010_000, 98, key="k"))
    control.decide(1_010_001, [interface.CacheList(interface.WHOLE, ())])
    assert answered_from_copy(ask(control, 1_010_001, key="k"))
    control.copies.link_free_at = 1_010_001 + 9 * SECOND
    assert isinstance(ask(control, 1_010_002, 97, key="k")[-1], interface.Nack)
