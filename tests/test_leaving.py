"""When a request is written to a cache: not after its latest start, nor for a client that is gone; and
responses that arrived in time.
"""

import pytest
from fleet import answer
from test_caches import PLAIN, Scene

from hookrouter import interface


def test_a_repeat_leaves_by_the_moment_that_is_carried_with_it_or_never():
    """The deduplication window was checked at the decision only, but a connect may take 0.4 s more."""
    s = Scene(most=1)
    s.send(start_within=0.05)
    s.net.advance(0.06)
    assert s.ends() == [interface.UNREACHED]
    s.send(start_within=0.05)
    s.net.rightNow += 0.06  # a pause: no timer was called
    wire = s.up()
    s.net.advance(0)
    assert wire.take() == b"" and not wire.open and s.ends() == [interface.UNREACHED] * 2
    s.assert_all_released()


@pytest.mark.parametrize("on", ["a dial", "a descriptor", "an idle connection"])
def test_a_request_is_not_written_where_nobody_waits_for_it_any_more(on):
    s, is_wanted = Scene(most=1), [True]
    if on != "a dial":
        s.send()
        s.up().take()
    if on == "an idle connection":
        s.net.ways[-1].wire.come(answer(200, b"x"))
        is_wanted[0] = False
    s.send(is_wanted=lambda: is_wanted[0])
    is_wanted[0] = False
    if on == "a dial":
        s.up()
    elif on == "a descriptor":
        s.net.ways[-1].wire.come(answer(200, b"x"))
    s.net.advance(0)
    assert s.ends()[-1] == interface.CANCELLED and s.net.ways[-1].wire.take() == b""
    s.assert_all_released()


def test_an_answer_that_lies_unread_at_its_deadline_came_in_time():
    """After a pause of the process timers run before reads: the response counted as late, and another attempt
    started.
    """
    s = Scene()
    s.send()
    s.up().unread = answer(200, b"body")
    s.net.pump([0.9, 0])
    assert s.ends() == [interface.SATISFIED] and s.ended[0].pieces == (b"body",)
    s.send(request=PLAIN._replace(object="0d55"))
    s.net.ways[-1].wire.unread = answer(200, b"body")[:-1]
    s.net.pump([0.9, 0])
    assert s.ends() == [interface.SATISFIED, interface.LATE]
    s.assert_all_released()
