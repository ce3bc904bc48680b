"""Control: the ordinary path of a lookup, and a regression test for each fault found."""

import pytest
from fleet import FLEET, KINDS, SECOND, cache, kind, lookup, router, send_end, sends, terms

from hookrouter import interface
from hookrouter.control import Control
from hookrouter.tables.router_state import PendingSend

NOW = 1_000_000
MANY_ROUTERS = terms().topology._replace(routers=200)  # a router's share of a parent is under one send


def test_parts_of_one_object_spread_and_agree_between_routers():
    first_router, second_router = router(seed=1), router(seed=2)
    asked = [lookup(n, key="film", part=n) for n in range(40)]
    first = [sends(first_router.decide(NOW, [request]))[0].cache for request in asked]
    assert len(set(first)) == 4
    again = [sends(second_router.decide(NOW, [request]))[0].cache for request in asked]
    assert first[0] == again[0]


def test_a_part_goes_to_the_less_busy_of_its_two_candidates():
    control = router()
    first = [sends(control.decide(NOW, [lookup(n, key="film")]))[0].cache for n in range(20)]
    assert (
        len(set(first)) == 2 and len(set(first[:4])) == 1
    )  # without load no second copy of the part is made


def test_a_fill_comes_from_the_next_parent_and_from_the_origin_where_none_is_up():
    source = sends(router().decide(NOW, [lookup(1)]))[0].source
    left = [listed for listed in FLEET if listed.id != source]
    other_source = sends(router(left).decide(NOW, [lookup(1)]))[0].source
    assert {source, other_source} == {"p0", "p1"}
    none = [listed for listed in FLEET if listed.machine_type != "parent"]
    assert sends(router(none).decide(NOW, [lookup(1)]))[0].source == "o0"


def test_a_fill_comes_from_the_origin_while_every_parent_is_set_aside_and_from_a_parent_again_in_slow_start():
    control = router()
    for n in control.parents[:1]:
        control.health.set_aside(n)
    assert (
        sends(control.decide(1_000_000, [lookup(1)]))[0].source == control.cache_ids[control.parents[1]]
    )  # the other parent
    control.health.set_aside(control.parents[1])
    assert {send.source for n in range(2, 8) for send in sends(control.decide(1_000_100, [lookup(n)]))} == {
        "o0"
    }
    now = max(control.health.paused_until[n] for n in control.parents)
    assert sends(control.decide(now, [lookup(9, due=now + 4 * SECOND)]))[0].source in (
        "p0",
        "p1",
    )  # a single send in slow start
    later = sends(control.decide(now, [lookup(n, due=now + 4 * SECOND) for n in range(10, 20)]))
    assert [send.source for send in later].count("o0") >= 8


def test_a_part_that_overruns_is_tried_at_its_other_candidate():
    control = router()
    first = sends(control.decide(NOW, [lookup(1)]))[0]
    assert first.timeout == 3 * SECOND
    second = sends(control.decide(NOW + first.timeout, [send_end(first, interface.LATE)]))[0]
    assert second.cache != first.cache


def test_a_duplicate_send_runs_beside_the_first_and_the_slower_one_is_cancelled():
    control = router(may_duplicate=True)
    effects = control.decide(NOW, [lookup(1)])
    alarm = min((e for e in effects if isinstance(e, interface.SetAlarm)), key=lambda e: e.delay)
    second = sends(control.decide(NOW + alarm.delay, [interface.Alarm(alarm.token)]))[0]
    assert second.cache != sends(effects)[0].cache
    assert control.decide(NOW + alarm.delay + 9, [send_end(second, interface.SATISFIED, 1)]) == [
        interface.Cancel(1, 0)
    ]


def test_an_empty_list_still_answers():
    assert any(isinstance(e, interface.Nack) for e in router([]).decide(NOW, [lookup(1)]))


def test_a_write_that_may_not_bypass_caches_names_its_source():
    send = sends(router(may_bypass_caches=False).decide(NOW, [lookup(1, "hold")]))[0]
    assert send.cache.startswith("c") and send.source[0] in "po" and send.priority == 0


def test_failures_in_a_row_set_a_cache_aside_and_slow_start_restores_it():
    control = router([cache("c0"), cache("c1"), FLEET[-1]])
    for n in range(1, 60):
        send = sends(control.decide(NOW, [lookup(n)]))[0]
        control.decide(NOW, [send_end(send, interface.ERRED if send.cache == "c0" else interface.SATISFIED)])
    n = control.row_by_id["c0"]
    assert not control.health.usable(n) and control.health.usable(control.row_by_id["c1"])
    for step in range(60, 200):
        now = NOW + step * 1000
        send = sends(control.decide(now, [lookup(step, due=now + SECOND)]))[0]
        control.decide(now, [send_end(send, interface.SATISFIED)])
    assert control.health.slow_start_limit[n] is None


