"""When requests to caches are written, and which answers are in time."""

import pytest
from fleet import answer
from test_caches import PLAIN, Scene

from hookrouter import interface


def test_a_repeat_is_written_within_its_time_or_never():
    """A repeat must arrive before the cache forgets the first send, and connecting may take 0.4 s."""
    s = Scene(most=1)
    s.send(leave=0.05)
    s.net.advance(0.06)
    assert s.ends() == [interface.UNREACHED]
    s.send(leave=0.05)
    s.net.rightNow += 0.06  # the process paused: no timer was called
    wire = s.up()
    s.net.advance(0)
    assert wire.take() == b"" and not wire.open and s.ends() == [interface.UNREACHED] * 2
    s.nothing_is_left()


@pytest.mark.parametrize("on", ["a dial", "a descriptor", "an idle connection"])
def test_a_request_is_not_written_once_its_client_has_stopped_waiting(on):
    s, wanted = Scene(most=1), [True]
    if on != "a dial":
        s.send()
        s.up().take()
    if on == "an idle connection":
        s.net.ways[-1].wire.come(answer(200, b"x"))
        wanted[0] = False
    s.send(wanted=lambda: wanted[0])
    wanted[0] = False
    if on == "a dial":
        s.up()
    elif on == "a descriptor":
        s.net.ways[-1].wire.come(answer(200, b"x"))
    s.net.advance(0)
    assert s.ends()[-1] == interface.CANCELLED and s.net.ways[-1].wire.take() == b""
    s.nothing_is_left()


def test_an_answer_still_unread_at_its_deadline_counts_as_in_time():
    """After a pause of the process timers run before reads: such an answer counted as late and was repeated."""
    s = Scene()
    s.send()
    s.up().unread = answer(200, b"body")
    s.net.pump([0.9, 0])
    assert s.ends() == [interface.SATISFIED] and s.ended[0].pieces == (b"body",)
    s.send(errand=PLAIN._replace(object="0d55"))
    s.net.ways[-1].wire.unread = answer(200, b"body")[:-1]
    s.net.pump([0.9, 0])
    assert s.ends() == [interface.SATISFIED, interface.LATE]
    s.nothing_is_left()
