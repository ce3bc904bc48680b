"""Answers under a length that is too short: their rest comes later, and no copy of the router's own is kept of them."""

import pytest
from fleet import answer, answers, lookup, message, router, send_end, sends
from scenes import START_TIME, Scene
from test_own_copies import OWN, satisfy_and_keep
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from hookrouter import interface
from hookrouter.caches.response_tail import SILENCE_DURATION

MADE = b"X-Since-Ms: %d" % ((START_TIME + 59) * 1000)
REST = b"the other half of the body"


def ask_first(tmp_path, *fields, **request):
    """A scene with one answered lookup, its client and the cache's connection."""
    s = Scene(tmp_path)
    s.net.advance(60)
    client = s.client()
    client.come(message(1, **request))
    line = s.up()
    line.come(answer(200, b"half", MADE, b"X-Rev: 4be0c192", *fields))
    assert answers(client.take())[1][1][0][1] == b"half"  # passed on as its length says
    return s, client, line


def is_given(s, client, seqid, **request):
    """Whether a new lookup of the same object is answered without a send."""
    sent = s.counters.values["sends"]
    client.come(message(seqid, **request))
    return s.counters.values["sends"] == sent and seqid in answers(client.take())


# Guards against a copy of half an answer that is given to all later requests (review/10).
@pytest.mark.parametrize("gap", [0.0005, 0.005, 0.019, 0.04, 0.2])
def test_a_copy_whose_rest_follows_is_never_given(tmp_path, gap):
    s, client, line = ask_first(tmp_path)
    s.net.advance(gap)
    assert not is_given(s, client, 2)
    line.come(REST)
    s.net.advance(2)
    assert not is_given(s, s.client(), 3)
    assert not s.router.copies and not s.router.held_copies and s.check_counters()["copy_bytes_held"] == 0


# Guards against a stored copy that stays although its rest comes on the connection long after.
def test_a_stored_copy_is_dropped_when_its_rest_comes_late(tmp_path):
    s, client, line = ask_first(tmp_path)
    s.net.advance(SILENCE_DURATION)
    assert is_given(s, client, 2)
    s.net.advance(1)
    line.come(REST)
    assert not is_given(s, client, 3) and not s.router.copies
    assert s.counters.values["copies_revoked"] == 1


# Guards against a copy that is kept when its rest reaches the router only behind the connection's next request.
def test_a_copy_is_dropped_when_its_rest_answers_the_next_request(tmp_path):
    s, client, line = ask_first(tmp_path)
    s.net.advance(0.05)
    line.take()
    client.come(message(2))
    assert line.take()  # on the same connection
    line.come(REST + b"\r\n\r\n")
    s.net.advance(1)
    assert not s.router.copies and not s.router.held_copies


def test_the_next_answer_on_its_connection_shows_that_a_copy_is_whole(tmp_path):
    s, client, line = ask_first(tmp_path)
    s.net.advance(0.05)
    client.come(message(2))
    line.come(answer(200, b"half", MADE))
    assert len(s.router.copies) == 1 and is_given(s, client, 3)


# Guards against a copy of half an answer whose connection the router would close at once.
@pytest.mark.parametrize("follows", [REST, answer(200, b"half", MADE)])
def test_an_answer_that_ends_its_connection_is_not_kept_where_more_follows(tmp_path, follows):
    s, client, line = ask_first(tmp_path, b"Connection: close")
    s.net.advance(0.03)
    line.come(follows)
    s.net.advance(1)
    assert not s.router.copies and not is_given(s, client, 2)


@pytest.mark.parametrize("reason, kept", [(ConnectionDone(), 1), (ConnectionLost(), 0)])
@pytest.mark.parametrize("fields", [(), (b"Connection: close",)])
def test_the_end_of_the_stream_shows_that_a_copy_is_whole_and_a_reset_does_not(
    tmp_path, fields, reason, kept
):
    s, _, line = ask_first(tmp_path, *fields)
    assert line.open and not s.router.copies
    s.net.advance(0.01)
    line.protocol.connectionLost(Failure(reason))
    assert len(s.router.copies) == kept and not s.router.held_copies


def test_a_connection_that_lingers_takes_no_request_and_closes(tmp_path):
    s, client, line = ask_first(tmp_path, b"Connection: close")
    s.net.advance(0.1)
    line.take()
    client.come(message(2, part="4"))
    assert line.take() == b"" and s.counters.values["connections"] == 2
    s.net.advance(SILENCE_DURATION)
    s.net.advance(0)
    assert not line.open and len(s.router.copies) == 1


def test_a_held_copy_is_kept_once_verified_and_only_then_answers():
    control = router(**OWN)
    first = sends(control.decide(1_000_000, [lookup(1, key="k")]))[0]
    effects = control.decide(1_000_100, [send_end(first, interface.SATISFIED, copy=(990_000, 5_000))])
    assert interface.HoldCopy(1, 0) in effects and sends(control.decide(1_000_200, [lookup(2, key="k")]))
    assert control.decide(1_002_600, [interface.CopyVerified(1, 0, True)]) == [interface.Keep(1, 0)]
    assert interface.Give(3) in control.decide(1_002_700, [lookup(3, key="k")])
    assert control.decide(1_002_800, [interface.CopyVerified(1, 0, True)]) == []


@pytest.mark.parametrize("whole, purged", [(False, False), (True, True)])
def test_a_held_copy_is_not_kept_where_it_is_cut_off_or_was_purged_meanwhile(whole, purged):
    control = router(**OWN)
    first = sends(control.decide(1_000_000, [lookup(1, key="k")]))[0]
    control.decide(1_000_100, [send_end(first, interface.SATISFIED, copy=(990_000, 5_000))])
    if purged:
        control.decide(1_000_200, [interface.Purged(100, 0, "k")])
    assert control.decide(1_002_600, [interface.CopyVerified(1, 0, whole)]) == []
    assert control.copies.stored.reserved == 0 and not control.copies.held


def test_a_revoked_copy_is_dropped_unless_another_has_replaced_it():
    control = router(**OWN)
    satisfy_and_keep(control, key="k", made=990_000)
    assert control.decide(1_010_000, [interface.CopyRevoked("clip", "k", 0, 980_000)]) == []
    assert control.decide(1_010_000, [interface.CopyRevoked("clip", "k", 0, 990_000)]) == [
        interface.Drop("clip", "k", 0)
    ]
    assert control.copies.stored.bytes == 0


def test_copies_that_wait_to_be_verified_take_an_eighth_of_the_room_at_most():
    control = router(**OWN)
    held = 0
    for number in range(40):
        first = sends(control.decide(1_000_000, [lookup(number, key=f"k{number}")]))[0]
        held += interface.HoldCopy(number, 0) in control.decide(
            1_000_100, [send_end(first, interface.SATISFIED, copy=(990_000, 5_000))]
        )
    assert 1 <= held == len(control.copies.held)
    assert control.copies.stored.reserved <= control.copies.capacity / 8