def test_absurd_but_legal_inputs_raise_nothing():
    control = router([cache("c0", born=9 * NOW), *FLEET[1:]])
    events = [
        lookup(1, due=0),
        lookup(2, "no such kind"),
        interface.Purged(10 * NOW, 1, None),
        interface.Alarm(99),
        interface.ClientGone(77),
        interface.CacheList(interface.WHOLE, ()),
        interface.CacheList(interface.UNANSWERED, ()),
        lookup(3),
        interface.Begun(5, 0),
        interface.ProbeEnd(interface.LATE, "c0", 5, None),
        interface.Whisper(1, b""),
    ]
    answered = [e.id for e in control.decide(NOW, events) if isinstance(e, (interface.Nack, interface.Fail))]
    assert answered == [1, 2, 3]


def test_a_cache_out_of_reach_counts_as_cold_when_it_answers_again():
    control = router([cache("c0"), FLEET[-1]])
    for n in range(1, 5):
        for send in sends(control.decide(NOW, [lookup(n)])):
            control.decide(NOW, [send_end(send, interface.UNREACHED)])
    n = control.row_by_id["c0"]
    assert control.cold.presumed_dead[n] and not control.health.usable(n)
    send = sends(control.decide(NOW + 2 * SECOND, [lookup(9, due=NOW + 5 * SECOND)]))[0]
    control.decide(NOW + 2 * SECOND, [send_end(send, interface.SATISFIED)])
    assert control.cold.limits_in_force(n) and not control.cold.presumed_dead[n]


def test_time_outs_alone_do_not_make_a_cache_that_answers_cold():
    control = router([cache("c0"), FLEET[-1]])
    n = control.row_by_id["c0"]
    control.now, control.last_answer_at[n] = NOW, NOW - SECOND
    for _ in range(4):
        control.learning.on_send_end(
            sent_to(control, n), interface.SendEnd(1, 0, interface.LATE, 0, False, 9, "c0", None)
        )
    assert control.health.slow_start_limit[n] is not None and not control.cold.presumed_dead[n]
    control.now = NOW + 5 * SECOND
    control.learning.on_send_end(
        sent_to(control, n), interface.SendEnd(1, 0, interface.LATE, 0, False, 9, "c0", None)
    )
    assert control.cold.presumed_dead[n]


def sent_to(control, row):
    return PendingSend(row, row, None, 0, 0, NOW, early_timeout=False, target_idle=False)


def test_an_older_copy_is_accepted_once_no_fill_is_possible():
    aging = [kind("page", fresh_duration=8 * SECOND, stale_grace=30 * SECOND)]
    control = router(kinds=aging)
    first = sends(control.decide(NOW, [lookup(1, "page")]))[0]
    second = sends(control.decide(NOW, [send_end(first, interface.FULL)]))[0]
    assert (first.max_age, second.max_age) == (8 * SECOND, 38 * SECOND)
    control.decide(NOW, [interface.Purged(100, 1, None)])
    control.windows.gate = 1.0
    first = sends(control.decide(NOW, [lookup(2, "page")]))[0]
    second = sends(control.decide(NOW, [send_end(first, interface.FULL)]))[0]
    assert first.max_age < 100 and second.max_age < 100


def test_a_parent_that_is_the_target_fills_from_the_origin():
    send = sends(router([FLEET[4], FLEET[-1]]).decide(NOW, [lookup(1)]))[0]
    assert (send.cache, send.source) == ("p0", "o0")


def test_time_outs_at_a_cache_that_still_answers_do_not_set_it_aside():
    control = router([cache("c0"), FLEET[-1]])
    n = control.row_by_id["c0"]
    control.last_answer_at[n] = NOW + 1
    for _ in range(9):
        control.learning.on_send_end(
            sent_to(control, n), interface.SendEnd(1, 0, interface.LATE, 0, False, 9, "c0", None)
        )
    assert control.health.slow_start_limit[n] is None


