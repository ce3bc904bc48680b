"""What ends, by what may arrive at that moment: each cell names tests, or says why the two cannot meet.

For the feed ("watch"), the byte, end and reset of a cache are the feed's.
"""

import re
from pathlib import Path

import pytest

COLUMNS = (
    "client's request",
    "client's interrupt",
    "client's FIN",
    "client's reset",
    "cache's byte",
    "cache's end",
    "cache's reset",
    "list change",
    "signal",
    "deadline",
)

LIE_UNREAD = "test_a_call_and_its_end_that_both_lie_unread_begin_no_attempt"
OVER = "test_what_is_over_before_the_clients_end_is_read_begins_no_further_attempt"
DIAL = "test_a_dial_that_comes_up_before_the_clients_end_is_read_gets_no_request"
FREE = "test_a_connection_that_gets_free_before_the_clients_end_is_read_gets_no_request"
WITHDRAWN = "test_an_attempt_that_waits_is_withdrawn_with_its_client_also_where_none_may_be_cancelled"
NOT_READING = "test_the_end_of_a_client_that_does_not_read_its_answers_is_seen_at_once"
MANY = "test_many_calls_and_the_end_in_one_go_leave_nothing"
ONE_MOMENT = "test_a_clients_end_and_its_caches_word_in_one_moment_leave_nothing"
CROSS = "test_bytes_that_cross_the_end_of_a_resting_connection_reset_nothing"
BOTH_END = "test_a_clients_end_that_crosses_the_routers_leaves_nothing"
WHOLE = "test_an_answer_in_the_buffers_is_whole_before_the_end"
LINGERS = "test_a_connection_that_lingers_is_counted_until_its_close_which_comes_within_a_second"
GIVEN_UP = "test_what_comes_for_an_attempt_that_is_given_up_reaches_no_other_call"
CUT = "test_an_answer_cut_short_goes_to_nobody_and_the_further_ones_does"
TWO = "test_of_two_answers_at_once_the_second_reaches_nobody"
IDLE = "test_an_idle_connection_that_ended_long_after_costs_no_attempt"
LIST = "test_a_list_that_comes_while_an_attempt_is_out_or_waits_for_its_dial"
LATE_DIAL = "test_a_repeat_whose_dial_comes_up_past_its_window_is_never_written"
LATE_FREE = "test_a_repeat_that_gets_a_descriptor_past_its_window_is_never_written"
ENDLESS = "test_an_answer_that_never_ends_is_over_with_its_attempt"
OLD_WATCH = "test_what_is_late_of_an_old_watch_takes_nothing_from_the_new_one"
HALF_EVENT = "test_half_an_event_is_told_once_it_came_whole"
MOVED = "test_a_reload_that_moves_the_feed_while_a_dial_is_out"
RETURNS = "test_a_feed_that_returns_is_followed_soon_also_where_idle_clients_hold_all_descriptors"
THE_END = "test_what_the_end_crosses_is_answered_and_the_process_ends_once"
GOES = "test_a_client_that_goes_after_sigterm_does_not_hold_the_exit_up"
WAKES = "test_signals_and_bytes_that_came_in_a_pause_end_a_process_that_answers_all"

NO_CACHE = "Cannot: a client's connection without a call has no attempt, and with one the call's cells hold."
NO_CLIENT = "Cannot: the watch holds nothing of a client's, and its descriptor is set aside from theirs."

TABLE = {  # in the order of the columns
    "client connection": (
        CROSS,
        CROSS,
        (BOTH_END, NOT_READING),
        (BOTH_END, MANY),
        NO_CACHE,
        NO_CACHE,
        NO_CACHE,
        "Cannot: a list names caches, and no connection of a client belongs to one.",
        (CROSS, WHOLE),
        (LINGERS, "test_an_end_that_waits_for_its_client_to_read_has_a_deadline"),
    ),
    "call": (
        "test_the_id_of_an_open_lookup_is_refused_and_the_first_goes_on",
        (LIE_UNREAD, NOT_READING, "test_no_answer_after_an_interrupt"),
        (LIE_UNREAD, NOT_READING, MANY),
        (LIE_UNREAD, MANY),
        ONE_MOMENT,
        ONE_MOMENT,
        ONE_MOMENT,
        LIST,
        THE_END,
        "test_a_silent_fleet_gets_every_lookup_its_answer_in_time",
    ),
    "attempt": (
        GIVEN_UP,
        (OVER, DIAL, FREE, WITHDRAWN),
        (OVER, DIAL, FREE, WITHDRAWN),
        (OVER, DIAL, FREE, WITHDRAWN),
        GIVEN_UP,
        CUT,
        CUT,
        LIST,
        THE_END,
        (LATE_DIAL, LATE_FREE, ENDLESS),
    ),
    "upstream connection": (
        IDLE,
        FREE,
        FREE,
        FREE,
        (TWO, IDLE),
        IDLE,
        (IDLE, FREE),
        LIST,
        THE_END,
        "test_a_connection_is_used_again_one_request_at_a_time_until_idle_too_long",
    ),
    "watch": (
        RETURNS,
        NO_CLIENT,
        NO_CLIENT,
        NO_CLIENT,
        OLD_WATCH,
        (OLD_WATCH, HALF_EVENT),
        HALF_EVENT,
        HALF_EVENT,
        MOVED,
        (
            OLD_WATCH,
            HALF_EVENT,
            "test_a_watch_that_falls_silent_is_followed_anew_before_its_news_count_as_told",
        ),
    ),
    "process": (
        (WAKES, THE_END),
        GOES,
        (GOES, WAKES),
        GOES,
        THE_END,
        THE_END,
        THE_END,
        THE_END,
        (WAKES, THE_END),
        ("test_at_the_end_a_client_that_reads_nothing_is_cut_off_in_time", LINGERS),
    ),
}


def defined():
    return {
        name
        for path in Path(__file__).parent.glob("test_*.py")
        for name in re.findall(r"^def (test_\w+)\(", path.read_text(), re.MULTILINE)
    }


@pytest.mark.parametrize("row", TABLE)
def test_each_cell_names_tests_that_exist_or_says_why_nothing_can_cross(row):
    cells, names = TABLE[row], defined()
    assert len(cells) == len(COLUMNS)
    for column, cell in zip(COLUMNS, cells):
        for one in (cell,) if isinstance(cell, str) else cell:
            assert one in names or one.startswith("Cannot: "), (row, column)


def test_every_test_of_a_crossing_has_its_cell():
    told = {
        one
        for cells in TABLE.values()
        for cell in cells
        for one in ((cell,) if isinstance(cell, str) else cell)
    }
    here = {
        name
        for path in Path(__file__).parent.glob("test_crossings_[clw]*.py")
        for name in re.findall(r"^def (test_\w+)\(", path.read_text(), re.MULTILINE)
    }
    assert here - told == {
        "test_what_is_over_begins_a_further_attempt_where_the_client_waits",  # shows that OVER shows something
        "test_connections_that_linger_hold_no_more_descriptors_than_clients_may",
    }  # nothing crosses
