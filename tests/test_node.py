"""A whole router in memory with a simulated clock."""

import json

import pytest
from fleet import END, answer, answers, configuration, endpoint, members, message
from scenes import FLEET, START_TIME, Scene, read_config

from hookrouter import interface
from hookrouter.caches.response_tail import SILENCE_DURATION
from hookrouter.feed.events import parse_event
from hookrouter.node.effects import EFFECTS
from hookrouter.node.service import Service
from hookrouter.node.start import read_start
from hookrouter.parsers import thrift


def test_a_lookup_is_served_with_the_bytes_of_a_cache(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1, b"check") + message(2))
    assert s.net.ways[-1].port in (7100, 7101)
    cache = s.up()
    head = cache.take()
    assert b"GET /fetch/clip/7f3a9c21e0b4d655/3 " in head and b"X-Origin-Pick: p0\r\n" in head
    cache.come(answer(200, b"\x00bytes"))
    got = answers(wire.take())
    assert got[1][1][0][3] is True and got[2][1][0][1] == b"\x00bytes"
    assert s.check_counters()["lookups_held"] == 0


def test_a_write_goes_to_the_origin_with_key_and_body_and_304_says_unchanged(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1, service="hold", replay="5c0f", body=b"order") + message(2, have="4be0"))
    origin, cache = (way.up() for way in s.net.ways)
    assert s.net.ways[0].port == 7103
    head = origin.take()
    assert b"X-Op-Key: 5c0f\r\n" in head and head.endswith(b"\r\n\r\norder") and b"X-Origin-Pick" not in head
    assert b"X-Seen: 4be0\r\n" in cache.take()
    cache.come(answer(304, b"", b"X-Rev: 4be0"))
    origin.come(answer(200, b"done"))
    got = answers(wire.take())
    assert got[1][1][0][1] == b"done" and got[2][1][0] == {1: b"", 2: {b"same": b"1"}, 3: True}


def test_refusals_are_told_and_the_nack_names_a_time_to_come_back(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1))
    for _ in range(6):
        if not s.net.ways[-1].over:
            s.up().come(answer(503, b"", b"X-Declined: 1"))
    s.net.advance(2)
    ((kind, struct),) = answers(wire.take()).values()
    assert kind == thrift.REPLY and struct.keys() == {1} and int(struct[1][1].get(b"cooldown", b"0")) <= 500
    assert s.check_counters()["connections_held"] <= 2


@pytest.mark.parametrize(
    "allow, within", [("1500", 1.6), ("99999999", 4.1)]
)  # at most the kind's own deadline
def test_a_silent_fleet_gets_every_lookup_its_answer_in_time(tmp_path, allow, within):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(b"".join(message(n, allow=allow) for n in range(1, 6)))
    while s.net.seconds() < within:
        for way in s.net.ways:
            way.over or way.up()
        s.net.advance(0.1)
    assert len(answers(wire.take())) == 5
    held = s.check_counters()
    assert held["lookups_held"] == held["connections_held"] == 0
    assert s.counters.values["sends_cancelled"] == 0 < s.counters.values["sends_late"]


def test_a_client_that_leaves_is_owed_nothing_and_its_sends_end(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1) + message(2))
    s.up()
    wire.come(message(3, b"interrupt", interrupted=1))
    wire.abortConnection()
    s.net.pump([0, 0.5])
    held = s.check_counters()
    assert (
        wire.take() == b"" and held["lookups_held"] == held["connections_held"] == held["clients_held"] == 0
    )


@pytest.mark.parametrize("end", ["interrupt", "end"])
def test_what_is_not_written_is_withdrawn_with_its_client_also_where_nothing_may_be_cancelled(tmp_path, end):
    stated = configuration(members(1, *FLEET, whole=True))
    stated["settings"]["limits"]["mayCancel"] = False
    s = Scene(tmp_path, terms=read_config(tmp_path, stated).terms)
    wire = s.client()
    wire.come(message(1) + message(2, part="4"))
    written = s.net.ways[0].up()
    written.take()
    if end == "interrupt":
        wire.come(message(3, b"interrupt", interrupted=1) + message(4, b"interrupt", interrupted=2))
    else:
        wire.abortConnection()
    s.net.advance(0)
    assert s.net.ways[1].over and written.open  # the connect is cancelled, the written attempt goes on
    written.come(answer(200, b"x"))
    held = s.check_counters()
    assert held["lookups_held"] == held["sends_out"] == 0 and s.counters.values["sends_cancelled"] == 1