def test_after_a_refused_fill_the_next_send_asks_the_same_parent_for_a_hit_only():
    control = router()
    first = sends(control.decide(NOW, [lookup(1)]))[0]
    second = sends(control.decide(NOW, [send_end(first, interface.FULL)]))[0]
    assert second.cache != first.cache and second.source == first.source and second.hits_only
    assert isinstance(control.decide(NOW, [send_end(second, interface.MISSING, 1)])[0], interface.Nack)


def test_a_closed_window_of_one_parent_moves_fills_to_the_next_and_a_closed_gate_allows_hits_only():
    control = router(note_level="none", topology=MANY_ROUTERS)
    control.windows.size[control.row_by_id["p0"]] = 0
    assert {sends(control.decide(NOW, [lookup(n)]))[0].source for n in range(1, 20)} == {"p1"}
    control.windows.gate, control.windows.gate_opens_from = 0.0, NOW
    late = [sends(control.decide(NOW, [lookup(n)]))[0] for n in range(20, 29)]
    assert all(send.source == send.cache for send in late)


def test_a_failed_subscription_to_the_list_is_repeated_until_it_is_answered():
    control = Control(1, terms(must_subscribe=True))
    assert control.decide(NOW, [interface.CacheList(interface.REMEMBERED, FLEET)]) == [
        interface.Subscribe(True)
    ]
    alarm = control.decide(NOW, [interface.CacheList(interface.UNANSWERED, ())])[0]
    assert control.decide(NOW + alarm.delay, [interface.Alarm(alarm.token)]) == [interface.Subscribe(True)]


def router_of_large_fleet(routers, zone_routers, **more):
    """A router whose share of a cache or parent is under one send."""
    control = router(
        topology=terms().topology._replace(
            routers=routers, routers_by_zone=(0, zone_routers), number=routers - 1
        ),
        **more,
    )
    control.now = NOW
    return control


def test_one_quick_hit_does_not_set_the_deadline():
    control = router()
    for n in (1, 2):
        send = sends(control.decide(NOW, [lookup(n)]))[0]
        control.decide(NOW, [send_end(send, interface.SATISFIED, copy_status=interface.FOUND, duration=30)])
    assert sends(control.decide(NOW, [lookup(3)]))[0].timeout > 2 * SECOND


def test_one_send_in_flight_does_not_move_a_part_where_many_routers_share_the_caches():
    control = router_of_large_fleet(200, 25)
    assert len({sends(control.decide(NOW, [lookup(n, key="film")]))[0].cache for n in range(3)}) == 1


def test_a_gate_that_is_nearly_closed_admits_some_fills():
    control = router_of_large_fleet(200, 25, note_level="none")
    for _ in range(30):
        control.windows.adjust_gate(True)
    assert 0 < control.windows.gate < 0.1
    filled = 0
    for n in range(200):
        send = sends(control.decide(NOW, [lookup(n)]))[0]
        filled += send.source != send.cache
        control.decide(NOW, [send_end(send, interface.MISSING)])
    assert 0 < filled < 60


def test_a_refused_fill_cuts_the_window_of_its_source():
    control, seen = router([cache("c0"), *FLEET[4:5], FLEET[-1]]), []
    for n in range(1, 4):
        first = sends(control.decide(NOW, [lookup(n)]))[0]
        control.decide(NOW, [send_end(first, interface.FULL)])
        seen.append(control.windows.size[control.row_by_id["p0"]])
    assert seen[0] > seen[1] > seen[2]


@pytest.mark.parametrize("routers", (3, 200))
def test_a_cold_parent_is_warmed_in_turns_that_together_stay_within_the_multiple(routers):
    settings = terms(topology=terms().topology._replace(routers=routers))
    fleet = [
        Control(n, settings._replace(topology=settings.topology._replace(number=n))) for n in range(routers)
    ]
    born, spent = NOW, []
    for control in fleet:
        control.decide(
            NOW,
            [
                interface.CacheList(
                    interface.REMEMBERED, (cache("p0", born=born, machine_type="parent"), FLEET[0])
                )
            ],
        )
        control.times.mean_work[0] = 4_000.0
    for step in range(0, 20 * SECOND, 500):  # every router sends as much as it may
        for control in fleet:
            control.now = born + step
            while control.cold.affords(0, 4_000.0):
                control.cold.spend(0, 4_000.0)
                spent.append(control.now)
    for at in range(born + SECOND, born + 20 * SECOND, 500):
        capacity = 30 * (0.1 + 0.9 * (at - born) / (20 * SECOND)) * SECOND
        assert sum(at - SECOND < when <= at for when in spent) * 4_000 <= 2.0 * capacity
    assert len(spent) > 50


