"""Requirements of the operators' pages that no other test covers: shutdown, input left unread by a pause,
invalid responses, and cache lists that do not arrive.
"""

import json
import os
import signal
import socket
import time

import pytest
import scenes
import test_caches
import test_feed
import test_front
from fleet import answer, answers, configuration, endpoint, members, message
from processes import BackgroundServer, Cache, FeedStandIn, start_router

from hookrouter import interface
from hookrouter.caches.idle import REST_DURATION
from hookrouter.caches.response_tail import SILENCE_DURATION
from hookrouter.feed import follower
from standins.ports import free_port

# ---- shutdown in simulated time: `at` is seconds after SIGTERM; lookups may come up to 0.6 s after it


def stopping_scene(tmp_path):
    s = scenes.Scene(tmp_path)
    service, stopped = s.make_service()
    busy, idle = s.client(), s.client()
    busy.come(message(1))
    idle.come(message(1, b"check"))
    idle.take()
    return s, service, stopped, busy, idle


@pytest.mark.parametrize("at", [0.0, 0.1, 0.2, 0.4, 0.6, 0.69])
@pytest.mark.parametrize("on", ["busy", "idle", "new", "two halves"])
def test_what_comes_after_sigterm_is_taken_and_answered_before_the_exit(tmp_path, at, on):
    s, service, stopped, busy, idle = stopping_scene(tmp_path)
    service.stop()
    s.net.advance(at)
    wire = {"busy": busy, "idle": idle}.get(on) or s.client()
    whole = message(2, allow="9000")
    if on == "two halves":
        wire.come(whole[:30])
        s.net.pump([0.1] * 7)  # the listener and idle connections are closed meanwhile
        wire.come(whole[30:])
    else:
        wire.come(whole)
    while not stopped and s.net.seconds() < 9:
        for way in s.net.ways:
            way.over or way.up()  # caches are silent: the answer comes at the deadline
        s.net.advance(0.05)
    got = answers(wire.take())
    assert (
        got[2][1].keys() == {1} and stopped and stopped[0] < 3.75 and s.check_counters()["lookups_held"] == 0
    )


def test_a_lookup_that_comes_after_the_last_ones_is_answered_before_sigkill(tmp_path):
    s, service, stopped, busy, _ = stopping_scene(tmp_path)
    s.up()
    service.stop()
    s.net.pump([0.1] * 12)
    busy.come(message(2, allow="9000"))
    while s.net.seconds() < 3.7:  # SIGKILL at the earliest: 3 s where the longest deadline is longer
        for way in s.net.ways:
            way.over or way.up()
        s.net.advance(0.05)
    assert 2 in answers(busy.take()) and stopped


@pytest.mark.parametrize("effect", ["clip", "hold"])
def test_what_is_in_work_at_sigterm_is_answered_before_sigkill_whatever_time_its_client_gives_it(
    tmp_path, effect
):
    """SIGKILL comes 3.7 s after SIGTERM if the longest deadline is longer; two of six routers were killed
    with lookups unanswered.
    """
    s, service, stopped, busy, _ = stopping_scene(tmp_path)
    busy.come(message(2, service=effect, replay="5c0f", allow="9000", ref="a" * 16))
    service.stop()
    while s.net.seconds() < 3.7 and not stopped:
        for way in s.net.ways:
            way.over or way.up()
        s.net.advance(0.02)
    assert answers(busy.take()).keys() == {1, 2} and stopped and 3.5 < stopped[0] < 3.7
    assert s.check_counters()["lookups_held"] == 0 and not s.router.control.pending_lookups


def test_half_a_lookup_that_never_becomes_whole_does_not_hold_the_exit_up(tmp_path):
    s, service, stopped, busy, idle = stopping_scene(tmp_path)
    s.up().come(answer(200, b"x"))
    idle.come(message(2)[:30])
    service.stop()
    s.net.pump([0.1] * 18)
    assert not stopped and idle.open
    s.net.pump([0.1] * 4)
    assert stopped and not idle.open and 1 in answers(busy.take())


def test_a_second_sigterm_and_a_sighup_at_the_end_change_nothing(tmp_path):
    s, service, stopped, busy, _ = stopping_scene(tmp_path)
    service.stop()
    held = len(s.router.deadlines)
    s.net.advance(0.3)
    service.stop()
    service.reload()  # no read_start is given: a reload would fail
    assert len(s.router.deadlines) == held and s.counters.values["reloads_refused"] == 0
    s.net.advance(0.5)
    s.up().come(answer(200, b"x"))
    s.net.pump([0.02] * 3)
    assert answers(busy.take())[1][1][0][1] == b"x" and stopped and stopped[0] < 0.9


