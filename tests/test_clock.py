"""The clock of a process across steps of the wall clock, and where the program still reads the wall clock."""

import ast
from pathlib import Path

import pytest
from fleet import answer, answers, cache, message
from scenes import START_TIME, Scene

from hookrouter import interface
from hookrouter.clock import MAX_OFFSETS, PollWatch, ProcessClock
from hookrouter.feed.events import CacheListEvent, PurgeEvent
from hookrouter.node.unix_times import UnixTimes
from hookrouter.terms import SECOND

PACKAGE = Path(__file__).resolve().parent.parent / "hookrouter"
HOUR = 3600 * SECOND
WALL_READERS = {"clock.py"}  # each reading and its reason is listed in docs/design.md
WALL_NAMES = {("time", "time"), ("time", "time_ns"), ("time", "CLOCK_REALTIME"), ("datetime", "datetime")}
WALL_ATTRIBUTES = {"time", "time_ns", "CLOCK_REALTIME"}
WALL_DEFAULTS = {"gmtime", "localtime", "ctime"}  # without an argument they read it


class Clocks:
    """A wall clock that a test steps, and a monotonic one; in seconds."""

    def __init__(self):
        self.monotonic, self.step = 50.0, 0.0
        self.clock = ProcessClock(lambda: START_TIME + self.monotonic + self.step, lambda: self.monotonic)
        self.times = UnixTimes(self.clock)

    def unix_now(self):
        return int(self.clock.wall() * SECOND)


@pytest.mark.parametrize("step", [-3600, -2, 2, 3600])
def test_a_step_of_the_wall_clock_changes_no_span(step):
    clocks = Clocks()
    began = clocks.clock.now()
    clocks.step = step
    clocks.monotonic += 7
    assert clocks.clock.now() - began == 7 * SECOND


def test_without_a_step_a_unix_time_means_itself():
    clocks = Clocks()
    stated = clocks.unix_now() - 5 * SECOND
    assert clocks.clock.earliest(stated) == clocks.clock.latest(stated) == stated


@pytest.mark.parametrize("step", [-3600, -2, 2, 3600])
@pytest.mark.parametrize("stated_by", ["a machine that was stepped", "another"])
def test_after_a_step_the_true_time_lies_between_the_earliest_and_the_latest(step, stated_by):
    clocks = Clocks()
    clocks.step = step
    clocks.monotonic += 10
    true_time = clocks.clock.now() - 3 * SECOND
    stated = true_time + (step * SECOND if stated_by != "another" else 0)
    assert clocks.clock.earliest(stated) <= true_time <= clocks.clock.latest(stated)
    assert true_time in (clocks.clock.earliest(stated), clocks.clock.latest(stated))


def test_the_offsets_that_are_remembered_have_a_bound_and_keep_the_extremes():
    clocks, steps = Clocks(), [float(number) for number in range(-20, 21)]
    for clocks.step in steps:
        clocks.clock.latest(0)
        assert len(clocks.clock.offsets) <= MAX_OFFSETS
    assert clocks.clock.earliest(0) == -20 * SECOND and clocks.clock.latest(0) == 20 * SECOND


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_cache_that_just_started_is_not_taken_for_warm_and_a_repeated_start_keeps_its_meaning(step):
    clocks = Clocks()
    before = cache("c0", born=clocks.unix_now() - 5 * SECOND)
    first = clocks.times.cache(before)
    clocks.step = step
    assert clocks.times.cache(before) == first  # listed again after a reconnect
    started = clocks.clock.now()
    after = clocks.times.cache(cache("c1", born=clocks.unix_now()))
    assert started <= after.born <= max(clocks.clock.now(), clocks.unix_now())
    gone = clocks.times.cache(before._replace(phase=interface.GONE))
    assert gone.phase == interface.GONE and "c0" not in clocks.times.starts


@pytest.mark.parametrize("step", [-3600, 3600])
def test_a_purge_after_a_step_drops_the_copies_from_before_it(tmp_path, step):
    s = Scene(tmp_path)
    offset = [0.0]
    s.router.clock.wall = lambda: START_TIME + s.net.seconds() + offset[0]
    wire = s.client()
    wire.come(message(1))
    issued = int((START_TIME + s.net.seconds()) * 1000)
    s.up().come(answer(200, b"x", b"X-Rev: a", b"X-Since-Ms: %d" % issued))
    assert answers(wire.take())[1][1].keys() == {0}
    s.net.advance(2)
    assert len(s.router.copies) == 1
    offset[0] = step
    s.net.advance(1)
    purged_at = int((START_TIME + s.net.seconds() + step) * SECOND)
    s.router.on_purge(PurgeEvent(2, purged_at, 17, None))
    assert len(s.router.copies) == 0