@pytest.mark.parametrize("routers, zone_routers", ((0, 0), (1, 1), (5_000, 5_000)))
@pytest.mark.parametrize("fleet", ((), FLEET[:4], FLEET[4:6], FLEET[-1:], FLEET), ids=len)
def test_degenerate_fleets_raise_nothing_and_every_lookup_is_answered(routers, zone_routers, fleet):
    odd_kinds = (kind("clip", latency_budget=0, in_parts=True), *KINDS[1:])
    topology = terms().topology._replace(
        routers=routers, routers_by_zone=(0, zone_routers), number=7, answer_rate=0.0
    )
    control = router(fleet, topology=topology, kinds=odd_kinds)
    restarted = [listed._replace(born=NOW) for listed in fleet]
    answered = set()
    for step, cache_list in enumerate(
        (
            interface.CacheList(interface.CHANGES, tuple(restarted)),
            interface.CacheList(interface.WHOLE, ()),
            interface.CacheList(interface.WHOLE, tuple(fleet)),
        )
    ):
        now = NOW + step * 100
        effects = control.decide(
            now,
            [
                cache_list,
                *(lookup(9 * step + n, odd_kind.name, size=5) for n, odd_kind in enumerate(odd_kinds)),
            ],
        )
        for _ in range(9):
            answered |= {e.id for e in effects if isinstance(e, (interface.Nack, interface.Fail))}
            effects = [
                e
                for send in sends(effects)
                for e in control.decide(
                    now, [send_end(send, interface.FULL, last_send_number(send, control))]
                )
            ]
    assert answered == {9 * step + n for step in range(3) for n in range(len(odd_kinds))}


def last_send_number(send, control):
    return control.pending_lookups[send.id].send_count - 1


def test_sends_unanswered_at_a_cache_that_answers_others_in_time_do_not_cut_its_window():
    control = router([cache("c0"), FLEET[-1]])
    n, late = control.row_by_id["c0"], interface.SendEnd(1, 0, interface.LATE, 0, False, 9, "c0", None)
    control.now, control.last_answer_at[n], control.windows.size[n] = NOW, NOW + 1, 9.0
    control.learning.on_send_end(sent_to(control, n), late)
    assert control.windows.size[n] == 9.0
    control.learning.on_send_end(
        sent_to(control, n), late._replace(outcome=interface.SATISFIED, duration=3 * SECOND)
    )  # overload: other answers are late too
    control.learning.on_send_end(sent_to(control, n), late)
    assert control.windows.size[n] < 5.0


# ---- lost answers


def test_a_cache_that_loses_answers_closes_no_window_of_its_sources_and_changes_no_answer_times():
    """A quarter of the answers of three caches is lost, hits included; other fills must not be limited."""
    control = router(note_level="none")
    c0, p0 = control.row_by_id["c0"], control.row_by_id["p0"]
    control.last_answer_at[c0], control.windows.size[p0] = 2_000_000, 10.0
    lose = lambda is_fill: control.learning.on_send_end(  # noqa: E731
        PendingSend(c0, p0 if is_fill else c0, p0 if is_fill else None, 0, 100, 1_000_000, True, True),
        interface.SendEnd(1, 0, interface.LATE, 0, False, 9_000, "c0", None),
    )
    lose(True)
    assert control.windows.size[p0] == 5.0 and control.health.failures[p0] == 1  # it may be the source
    for _ in range(2):
        lose(False)
    room, strikes, average = control.windows.size[p0], control.health.failures[p0], control.times.average[0]
    lose(True)
    assert (control.windows.size[p0], control.health.failures[p0], control.times.average[0]) == (
        room,
        strikes,
        average,
    )
    for _ in range(60):  # answers without a fill arrive again
        control.learning.on_send_end(
            PendingSend(c0, c0, None, 0, 100, 1_000_000, True, True),
            interface.SendEnd(1, 0, interface.MISSING, 0, False, 9, "c0", None),
        )
    lose(True)
    assert control.windows.size[p0] < room


def test_a_write_lost_at_an_origin_that_answers_others_counts_as_loss_before_any_window_is_cut():
    control = router(note_level="none")
    c0, p0, o0 = (control.row_by_id[name] for name in ("c0", "p0", "o0"))
    control.last_answer_at[c0] = control.last_answer_at[o0] = 2_000_000
    control.windows.size[p0] = 10.0
    late = lambda cache: interface.SendEnd(1, 0, interface.LATE, 0, False, 9_000, cache, None)  # noqa: E731
    control.learning.on_send_end(PendingSend(o0, None, None, 2, 0, 1_000_000, False, True), late("o0"))
    control.learning.on_send_end(PendingSend(c0, p0, p0, 0, 100, 1_000_000, True, True), late("c0"))
    assert control.windows.size[p0] == 10.0 and control.health.failures[p0] == 0