def test_at_the_end_the_listener_stays_open_until_there_is_room_for_who_waits_in_its_queue(tmp_path):
    """Closed with all slots taken, the listener reset queued connections, which to their clients were
    established and carried calls.
    """
    s, service, stopped, busy, idle = stopping_scene(tmp_path)
    closed = []
    service.port.stopListening = lambda: closed.append(s.net.seconds())
    idle.come(message(2, ref="a" * 16))
    s.router.front.connections.size = 2
    service.stop()
    s.net.pump([0.1] * 9)
    assert not closed and not stopped
    s.up().come(answer(200, b"x"))
    s.net.pump([0.02] * 3)
    assert len(closed) == 1 and not stopped
    s.net.pump([0.1] * 40)
    assert len(closed) == 1 and stopped and s.check_counters()["clients_held"] == 0


# ---- pause of the process: timers run before reads, and unread calls must be answered


@pytest.mark.parametrize(
    "case", ["silent too long", "idle too long", "short, silent", "short, idle", "the end"]
)
def test_what_lies_unread_after_a_pause_is_taken_before_its_connection_is_ended(tmp_path, case):
    short = case.startswith("short")
    s = test_front.Scene(most=2 if short else 9)
    wire, whole = s.client(), message(2)
    if "idle" in case or case == "the end":
        wire.come(message(1, b"check"))
        wire.take()
    s.net.advance(0.05)
    wire.unread = whole
    if short:
        s.net.rightNow += 0.3  # the clock advances, but no timer runs
        s.client()
    elif case == "the end":
        s.front.close_idle()
    else:
        s.net.advance(20)
    s.net.pump([0, 0])
    assert wire.open and [call[1] for call, _ in s.handler.calls] == [2]
    s.front.failed(s.handler.calls[0][0])
    assert answers(wire.take()).keys() == {2}


def test_clients_that_send_much_at_once_and_go_leave_nothing_behind(tmp_path):
    s = scenes.Scene(tmp_path)
    for _ in range(20):
        wire = s.client()
        wire.come(b"".join(message(n, lookup=f"{n:016x}", ref=f"{n:016x}") for n in range(1, 33)))
        wire.abortConnection()
        s.net.pump([0, 0.01])
        held = s.check_counters()
        assert not held["lookups_held"] and not held["clients_held"] and not s.router.open_trace_ids
    s.net.pump([0.5, 0])
    assert s.check_counters()["connections_held"] == 0 and s.counters.values["lookups_given_up.clip"] > 0


# ---- invalid responses

COPY = b"X-Rev: 4be0", b"X-Since-Ms: 1764576000123"
OTHER = test_caches.PLAIN._replace(object="0d55")


def endless(head, piece):
    yield head
    while True:
        yield piece


