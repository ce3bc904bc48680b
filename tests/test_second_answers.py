"""Caches whose answers come twice: no request ends with the answer to another one, and no copy is kept of it."""

from random import Random

import pytest
from fleet import answer
from purging import SECOND
from test_caches import PLAIN, Scene
from test_purge_network import Scene as RouterScene

from hookrouter import interface

STATUSES = (200, 200, 404, 500, 503, 504)
PURGE_PORT = 9100  # of the desk that a router follows
MAX_LATENESS = 0.019  # seconds: what "some milliseconds" may be, at most


class DoublingCaches:
    """Answers each request with its own target, under any status, and half of them once more."""

    def __init__(self, scene, dice, statuses=STATUSES, fields=()):
        self.scene, self.dice, self.statuses, self.fields = scene, dice, statuses, fields
        self.doubled = 0

    def answer_all(self):
        for way in (way for way in self.scene.net.ways if way.port != PURGE_PORT):
            wire = way.up() if not way.over else way.wire
            written = wire.take() if wire is not None and wire.open else b""
            if written:
                self.scene.net.callLater(
                    self.dice.uniform(0, 0.01), self.answer, wire, written.split(b" ")[1]
                )

    def answer(self, wire, target):
        status, is_read = self.dice.choice(self.statuses), self.dice.random() < 0.9
        body = target if status in (200, 500) else b""
        revision = (b"X-Rev: " + target.replace(b"/", b""),) if self.dice.random() < 0.8 else ()
        data = answer(status, body, *revision, *self.fields) if is_read else b"HTTP/9.9 what\r\n\r\n"
        wire.come(data)
        if self.dice.random() < 0.5:
            self.doubled += 1
            self.scene.net.callLater(self.dice.uniform(0, MAX_LATENESS), wire.come, data)


# Guards against an answer that comes once more and is taken for the answer to the next request of its connection.
@pytest.mark.parametrize("most", [3, 8])
@pytest.mark.parametrize("seed", range(4))
def test_each_send_ends_with_an_answer_to_its_own_request(seed, most):
    scene, dice = Scene(most=most), Random(seed)
    caches, bodies = DoublingCaches(scene, dice), []

    def note(_, send, name):
        if send.result.outcome == interface.SATISFIED:
            bodies.append((name.encode(), b"".join(send.result.pieces).split(b"/")[3]))

    for number in range(1_500):
        request = PLAIN._replace(object=f"{number:04x}", not_repeatable=dice.random() < 0.2)
        send = scene.send(f"c{dice.randrange(3)}", request)
        send.deferred.addCallback(note, send, request.object)
        for _ in range(dice.choice((0, 1, 1, 4))):
            scene.net.advance(dice.uniform(0, 0.02))
            caches.answer_all()
    for _ in range(200):
        scene.net.advance(0.01)
        caches.answer_all()
    assert [pair for pair in bodies if pair[0] != pair[1]] == []
    assert len(scene.ended) == 1_500 and len(bodies) > 300 and caches.doubled > 300
    scene.net.pump([20, 0, 0])
    scene.assert_all_released()


# Guards against a copy of the router's own with the bytes of another object, by a second answer of any status.
@pytest.mark.parametrize("status", [200, 404, 500, 503, 504])
def test_no_client_gets_and_no_copy_keeps_another_objects_bytes(tmp_path, status):
    scene, dice = RouterScene(tmp_path), Random(status)
    scene.lease(60 * SECOND)
    made = b"X-Since-Ms: %d" % int(scene.wall() * 1_000)
    caches = DoublingCaches(scene, dice, (200, 200, status), (made,))
    names = [f"ab{number:014x}" for number in range(90)]
    asked = {}
    for _ in range(600):
        name = dice.choice(names)
        asked[scene.ask(lookup=name)] = name.encode()
        for _ in range(dice.choice((0, 1, 3))):
            scene.net.advance(dice.uniform(0, 0.01))
            caches.answer_all()
    for _ in range(100):
        scene.net.advance(0.01)
        caches.answer_all()
    got = {number: scene.clients[number - 1].value() for number in asked}
    for number, name in asked.items():
        assert not [other for other in names if other.encode() != name and other.encode() in got[number]]
    assert sum(name in got[number] for number, name in asked.items()) > 100
    assert scene.counters.values["copies_given"] > 20 and caches.doubled > 20