# ---- overload by many routers, each of which sees few sends


def test_overload_is_detected_when_budgets_pass_not_when_the_sends_end():
    control = router([cache("c0"), FLEET[4], FLEET[-1]], note_level="none", topology=MANY_ROUTERS)
    in_flight = [sends(control.decide(NOW, [lookup(n, size=5)]))[0] for n in range(1, 7)]
    assert control.windows.gate == 1.0 and all(send.timeout >= 3 * SECOND for send in in_flight)
    control.now = NOW + 1
    control.record_answer(0)  # other answers arrived, so the cache is alive
    control.decide(NOW + 2 * SECOND, [])
    assert control.windows.gate < 0.2
    once = control.windows.gate
    control.decide(
        NOW + 3 * SECOND, [send_end(send, interface.LATE, duration=3 * SECOND) for send in in_flight]
    )
    assert control.windows.gate == once  # each miss is counted once


def test_the_budget_of_an_ended_send_is_not_counted_against_another_of_the_same_id():
    control = router([cache("c0"), FLEET[4], FLEET[-1]], note_level="none")
    first = sends(control.decide(NOW, [lookup(1, size=5)]))[0]
    control.decide(NOW + 100, [send_end(first, interface.SATISFIED)])
    second = sends(control.decide(NOW + 9_000, [lookup(1, size=5, due=NOW + 5 * SECOND)]))[0]
    control.last_answer_at[0] = NOW + 9_001
    control.decide(NOW + 9_500, [])
    assert (
        second
        and control.windows.gate == 1.0
        and not control.pending_sends[1, 0].over_budget
        and not control.budget_ends[1:]
    )


def test_a_gate_opens_with_time_after_the_last_miss_without_sends_of_this_router():
    control = router_of_large_fleet(200, 25, note_level="none")
    for _ in range(30):
        control.windows.adjust_gate(True)
    control.now = NOW + SECOND
    assert control.windows.fill_share() < 0.1  # first the cut must have had effect
    control.now = NOW + 5 * SECOND
    assert control.windows.fill_share() == 2 * control.windows.gate
    control.now = NOW + 16 * SECOND
    assert control.windows.fill_share() == 1.0


def test_under_overload_no_lookup_is_repeated_but_for_hits_at_a_parent_and_no_source_is_blamed():
    control = router(note_level="none")
    control.windows.gate, control.windows.gate_opens_from = 0.4, NOW
    sent = [sends(control.decide(NOW, [lookup(n, size=1)]))[0] for n in range(1, 12)]
    send = next(send for send in sent if send.source != send.cache)
    assert isinstance(control.decide(NOW, [send_end(send, interface.ERRED)])[0], interface.Nack)
    assert not any(control.health.failures[n] for n in control.parents)
    refused = next(other for other in sent if other.source != other.cache and other is not send)
    again = sends(control.decide(NOW, [send_end(refused, interface.FULL)]))
    assert not again or again[0].hits_only


def test_while_two_candidates_are_busy_no_third_cache_is_filled():
    control = router()
    first = control.placing.rank("k1|0|", control.edges)
    for n in first[:2]:
        control.windows.size[n] = 0.0
    assert isinstance(control.decide(NOW, [lookup(1)])[-1], interface.Nack)
    for n in first[:2]:
        control.health.set_aside(n)  # faulty, not busy: the next two replace them
    assert sends(control.decide(NOW + 1, [lookup(2, key="k1")]))[0].cache in {
        control.cache_ids[n] for n in first[2:]
    }


def test_large_lookups_are_given_up_before_small_ones():
    filled = {}
    for size in (200, 20_000):  # KB
        control, filled[size] = router_of_large_fleet(200, 25, note_level="none"), 0
        control.times.mean_work[0] = 4_000.0
        control.windows.gate = 0.3
        for n in range(100):
            control.now = control.windows.gate_opens_from = NOW
            effects = sends(control.decide(NOW, [lookup(n, key=f"o{n}", size=size)]))
            filled[size] += bool(effects) and effects[0].source != effects[0].cache
            for send in effects:
                control.decide(NOW, [send_end(send, interface.MISSING)])
    assert filled[200] > 95 and filled[20_000] < 50