@pytest.mark.parametrize(
    "pieces, end",
    [
        (endless(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"), interface.LATE),
        (
            endless(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: x\r\n"),
            interface.LATE,
        ),
        (endless(b"", b"HTTP/1.1 100 Go on\r\n\r\n"), interface.LATE),
        (endless(b"HTTP/1.1 200 OK\r\n", b"X-Pad: p\r\n" * 40), interface.BROKEN),
        (
            endless(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + b"x" * 4096 + b"\r\n"
            ),
            interface.BROKEN,
        ),
    ],
)
def test_an_answer_that_never_ends_is_over_in_its_time_and_leaves_nothing(pieces, end):
    s = test_caches.Scene()
    s.send()
    wire = s.up()
    while wire.open:
        wire.come(next(pieces))
        s.net.advance(0.01)
    s.net.advance(0)
    assert s.ends() == [end] and s.net.seconds() < 1
    s.assert_all_released()


@pytest.mark.parametrize("fields", [(), (b"X-Rev: 0000",), (b"X-Rev: ",)])
def test_a_copy_is_called_current_only_where_the_cache_names_that_copy(fields):
    s = test_caches.Scene()
    s.send(request=test_caches.PLAIN._replace(client_revision="4be0"))
    s.up().come(answer(304, b"", *fields))
    s.net.advance(0)
    assert s.ends() == [interface.BROKEN]
    s.assert_all_released()


def test_the_double_of_an_answer_that_comes_late_is_not_the_next_ones():
    s = test_caches.Scene()
    s.send()
    wire = s.up()
    wire.come(answer(200, b"body", *COPY))
    s.net.advance(REST_DURATION)
    s.send(request=OTHER)
    wire.come(answer(200, b"body", *COPY))  # arrives as the response of the next request
    s.net.advance(0)
    assert s.ends() == [interface.SATISFIED, interface.BROKEN] and not wire.open
    for n, (request, tag) in enumerate(
        ((test_caches.PLAIN, COPY[0]), (test_caches.PLAIN, COPY[0]), (OTHER, b"X-Rev: 0d"))
    ):
        s.net.advance(REST_DURATION)
        s.send(request=request)
        wire = wire if n else s.up()
        wire.come(answer(200, b"body", tag, COPY[1]))  # the same object's copy twice is no duplicate
    assert s.ends()[2:] == [interface.SATISFIED] * 3


@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("late", [0.0, 0.005, 0.019])
@pytest.mark.parametrize(
    "said",
    [
        answer(404),
        answer(500, b"no"),
        answer(503, b"", b"X-Declined: 1"),
        answer(504, b"", b"X-Declined: 1"),
        answer(200, b"done"),
        answer(200, b"body", *COPY),
    ],
)
def test_no_request_takes_a_connection_on_which_a_second_answer_may_still_come(said, late, is_repeatable):
    """A late second 404 or rejection would say that it never ran, and its own answer would be the next one's."""
    s, request = test_caches.Scene(), OTHER._replace(not_repeatable=not is_repeatable)
    s.send()
    first = s.up()
    first.come(said)
    first.take()
    s.net.advance(late)
    s.send(request=request)
    assert first.take() == b""  # it waits until the connection has rested, or until another one is up
    first.come(said)
    s.net.advance(0)
    assert not first.open and len(s.ended) == 1
    second = s.up()
    assert second.take().count(b"GET") == 1
    second.come(answer(200, b"done"))
    s.net.advance(REST_DURATION if is_repeatable else SILENCE_DURATION)
    s.send(request=request)
    assert second.take().count(b"GET") == 1 and len(s.ended) == 2  # rested: taken again


def resting():
    """A scene with one connection that has just had its answer."""
    s = test_caches.Scene()
    s.send()
    first = s.up()
    first.come(answer(404))
    first.take()
    return s, first


def test_a_request_that_would_leave_too_late_by_a_resting_connection_takes_a_new_one():
    s, first = resting()
    s.send(request=OTHER, start_within=REST_DURATION / 2)
    assert len(s.net.ways) == 2
    s.up().come(answer(404))
    assert s.ends() == [interface.MISSING] * 2 and first.take() == b""


def test_a_request_withdrawn_while_its_connection_rests_gives_it_back():
    s, first = resting()
    for _ in range(2):
        s.send(request=OTHER).cancel()
    assert s.ends()[1:] == [interface.CANCELLED] * 2
    s.net.advance(REST_DURATION)
    assert first.open and first.take() == b""
    s.send(request=OTHER)
    assert first.take().startswith(b"GET")
    first.come(answer(404))
    s.net.pump([20, 0])
    s.assert_all_released()


@pytest.mark.parametrize("is_late", [False, True])
def test_a_request_takes_the_resting_connection_or_a_spare_one_whichever_is_ready_first(is_late):
    s, first = resting()
    s.send(request=OTHER)
    s.net.advance(REST_DURATION if is_late else REST_DURATION / 2)
    spare = s.up()
    taken, left = (first, spare) if is_late else (spare, first)
    assert taken.take().count(b"GET") == 1 and left.take() == b""
    taken.come(answer(404))
    s.net.advance(REST_DURATION / 2)
    s.send()  # the other one is idle and has rested
    assert left.take().count(b"GET") == 1 and len(s.net.ways) == 2
    left.come(answer(404))
    s.net.pump([20, 0])
    s.assert_all_released()


def test_a_spare_connection_that_does_not_come_up_is_given_up_and_costs_no_send():
    s, first = resting()
    s.send(request=OTHER)
    s.net.advance(REST_DURATION)
    first.come(answer(404))
    assert s.ends() == [interface.MISSING] * 2 and len(s.caches.connections) == 2
    s.net.pump([s.caches.connect_timeout, 0])
    assert len(s.caches.connections) == 1
    s.net.pump([20, 0])
    s.assert_all_released()


@pytest.mark.parametrize("is_removed", [False, True])
def test_a_request_whose_resting_connection_ends_takes_a_new_one(is_removed):
    s, first = resting()
    s.send(request=OTHER)
    first.abortConnection()
    s.net.advance(0)
    assert first.take() == b""
    if is_removed:
        s.caches.remove("c0")
    wire = s.up()
    if is_removed:  # another process may be at its address by now
        s.net.advance(0)
        assert wire.take() == b"" and s.ends() == [interface.MISSING, interface.VOID]
    else:
        wire.come(answer(404))
        assert s.ends() == [interface.MISSING] * 2
    s.net.pump([20, 0])
    s.assert_all_released()


# ---- a cache list counts as delivered 7 s after the feed has it


@pytest.mark.parametrize(
    "ways", [(), ("hangs",), ("refused",) * 3, ("mute",), ("hangs", "mute"), ("garbage", "hangs")]
)
def test_a_watch_that_falls_silent_is_followed_anew_before_its_news_count_as_told(ways):
    s = test_feed.Scene()
    s.net.ways[0].up().come(test_feed.HEAD + b":\n\n")
    began = s.net.seconds()  # the feed has an event now that this stream never delivers
    for way in (*ways, "well"):
        count = len(s.net.ways)
        while len(s.net.ways) == count:
            s.net.advance(0.01)
        if way == "refused":
            s.net.ways[-1].refuse()
        elif way != "hangs":
            wire = s.net.ways[-1].up()
            wire.come(
                {
                    "mute": b"",
                    "garbage": b"junk\r\n\r\n",
                    "well": test_feed.HEAD + test_feed.told(test_feed.purge(4, group=1)),
                }[way]
            )
    assert s.numbers() == [4] and s.net.seconds() - began < 7
    assert follower.SILENCE_TIMEOUT + follower.MAX_PAUSE + follower.CONNECT_TIMEOUT < 4


# ---- real processes


def call(port, *data):
    connection = socket.create_connection(("127.0.0.1", port), 5)
    connection.settimeout(10)
    for piece in data:
        connection.sendall(piece)
    return connection


def read_reply(connection, seqid):
    got = b""
    while seqid not in (replies := answers(got)):
        piece = connection.recv(65536)
        assert piece, f"ended without an answer to {seqid}"
        got += piece
    return replies[seqid][1]


@pytest.mark.parametrize("paused", [False, True])
def test_a_process_told_to_end_answers_all_that_came_in_time_also_when_it_was_paused(tmp_path, paused):
    with BackgroundServer(Cache) as cache, BackgroundServer(FeedStandIn) as feed:
        fleet = [endpoint("c0", cache.port), endpoint("o0", cache.port, "origin")]
        path = tmp_path / "config.json"
        path.write_text(
            json.dumps(
                configuration(
                    members(1, *fleet, whole=True),
                    listen=f"127.0.0.1:{free_port()}",
                    feed=f"127.0.0.1:{feed.port}",
                )
            )
        )
        process, port = start_router(path)
        try:
            idle, half, working = (
                call(port, message(1, b"check")),
                call(port, message(1)),
                call(port, message(1)),
            )
            for connection in (idle, half, working):
                read_reply(connection, 1)
            working.sendall(message(2, part="9", allow="1200"))
            half.sendall(message(2, ref="b" * 16)[:40])
            process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            time.sleep(0.2)
            if paused:
                process.send_signal(signal.SIGSTOP)
            else:
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            new = call(port, message(1, ref="c" * 16))
            time.sleep(0.1)
            idle.sendall(message(2, ref="a" * 16))
            half.sendall(message(2, ref="b" * 16)[40:])
            if paused:
                time.sleep(0.5)
                process.send_signal(signal.SIGCONT)
            for connection, seqid in ((idle, 2), (half, 2), (new, 1)):
                assert read_reply(connection, seqid)[0][3] is True
            assert read_reply(working, 2).keys() == {1}  # its cache is silent: nacked at its deadline
            said = process.communicate(timeout=10)[1]
            assert process.returncode == 0 and time.monotonic() - began < 3.7
            assert "lookups_held 0" in said and "Traceback" not in said and "reloads 0" in said
        finally:
            os.kill(process.pid, signal.SIGCONT) if process.poll() is None else None
            process.kill()
            process.wait()
