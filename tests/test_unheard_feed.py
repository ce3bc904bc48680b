"""Purges that the feed could not tell: own copies from before them do not answer once they count as told."""

import json

import pytest
from fleet import MS, SECOND, answer, answers, lookup, message, router, sends
from scenes import START_TIME, Scene
from test_own_copies import OWN, answered_from_copy, ask, satisfy_and_keep

from hookrouter import interface
from hookrouter.caches.response_tail import SILENCE_DURATION
from hookrouter.control.purges import NOTIFICATION_LIMIT

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
COMMENT = b": still here\n\n"
LIMIT = NOTIFICATION_LIMIT + 500 * MS  # with the grace for purges of these settings
NOW = 1_000_000


def heard_router(**more):
    control = router(**OWN, **more)
    control.decide(NOW, [interface.FeedHeard(0)])
    satisfy_and_keep(control, key="k", made=NOW - 60 * SECOND)
    return control


# Guards against own copies that answer past a purge which the feed could not tell in an outage (review/8).
@pytest.mark.parametrize("outage", [8 * SECOND, 14 * SECOND, 600 * SECOND])
def test_an_old_copy_does_not_answer_once_a_purge_counts_as_told(outage):
    control = heard_router()
    assert answered_from_copy(ask(control, NOW + LIMIT, 2, key="k"))
    for number, later in enumerate((LIMIT + 1, outage), 3):
        assert sends(ask(control, NOW + later, number, key="k"))
    effects = control.decide(NOW + outage, [interface.FeedHeard(0)])
    assert effects == [interface.Log("feed is heard again, own copies of any age are given")]
    assert answered_from_copy(ask(control, NOW + outage, 9, key="k"))  # it was not purged


def test_a_copy_that_is_younger_than_any_purge_that_counts_as_told_answers():
    control = heard_router()
    later = NOW + 60 * SECOND
    satisfy_and_keep(control, later, made=later - LIMIT, key="k2")
    assert answered_from_copy(ask(control, later, 8, key="k2"))
    assert sends(ask(control, later + 1, 9, key="k2"))


def test_a_copy_of_last_resort_is_bound_too():
    control = heard_router()
    control.decide(NOW + 1, [interface.CacheList(interface.WHOLE, ())])
    assert answered_from_copy(ask(control, NOW + LIMIT, 2, key="k"))
    assert isinstance(ask(control, NOW + LIMIT + 1, 3, key="k")[-1], interface.Nack)


@pytest.mark.parametrize(
    "age, answers_from_copy", [(0, True), (8 * SECOND, False), (interface.NEVER_HEARD, False)]
)
def test_news_that_may_have_lain_unread_count_from_when_they_may_have_come(age, answers_from_copy):
    control = router(**OWN)
    control.decide(NOW, [interface.FeedHeard(interface.NEVER_HEARD)])
    satisfy_and_keep(control, key="k", made=NOW - 60 * SECOND)
    control.decide(NOW + SECOND, [interface.FeedHeard(age)])
    assert answered_from_copy(ask(control, NOW + SECOND, 2, key="k")) == answers_from_copy


def test_caches_that_apply_purges_later_than_they_count_as_told_are_asked_for_younger_copies():
    control = heard_router(purge_duration=60 * SECOND)
    assert sends(control.decide(NOW + LIMIT, [lookup(2, due=NOW + 20 * SECOND)]))[0].max_age == 0
    assert sends(control.decide(NOW + LIMIT + 1, [lookup(3, due=NOW + 20 * SECOND)]))[0].max_age == LIMIT
    control = heard_router()  # these apply them in 6 s
    assert sends(control.decide(NOW + LIMIT + 1, [lookup(3, due=NOW + 20 * SECOND)]))[0].max_age == 0