@pytest.mark.parametrize("on", ["a first attempt", "a further attempt", "a dial"])
@pytest.mark.parametrize("gone", ["interrupt", "end"])
def test_no_attempt_begins_for_a_client_whose_end_lies_unread(tmp_path, on, gone):
    """After a pause of the process, timers and caches may be handled before that client's socket."""
    s = Scene(tmp_path)
    wire = s.client()
    unread = message(2, b"interrupt", interrupted=1) if gone == "interrupt" else END
    if on == "a first attempt":
        wire.unread = unread
    wire.come(message(1))
    if on == "a further attempt":
        first = s.up()
        first.take()
        wire.unread = unread
        first.come(answer(404))
    elif on == "a dial":
        wire.unread = unread
        s.up()
    s.net.pump([0, 0.01])
    for way in s.net.ways:
        way.over or way.up()
    assert not any(way.wire.take() for way in s.net.ways if way.wire is not None)
    s.net.pump([0.5, 0])
    held = s.check_counters()
    assert (
        held["lookups_held"] == held["sends_out"] == 0
        and wire.take() == b""
        and not s.router.control.pending_lookups
    )


def test_a_keyed_repeat_never_leaves_once_its_group_may_have_forgotten_the_first(tmp_path):
    stated = configuration(members(1, *FLEET, whole=True))
    stated["settings"]["classes"][1]["memorySpan"] = 300.0
    s = Scene(tmp_path, terms=read_config(tmp_path, stated).terms)
    wire = s.client()
    wire.come(message(1, service="hold", replay="5c0f"))
    s.up()
    s.net.advance(0.2)
    s.net.ways[-1].wire.abortConnection()  # it may have run
    s.net.advance(0)
    assert len(s.net.ways) == 2
    s.net.advance(0.06)  # the second connect would finish after 260 ms; 50 ms are reserved for the way
    wire_of_repeat = s.net.ways[-1]
    assert wire_of_repeat.over and wire_of_repeat.wire is None and len(answers(wire.take())) == 1


def test_what_cannot_be_served_fails_at_once(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1, service="nonsense"))
    assert answers(wire.take())[1][1].keys() == {2} and "unknown object kind" in s.out.text
    assert s.counters.values["calls_of_unknown_kind"] == 1 and s.check_counters()["lookups_held"] == 0
    wire.come(message(2, service="hold"))  # without its key a repeat would take effect twice
    assert (
        answers(wire.take())[2][1].keys() == {2}
        and not s.net.ways
        and s.check_counters()["lookups_held"] == 0
    )


def test_more_lookups_than_the_settings_let_it_hold_are_nacked_at_once(tmp_path):
    s = Scene(tmp_path)
    s.router.lookups.size = 1
    wire = s.client()
    wire.come(message(1) + message(2))
    assert answers(wire.take())[2][1].keys() == {1} and s.check_counters()["lookups_held"] == 1


@pytest.mark.parametrize("event", [interface.Lookup, interface.SendEnd, interface.Alarm])
def test_an_exception_in_the_decisions_is_logged_and_its_lookups_are_answered(tmp_path, event):
    s = Scene(tmp_path)
    wire, decide = s.client(), s.router.control.decide

    def broken(now, inputs):
        if isinstance(inputs[0], event):
            s.router.control.effects = []
            raise RuntimeError("made up")
        return decide(now, inputs)

    s.router.control.decide = broken
    wire.come(message(1))
    if event is not interface.Lookup:
        s.up()
    if event is interface.SendEnd:
        s.net.ways[-1].wire.come(answer(404))
    s.net.pump([0.1] * 16)
    assert answers(wire.take())[1][1].keys() == {2}
    assert "RuntimeError: made up" in s.out.text and s.counters.values["decisions_failed"] >= 1
    s.router.control.decide = decide
    wire.come(message(2))
    s.net.advance(2)
    assert len(answers(wire.take())) == 1 and s.check_counters()["lookups_held"] == 0
    assert not s.router.control.pending_lookups


def test_nothing_goes_out_after_the_answer_whatever_the_module_says(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1))
    number = next(iter(s.router.control.pending_lookups))
    s.router.control.decide = lambda now, inputs: [
        interface.Nack(number, 0),
        interface.Fail(number),
        interface.Ask(number, "c0", 100),
        interface.Cancel(number, 0),
    ]
    s.router.handle_event(interface.Alarm(0))
    assert list(answers(wire.take())[1][1]) == [1] and len(s.net.ways) == 1
    assert s.counters.values["sends"] == 1 and s.check_counters()["lookups_held"] == 0


