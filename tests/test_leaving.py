"""When requests to caches are written, and which answers are in time."""

import pytest
from fleet import answer
from test_caches import PLAIN, Scene

from hookrouter import interface
from hookrouter.caches.idle import REST_DURATION


def test_a_repeat_is_written_within_its_time_or_never():
    """A repeat must arrive before the cache forgets the first send, and connecting may take 0.4 s."""
    scene = Scene(most=1)
    scene.send(start_within=0.05)
    scene.net.advance(0.06)
    assert scene.ends() == [interface.UNREACHED]
    scene.send(start_within=0.05)
    scene.net.rightNow += 0.06  # the process paused: no timer was called
    wire = scene.up()
    scene.net.advance(0)
    assert wire.take() == b"" and not wire.open and scene.ends() == [interface.UNREACHED] * 2
    scene.assert_all_released()


@pytest.mark.parametrize("stage", ["a dial", "a descriptor", "an idle connection"])
def test_a_request_is_not_written_once_its_client_has_stopped_waiting(stage):
    scene, wanted = Scene(most=1), [True]
    if stage != "a dial":
        scene.send()
        scene.up().take()
    if stage == "an idle connection":
        scene.net.ways[-1].wire.come(answer(200, b"x"))
        scene.net.advance(REST_DURATION)
        wanted[0] = False
    scene.send(is_wanted=lambda: wanted[0])
    wanted[0] = False
    if stage == "a dial":
        scene.up()
    elif stage == "a descriptor":
        scene.net.ways[-1].wire.come(answer(200, b"x"))
        scene.net.advance(0)
        scene.up()
    scene.net.advance(0)
    assert scene.ends()[-1] == interface.CANCELLED and scene.net.ways[-1].wire.take() == b""
    scene.assert_all_released()


def test_an_answer_still_unread_at_its_deadline_counts_as_in_time():
    """After a pause of the process timers run before reads: such an answer counted as late and was repeated."""
    scene = Scene()
    scene.send()
    scene.up().unread = answer(200, b"body")
    scene.net.pump([0.9, 0])
    assert scene.ends() == [interface.SATISFIED] and scene.ended[0].pieces == (b"body",)
    scene.net.advance(REST_DURATION)
    scene.send(request=PLAIN._replace(object="0d55"))
    scene.net.ways[-1].wire.unread = answer(200, b"body")[:-1]
    scene.net.pump([0.9, 0])
    assert scene.ends() == [interface.SATISFIED, interface.LATE]
    scene.assert_all_released()


@pytest.mark.parametrize("wait", ["a dial", "a descriptor"])
def test_the_time_passed_on_is_what_is_left_when_the_request_is_written(wait):
    """It was fixed when the send was decided, so a send that waited passed on time that was gone."""
    scene = Scene(most=1)
    if wait == "a descriptor":
        scene.send()
        scene.up().take()
    scene.send(request=PLAIN._replace(timeout=8_000))
    scene.net.advance(0.3)
    if wait == "a descriptor":
        scene.net.ways[-1].wire.come(answer(200, b"x"))
        scene.net.advance(0)
    wire = scene.up()
    assert 499 <= int(wire.take().split(b"X-Patience: ")[1].split(b"\r\n")[0]) <= 500