# Guards against a copy that answers past a purge in an event that was spoilt or left out.
def test_events_that_were_missed_drop_all_copies_and_keep_older_ones_out_until_they_are_applied():
    control = heard_router()
    assert control.decide(NOW + 200, [interface.EventsMissed()]) == [interface.Drop("clip", "k", 0)]
    assert control.copies.stored.bytes == 0
    kept = satisfy_and_keep(control, NOW + 300, made=NOW - 60 * SECOND, key="k")
    assert not any(isinstance(effect, interface.Keep) for effect in kept)
    control.decide(NOW + 30 * SECOND, [interface.FeedHeard(0)])
    kept = satisfy_and_keep(control, NOW + 30 * SECOND, made=NOW - 60 * SECOND, key="k2")
    assert any(isinstance(effect, interface.Keep) for effect in kept)


def feed_line(scene):
    """The newest connection to the feed, accepted."""
    way = [way for way in scene.net.ways if way.port == 9092][-1]
    return way.wire or way.up()


def ask_with_copy(tmp_path):
    """A scene with a stored copy, its client and the feed's connection, which has told all."""
    s = Scene(tmp_path)
    s.net.advance(60)
    s.router.feed.start()
    feed, client = feed_line(s), s.client()
    feed.come(HEAD + COMMENT)
    client.come(message(1))
    line = next(way for way in reversed(s.net.ways) if way.port != 9092).up()
    line.come(answer(200, b"body", b"X-Since-Ms: %d" % ((START_TIME + 60) * 1000)))
    s.net.advance(SILENCE_DURATION)
    feed.come(COMMENT)
    return s, client, feed


def is_given(s, client, seqid):
    """Whether a new lookup of the object is answered from the router's copy."""
    given = s.counters.values["copies_given"]
    client.come(message(seqid))
    return s.counters.values["copies_given"] > given and seqid in answers(client.take())


def advance(s, seconds):
    for _ in range(round(seconds * 10)):
        s.net.advance(0.1)


def test_comments_of_the_feed_keep_copies_in_use_and_its_end_does_not(tmp_path):
    s, client, feed = ask_with_copy(tmp_path)
    assert is_given(s, client, 2)
    feed.abortConnection()
    advance(s, 7.4)
    assert is_given(s, s.client(), 3)  # 7 s until a purge counts as told, and the grace of 500 ms
    s.net.advance(0.2)  # it is fresh for 8 s
    assert not is_given(s, s.client(), 4) and "feed is not heard" in s.out.text


def test_a_first_comment_comes_before_what_was_missed_and_says_nothing(tmp_path):
    s, _, feed = ask_with_copy(tmp_path)
    control = s.router.control
    feed.abortConnection()
    advance(s, 1)
    heard_at = control.purges.heard_at
    feed = feed_line(s)
    feed.come(HEAD + COMMENT)
    assert control.purges.heard_at == heard_at
    purge = {"n": 2, "purge": {"key": "7f3a9c21e0b4d655", "at": int((START_TIME + 60.5) * 1000)}}
    feed.come(b"id: 2\ndata: %s\n\n" % json.dumps(purge).encode())
    assert not s.router.copies and control.purges.heard_at == heard_at
    feed.come(COMMENT)
    assert control.purges.heard_at > heard_at


@pytest.mark.parametrize("event", [b'{"n": 2, "purge": {}}', b'{"n": 5, "purge": {"key": "aa", "at": 1}}'])
def test_an_event_that_cannot_be_read_or_comes_after_a_gap_drops_all_copies(tmp_path, event):
    s, client, feed = ask_with_copy(tmp_path)
    feed.come(b"id: 2\ndata: " + event + b"\n\n")
    assert not s.router.copies and not is_given(s, client, 2)


def test_a_comment_that_lay_unread_counts_from_when_it_may_have_come(tmp_path):
    s, _, feed = ask_with_copy(tmp_path)
    s.router.front.polls = type(
        "Polls", (), {"age": lambda self: 5.0, "busy": lambda self: 0.0, "count": 0}
    )()
    heard_at = s.router.control.purges.heard_at
    s.net.advance(1)
    feed.come(COMMENT)
    assert s.router.control.purges.heard_at == heard_at