def test_purges_and_lists_reach_the_module_with_their_true_age(tmp_path):
    made = int(START_TIME * 1000) - 400
    s = Scene(
        tmp_path,
        {"n": 2, "purge": {"key": "7f3a9c21e0b4d655", "at": made}},
        members(3, endpoint("c0", 7100, status="left"), endpoint("c1", 7101, status="leaving")),
    )
    wire = s.client()
    wire.come(message(1))
    assert s.net.ways[-1].port in (7102, 7103)  # no cache is left: sent to parent or origin
    assert b"X-Stale-Limit: 399\r\n" in s.up().take()


def test_sigterm_answers_what_was_taken_and_then_ends(tmp_path):
    s = Scene(tmp_path)
    service, stopped = s.make_service()
    wire, idle = s.client(), s.client()
    wire.come(message(1))
    cache = s.up()
    service.stop()
    s.net.advance(0.3)
    wire.come(message(2) + message(3, b"check"))
    s.client()  # connections are still accepted
    s.net.advance(0.5)
    assert not idle.open and wire.open and not stopped
    cache.come(answer(200, b"x"))
    s.up().come(answer(200, b"y"))
    s.net.pump([0.02] * 5)
    got = answers(wire.take())
    assert got[1][1][0][1] == b"x" and got[2][1][0][1] == b"y" and got[3][1][0][3] is False
    assert stopped and s.check_counters()["clients_held"] == 0


# Guards against lookups that are answered too late at a shutdown, behind the alarms of all that have ended.
def test_alarms_of_lookups_that_have_ended_take_no_decision(tmp_path):
    s = Scene(tmp_path)
    service, _ = s.make_service()
    service.stop()
    wire, decided = s.client(), []
    decide = s.router.control.decide
    s.router.control.decide = lambda now, inputs: decided.extend(inputs) or decide(now, inputs)
    for seqid in range(1, 31):
        wire.come(message(seqid, part=str(seqid), allow="4000"))
        s.net.ways[-1].up().come(answer(200, b"x", b"Connection: close"))
    assert len(answers(wire.take())) == 30 and len(s.router.control.alarms) >= 30
    wire.come(message(31, part="99", allow="4000"))  # never answered by a cache
    s.net.advance(4)
    alarms = [event for event in decided if isinstance(event, interface.Alarm)]
    assert 31 in answers(wire.value()) and len(alarms) <= 1
    assert not s.router.control.alarms


def test_at_the_end_a_client_that_reads_nothing_is_cut_off_in_time(tmp_path):
    s = Scene(tmp_path)
    service, stopped = s.make_service()
    wire = s.client()
    wire.come(message(1))
    wire.loseConnection = lambda: None  # its buffer stays full
    s.up().come(answer(200, b"x"))
    service.stop()
    s.net.pump([0.1] * 36 + [0.04])
    assert not stopped
    s.net.pump([0.02] * 8)
    assert (
        stopped and 3.65 <= stopped[0] < 3.8 and not wire.open
    )  # before SIGKILL at 3.7 s, though deadlines are 4 s


def test_a_reload_is_all_or_nothing_and_the_numbers_go_on(tmp_path):
    s = Scene(tmp_path)
    path = tmp_path / "config.json"
    service = Service(
        s.router, s.start, s.net, s.log, s.counters, lambda: read_start({"EDGE_CONFIG": str(path)})
    )
    s.router.feed.start()
    s.up()
    late = members(2, endpoint("c0", 7100, status="left"))
    for wrong, named in (
        ("{", "EDGE_CONFIG"),
        (json.dumps({**configuration(), "feed": "nowhere"}), "config.feed"),
        (json.dumps({**configuration(), "known": {"n": 1, "events": [7]}}), "event"),
    ):
        path.write_text(wrong)
        service.reload()
        assert (
            f"reload refused, all stays as it was: {named}" in s.out.text
            or named in s.out.text.splitlines()[-1]
        )
        assert s.router.feed.port == 9092 and s.net.ways[-1].wire.open
    path.write_text(
        json.dumps(
            {**configuration(members(1, *FLEET, whole=True), late, feed="127.0.0.1:9093"), "seed": "other"}
        )
    )
    service.reload()
    s.net.pump([0, 0.05])
    assert "reloaded: follows 127.0.0.1:9093; stays as it was until a restart: seed" in s.out.text
    assert (
        s.net.ways[-1].port == 9093
        and b"Last-Event-ID: 2\r\n" in s.up().take()
        and "c0" not in s.router.caches.endpoints
    )
    assert (s.counters.values["reloads"], s.counters.values["reloads_refused"]) == (1, 3)


