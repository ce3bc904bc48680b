"""Second answers that the peer's system holds back: no request ends with the answer to another one.

A small write behind an earlier one waits at a peer without TCP_NODELAY until the earlier one is acknowledged,
and the acknowledgement may wait for the next request on that connection.
"""

import socket
import threading
import time
from random import Random

import pytest
from fleet import answer, message
from processes import Cache, ask, running_router
from test_caches import PLAIN, Scene

from hookrouter import interface
from hookrouter.caches.idle import REST_DURATION
from hookrouter.caches.response_tail import SILENCE_DURATION

DECLINED = answer(503, b"", b"X-Declined: 1")
REPEATED_ANSWER = 6  # each such answer on a connection comes twice: until then acknowledgements come at once
CALLS = 80


class RepeatingCache(Cache):
    """Answers each request with its path, and some answers twice, without TCP_NODELAY."""

    count = 0

    def answer(self, target):
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        data = answer(200, target)
        self.request.sendall(data)
        self.count += 1
        if self.count % REPEATED_ANSWER == 0:
            self.request.sendall(data)


def ask_in_turn(port, kind, dice, wrong):
    """Makes calls for changing objects; each after a pause in which a held-back answer would still wait."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        for seqid in range(1, CALLS + 1):
            name = f"{dice.getrandbits(64):016x}"
            fields = {"service": kind, "lookup": name, "ref": f"{dice.getrandbits(64):016x}"}
            if kind == "hold":
                fields["replay"] = f"{dice.getrandbits(128):032x}"
            [(_, struct)] = ask(connection, message(seqid, allow="3000", **fields), 1).values()
            body = struct.get(0, {}).get(1, b"")
            if name.encode() not in body:
                wrong.append((name, struct))
            time.sleep(dice.uniform(REST_DURATION, 2 * REST_DURATION))


# Guards against a second answer that comes with the acknowledgement in the next request (review/6).
@pytest.mark.parametrize("kind", ["hold", "clip"])
def test_a_second_answer_that_the_system_holds_back_is_given_to_nobody(tmp_path, kind):
    wrong = []
    with running_router(tmp_path, cache=RepeatingCache) as (_, port):
        clients = [
            threading.Thread(target=ask_in_turn, args=(port, kind, Random(seed), wrong)) for seed in range(2)
        ]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
    assert wrong == []


def rested(said, seconds, first_answer):
    """A scene whose connection has had two answers, the second so many seconds ago."""
    s = Scene()
    s.send()
    line = s.up()
    line.come(first_answer)
    s.net.advance(SILENCE_DURATION)
    s.send()
    line.come(said)
    line.take()
    s.net.advance(seconds)
    return s, line


# Guards against an effect that is said never to have run, or to be done, by the answer to an earlier request.
@pytest.mark.parametrize("said", [DECLINED, answer(404), answer(500), answer(200, b"done")])
def test_what_must_not_be_repeated_takes_a_connection_only_after_a_long_silence(said):
    s, line = rested(said, SILENCE_DURATION - 0.01, first_answer=answer(200, b"x"))
    s.send(request=PLAIN._replace(object="ab", not_repeatable=True))
    assert line.take() == b"" and len(s.net.ways) == 2  # it waits, and a new one is dialled
    line.come(said)
    s.net.advance(0)
    assert not line.open and len(s.ended) == 2
    second = s.up()
    assert second.take().startswith(b"GET") and s.noted.counted.count("caches_unasked") == 1


def test_a_connection_on_which_nothing_was_asked_may_take_what_must_not_be_repeated():
    s, line = rested(answer(200, b"x"), 0, first_answer=answer(404))
    s.send(request=PLAIN._replace(object="ab"))
    spare = s.up()  # dialled beside it: takes the request, as it is up before the other has rested
    assert spare.take().startswith(b"GET")
    s.net.advance(REST_DURATION)
    s.send(request=PLAIN._replace(object="cd", not_repeatable=True))
    third = s.up()
    assert line.take() == b"" and third.take().startswith(b"GET")


def test_what_must_not_be_repeated_takes_a_silent_connection_before_a_new_one():
    s, line = rested(answer(200, b"x"), SILENCE_DURATION, first_answer=answer(404))
    s.send(request=PLAIN._replace(object="ab", not_repeatable=True))
    assert line.take().startswith(b"GET") and len(s.net.ways) == 1


# Guards against a second answer without a revision: that of the request comes after it, and passes for the next one's.
@pytest.mark.parametrize("said", [DECLINED, answer(404), answer(500), answer(200, b"done")])
def test_a_connection_whose_answer_may_be_the_one_before_once_more_rests_until_all_has_come(said):
    s, line = rested(said, 2 * REST_DURATION, first_answer=said)
    s.send(request=PLAIN._replace(object="ab"))
    assert line.take() == b""
    line.come(answer(200, b"of the second request"))
    s.net.advance(0)
    assert not line.open and len(s.ended) == 2 and s.up().take().startswith(b"GET")


def test_other_answers_let_a_connection_rest_as_long_as_before():
    for said in (answer(404, b"", b"X-Stats: 7"), answer(200, b"x", b"X-Rev: 1", b"X-Since-Ms: 1")):
        s, line = rested(said, REST_DURATION, first_answer=answer(404))
        s.send(request=PLAIN._replace(object="ab"))
        assert line.take().startswith(b"GET")


# Guards against sends that wait for a silent connection while all descriptors are taken.
def test_without_a_descriptor_left_a_connection_is_closed_for_what_must_not_be_repeated():
    s = Scene(most=1)
    s.send()
    line = s.up()
    line.come(answer(200, b"x"))
    s.net.advance(2 * REST_DURATION)
    s.send(request=PLAIN._replace(object="ab", not_repeatable=True))
    s.net.advance(0)
    assert not line.open and s.up().take().startswith(b"GET")
    assert s.ends() == [interface.SATISFIED]