def test_a_list_event_keeps_its_other_fields(tmp_path):
    s = Scene(tmp_path)
    row = cache("c0", born=int(START_TIME * SECOND))
    s.router.on_cache_list(CacheListEvent(2, False, (row,), (("127.0.0.1", 7100),)))
    assert s.router.unix_times.starts["c0"] == (row.born, row.born)


def wall_readings(path):
    """Lines of a module that read, or import what reads, the wall clock."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and any(
            (node.module, alias.name) in WALL_NAMES for alias in node.names
        ):
            yield node.lineno
        elif isinstance(node, ast.Import) and any(alias.name == "datetime" for alias in node.names):
            yield node.lineno
        elif isinstance(node, ast.Attribute) and is_time(node) and node.attr in WALL_ATTRIBUTES:
            yield node.lineno
        elif isinstance(node, ast.Call) and not node.args and isinstance(node.func, ast.Attribute):
            if is_time(node.func) and node.func.attr in WALL_DEFAULTS:
                yield node.lineno


def is_time(node):
    """Whether this is an attribute of the module time."""
    return isinstance(node.value, ast.Name) and node.value.id == "time"


def reactor_imports(path):
    """Lines of a module that import the reactor itself, whose timers follow the wall clock by default."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "twisted.internet":
            if any(alias.name == "reactor" for alias in node.names):
                yield node.lineno


@pytest.mark.parametrize("find", [wall_readings, reactor_imports])
def test_one_module_decides_which_clock_a_process_has(find):
    found = {
        f"{path.relative_to(PACKAGE)}:{line}"
        for path in PACKAGE.rglob("*.py")
        if str(path.relative_to(PACKAGE)) not in WALL_READERS
        for line in find(path)
    }
    assert found == set()


class Epoll:
    """An epoll whose waits take a given time."""

    def __init__(self):
        self.now, self.wait, self.events = 100.0, 0.0, [(3, 1)]

    def poll(self, timeout, most):
        self.now += self.wait
        return self.events


def test_input_may_have_arrived_since_the_wait_before_unless_this_wait_was_woken_by_it():
    epoll = Epoll()
    watch = PollWatch(epoll, lambda: epoll.now)
    epoll.wait = 0.05
    watch.poll(0.1, 1)
    assert watch.age() == 0  # woken by it
    epoll.now += 0.4  # busy, or stopped, outside of the wait
    epoll.wait = 0.0
    watch.poll(0.1, 1)
    assert watch.age() == pytest.approx(0.4)
    epoll.wait = 0.6  # stopped within the wait
    watch.poll(0.1, 1)
    assert watch.age() == pytest.approx(0.6)
    watch.poll(-1, 1)
    assert watch.age() == 0  # it was to wait without end


def test_a_wait_that_a_stop_interrupted_checked_nothing_at_its_end():
    epoll = Epoll()
    watch = PollWatch(epoll, lambda: epoll.now)
    epoll.wait, epoll.events = 0.5, []
    watch.poll(0.1, 1)
    epoll.wait, epoll.events = 0.0, [(3, 1)]
    watch.poll(0.1, 1)
    assert watch.age() == pytest.approx(0.5)
    watch.poll(0.1, 1)
    assert watch.age() == 0


def test_a_call_that_lay_unread_has_so_much_less_time_left(tmp_path):
    s = Scene(tmp_path)
    wire = s.client()
    wire.come(message(9, b"check"))
    s.router.front.polls = Polls(0.5)
    wire.take()
    wire.come(message(11, allow="1500"))
    cache_wire = s.up()
    assert 990 <= int(cache_wire.take().split(b"X-Patience: ")[1].split(b"\r\n")[0]) <= 1000
    wire.come(message(12, allow="400"))
    assert answers(wire.take()).keys() == {12}  # its time was over


class Polls:
    """A PollWatch in the state of a test."""

    def __init__(self, age, count=1):
        self.count, self.age = count, lambda: age


def test_a_call_on_a_new_connection_may_have_come_before_it_was_accepted(tmp_path):
    s = Scene(tmp_path)
    s.router.front.polls = Polls(0.4)
    wire, silent = s.client(), s.client()
    s.router.front.polls = Polls(0.0, count=2)
    s.net.rightNow += 0.1
    wire.come(message(1, allow="1500"))
    assert 990 <= int(s.up().take().split(b"X-Patience: ")[1].split(b"\r\n")[0]) <= 1000
    s.router.front.polls = Polls(0.0, count=3)
    silent.come(message(2, allow="1500", part="9"))  # the wait before would have found it
    assert 1490 <= int(s.up().take().split(b"X-Patience: ")[1].split(b"\r\n")[0]) <= 1500