def test_the_id_of_an_open_lookup_is_refused_and_the_first_goes_on(tmp_path):
    s = Scene(tmp_path)
    wire, other = s.client(), s.client()
    wire.come(message(1))
    other.come(message(1, lookup="0" * 16))
    assert (
        answers(other.take())[1][1].keys() == {2}
        and wire.take() == b""
        and s.counters.values["ids_used_twice"] == 1
    )
    s.up().come(answer(200, b"x"))
    assert answers(wire.take())[1][1][0][1] == b"x" and not s.router.open_trace_ids
    other.come(message(2, ref=f"{1:016x}"))
    assert s.check_counters()["lookups_held"] == 1


def test_own_copies_are_given_with_their_bytes_and_as_unchanged_where_the_client_has_them(tmp_path):
    s = Scene(tmp_path)
    s.net.advance(60)
    wire, made = s.client(), b"X-Since-Ms: %d" % ((START_TIME + 59) * 1000)
    wire.come(message(1) + message(2, part="4"))
    first, second = (way.up() for way in s.net.ways[-2:])
    first.come(answer(200, b"body", made, b"X-Rev: 4be0c192"))
    second.come(answer(200, b"body", made) + b"noise")  # its length may be wrong: passed on, not stored
    s.net.advance(SILENCE_DURATION)  # then the first is known to be whole
    sent = s.counters.values["sends"]
    wire.take()
    wire.come(message(3) + message(4, have="4be0c192"))
    got = answers(wire.take())
    assert got[3][1][0][1] == b"body" and got[4][1][0] == {1: b"", 2: {b"same": b"1"}, 3: True}
    assert (
        s.counters.values["sends"] == sent
        and s.counters.values["copies_given"] == 2
        and not s.router.storable_results
    )
    wire.come(message(5, part="4"))
    assert s.counters.values["sends"] == sent + 1 and s.check_counters()["copy_bytes_held"] == 4
    s.router.on_purge(
        parse_event(json.dumps({"n": 9, "purge": {"group": 17, "at": int((START_TIME + 59.5) * 1000)}}))
    )
    assert not s.router.copies and s.check_counters()["copy_bytes_held"] == 0


def test_caches_that_come_and_go_leave_nothing_behind(tmp_path):
    s = Scene(tmp_path)
    for n in range(2, 200):
        s.router.on_cache_list(parse_event(json.dumps(members(n, endpoint(f"new{n}", 7200, since=n)))))
        s.router.on_cache_list(parse_event(json.dumps(members(n, endpoint(f"new{n}", 7200, status="left")))))
    assert (
        sorted(s.router.caches.endpoints) == ["c0", "c1", "o0", "p0"] and len(s.router.control.cache_ids) <= 6
    )
    s.router.on_cache_list(parse_event(json.dumps(members(200, *FLEET[:3], whole=True))))
    assert sorted(s.router.caches.endpoints) == ["c0", "c1", "p0"]


@pytest.mark.parametrize("effect", [interface.Ask, interface.Obtain, interface.Nack])
def test_an_exception_in_an_effect_costs_no_other_call_its_answer(tmp_path, monkeypatch, effect):
    """It came out of the read of a client's connection, and the reactor closed that connection."""
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(1))

    def broken(*_):
        raise RuntimeError("made up")

    with monkeypatch.context() as patched:
        if effect is interface.Nack:
            patched.setitem(EFFECTS, effect, broken)
            patched.setattr(s.router.control.rules, "admissible", lambda lookup, target: False)
        else:
            patched.setattr(s.router.caches, "send", broken)
        wire.come(message(2, service="hold" if effect is interface.Ask else "clip", replay="5c0f"))
    got = answers(wire.take())
    assert got.keys() == {2} and got[2][1].keys() == {2}
    assert "RuntimeError: made up" in s.out.text and s.counters.values["effects_failed"] == 1
    s.net.pump([0.1] * 20)
    assert wire.open and answers(wire.take()).keys() == {1} and s.check_counters()["lookups_held"] == 0
    assert not s.router.control.pending_lookups
    assert not s.router.control.pending_sends and len(s.router.lookups) == 0
