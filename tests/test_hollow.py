"""Hollow routers beside a real one and three keepers: membership, purges, counts, a kill, bad files."""

import json
import re
import subprocess
import sys
import time

import pytest

from standins.crowd import Crowd
from standins.crowd.layout import Layout
from standins.hollow import ConfigurationRefused, HollowProcess
from standins.hollow.configuration import read_configuration, read_sections
from standins.hollow.meters import FrameMeter, HttpMeter
from standins.hollow.process import read_reports
from standins.hollow.report import Flow
from standins.hollow.synthetic_state import SyntheticState
from standins.rig import ROOT

HOLLOW = 12
EVERY = 0.25  # seconds between reports
NOTICED = re.compile(r"members? suspect: (member=h|count=)")
KINDS = ("view", "purge_feed", "keeper_stream", "sharing")


def wait_for(condition, within=15.0):
    end = time.monotonic() + within
    while not (found := condition()) and time.monotonic() < end:
        time.sleep(0.1)
    return found


def flows(traffic):
    """{(kind, direction): Flow}."""
    found = {(kind, "out"): getattr(traffic, kind).out for kind in KINDS}
    return found | {(kind, "in"): getattr(traffic, kind).received for kind in KINDS}


def command(crowd, *words):
    completed = subprocess.run(
        [sys.executable, "-m", "hookrouter", *words, "--json", "--site", str(crowd.folder / "people.ini")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return json.loads(completed.stdout.splitlines()[-1])


def submit_and_wait(crowd, tag):
    """Submits a purge; returns its number, (epoch, n), once it is in effect at every member."""
    result = command(crowd, "purges", "submit", "--tag", tag, "--wait")
    assert result["in_effect_ms"]
    return tuple(map(int, result["numbers"][0].split(".")))


# ---- processes


@pytest.fixture
def crowd(tmp_path):
    sections = {
        "fleet": {},
        # No lists over streams: sharing then uses datagrams only, so that its bytes can be checked.
        "sharing": {"pull within": "0 s"},
        "purges": {"lease": "1 s", "skew": "1 ms"},
    }
    real = ("standins.hollow.counted", str(tmp_path / "r0.reports"), str(EVERY))
    with Crowd(
        tmp_path,
        1,
        2,
        zones=1,
        sections=sections,
        hollow=HOLLOW,
        desk=True,
        program=lambda name: real if name == "r0" else ("hookrouter",),
    ) as made:
        yield made


def test_all_are_seen_purged_and_counted_and_a_kill_is_noticed(crowd):
    with HollowProcess(crowd.layout.configure_hollow("hollow", crowd.layout.hollow, 7, EVERY)) as hollow:
        member_count = len(crowd.members)
        assert wait_for(
            lambda: all(row.members_alive == member_count for row in hollow.next_report().routers)
        )
        assert wait_for(lambda: f"view has settled: members={member_count}" in crowd.processes.log("r0"))
        assert [row.name for row in hollow.reports()[-1].routers] == crowd.layout.hollow

        newest = submit_and_wait(crowd, "sheet")
        report = hollow.next_report()
        assert {(row.newest_purge.epoch, row.newest_purge.n) for row in report.routers} == {newest}
        assert {row.lease for row in report.routers} == {"current"}
        assert {row.purges_received for row in report.routers} == {1}

        check_relay_counts(crowd, hollow)
        check_counts_grow(hollow.reports())
        check_counts_grow(read_reports(crowd.folder / "r0.reports"))

        so_far = len(crowd.processes.log("r0"))
        hollow.kill()
        # The log has a line for each of a few members suspected at once, one line for many.
        assert wait_for(lambda: NOTICED.search(crowd.processes.log("r0")[so_far:]))
        began = time.monotonic()
        again = submit_and_wait(crowd, "sheet-two")  # killed members delay a purge no longer than their lease
        assert again > newest and time.monotonic() - began < 6
    assert "Traceback" not in hollow.log() + "".join(map(crowd.processes.log, crowd.members))


def check_relay_counts(crowd, hollow):
    """Checks that the relay's counts lie between the counts reported before and after."""
    real = crowd.folder / "r0.reports"

    def sent():
        rows = [*hollow.next_report().routers, *read_reports(real)[-1].routers]
        return {row.name: row.traffic for row in rows}

    before = sent()
    carried = wait_for(lambda: carried_at_least(crowd.links.carried(), before))  # some may be under way
    assert carried, "the relay never carried what was reported as sent"
    time.sleep(2 * EVERY)
    after = sent()
    assert len(before) == HOLLOW + 1
    for name in before:
        for kind, most in counts_out(after[name]).items():
            assert counts_out(before[name])[kind] <= carried[kind][name] <= most


def counts_out(traffic):
    """What one router has sent, by the relay's kinds of counts."""
    datagrams = traffic.view.out, traffic.sharing.out
    return {
        "bytes": sum(flow.bytes for flow in datagrams),
        "packets": sum(flow.messages for flow in datagrams),
        "streamed": traffic.keeper_stream.out.bytes,
    }


def carried_at_least(carried, sent):
    """The relay's counts if none is below what was sent by then, else None."""
    reached = all(
        carried[kind].get(name, 0) >= least
        for name, traffic in sent.items()
        for kind, least in counts_out(traffic).items()
    )
    return carried if reached else None


def check_counts_grow(reports):
    """Checks that counts never decrease, end above 0, and that the process's are the sum of its routers'."""
    assert len(reports) > 3
    for before, after in zip(reports, reports[1:]):
        assert after.time > before.time and after.cpu_user_s >= before.cpu_user_s
        for earlier, now in zip((before, *before.routers), (after, *after.routers)):
            for key, flow in flows(earlier.traffic).items():
                later = flows(now.traffic)[key]
                assert later.messages >= flow.messages and later.bytes >= flow.bytes
    last = reports[-1]
    for key, flow in flows(last.traffic).items():
        each = [flows(row.traffic)[key] for row in last.routers]
        assert all(one.messages > 0 and one.bytes > one.messages for one in each), key
        assert flow == Flow(sum(one.messages for one in each), sum(one.bytes for one in each))
    assert last.resident_bytes > 1_000_000 and 0 <= last.reactor_lag_s < 5


def test_a_process_that_stands_still_says_how_late_it_was(tmp_path):
    with HollowProcess(layout(tmp_path).configure_hollow("hollow", ["h0", "h1"], 1, EVERY)) as hollow:
        hollow.next_report()
        hollow.pause()
        so_far = len(hollow.reports())
        time.sleep(0.6)
        hollow.resume()
        hollow.next_report()
        assert max(report.reactor_lag_s for report in hollow.reports()[so_far:]) > 0.3
        assert hollow.end() == 0
    last = hollow.reports()[-1]
    assert [(row.lease, row.newest_purge) for row in last.routers] == [("off", None)] * 2


# ---- files


def layout(folder, sections=None):
    """Returns the layout of two hollow routers without the rest of their fleet."""
    made = Layout(folder, 0, 1, 1, 1, sections or {"fleet": {}}, None, 3, hollow=2, direct=True)
    made.write()
    return made


def test_the_layout_gives_each_hollow_router_a_file_that_the_program_reads(tmp_path):
    made = Layout(
        tmp_path, 1, 1, 2, 1, {"fleet": {}, "sharing": {}}, None, 3, hollow=3, direct=True, desk=True
    )
    made.write()
    configuration = read_configuration(made.configure_hollow("one", ["h0", "h2"], 5, 0.5))
    assert [place.name for place in configuration.routers] == ["h0", "h2"]
    assert (configuration.seed, configuration.report_every_s) == (5, 0.5)
    sections = read_sections(configuration.routers[1])
    assert sections["fleet"]["zone"] == "z0" and sections["fleet"]["listen"] == (
        "127.0.0.1",
        made.listen_port["h2"],
    )
    assert [port for _, port in sections["purges"]["desk"]] == list(made.desks.values())
    assert sections["fleet"]["keepers"]["k1"] == ("127.0.0.1", made.listen_port["k1"])


@pytest.mark.parametrize(
    "text, expected",
    [
        ("{", "truncated"),
        ('{"seed": 1}', "`routers`"),
        ('{"seed": "a", "routers": []}', "`$.seed`"),
        ('{"seed": 1, "routers": [], "speed": 2}', "`speed`"),
        ('{"seed": 1, "routers": []}', "at least one"),
        ('{"seed": 1, "report_every_s": 0, "routers": [{"name": "a", "site": "a"}]}', "report_every_s"),
        (
            '{"seed": 1, "routers": [{"name": "a", "site": "a"}, {"name": "a", "site": "b"}]}',
            "a is listed 2 times",
        ),
    ],
)
def test_a_configuration_that_cannot_be_used_is_refused_by_its_key(tmp_path, text, expected):
    path = tmp_path / "wrong.json"
    path.write_text(text)
    with pytest.raises(ConfigurationRefused) as error:
        read_configuration(path)
    assert expected in error.value.user_message() and "correct what is named" in error.value.user_message()


def test_an_operators_file_by_which_no_hollow_router_can_run_is_refused(tmp_path):
    place = read_configuration(layout(tmp_path).configure_hollow("one", ["h0"], 1)).routers[0]
    path = tmp_path / "h0.ini"
    good = path.read_text()
    warming = "\n[sharing]\n\n[warming]\n"
    for text, expected in [
        ("", "[fleet] is missing"),
        (good.replace("name = h0", "name = h9"), "[fleet] name is h9, not h0"),
        (good.replace("name = h0", "name = k0") + "store = k0.db\n", "[fleet] name is k0, not h0"),
        (good + warming, "[warming] needs lookups"),
        (good.replace("zone = z0", "zone = z 0"), "[fleet] zone: "),
    ]:
        path.write_text(text)
        with pytest.raises(ConfigurationRefused) as error:
            read_sections(place)
        assert (
            expected in error.value.user_message() and "nothing was started" in error.value.user_message()
        ), error.value.user_message()
    path.unlink()
    with pytest.raises(ConfigurationRefused, match="h0.ini"):
        read_sections(place)


def test_the_command_says_what_to_do_and_ends(tmp_path):
    for words, expected in [
        ([], "usage: python -m standins.hollow CONFIG.json"),
        ([str(tmp_path / "none.json")], "No such file or directory; do: correct what is named"),
    ]:
        completed = subprocess.run(
            [sys.executable, "-m", "standins.hollow", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert (
            completed.returncode == 2 and expected in completed.stderr and "Traceback" not in completed.stderr
        )


# ---- parts


def test_frames_are_counted_however_a_stream_is_cut():
    frames = [b"", b"a", b"bc" * 300, b"\0" * 5]
    stream = b"".join(len(frame).to_bytes(4, "big") + frame for frame in frames)
    for size in (1, 2, 3, 5, 7, 64, len(stream)):
        meter = FrameMeter()
        pieces = [stream[at : at + size] for at in range(0, len(stream), size)]
        assert sum(map(meter.feed, pieces)) == len(frames)
    assert FrameMeter().feed(stream[:-1]) == len(frames) - 1


def test_requests_answers_and_events_are_counted_however_a_stream_is_cut():
    stream = b'HTTP/1.1 200 OK\r\nA: b\r\n\r\n{"n":1}HTTP/1.1 200 OK\r\n\r\n12\r\n: here\n\n\r\ndata: {}\n\n'
    for size in (1, 2, 3, 9, len(stream)):
        meter = HttpMeter()
        assert sum(meter.feed(stream[at : at + size]) for at in range(0, len(stream), size)) == 4


def test_made_up_loads_follow_from_the_seed_and_stay_in_their_bounds():
    def loads_and_state(seed):
        state = SyntheticState(seed, ["c1", "c0"])
        return [state.loads(now) for now in range(50)], state.learnt()

    assert loads_and_state("1/h0") == loads_and_state("1/h0") != loads_and_state("1/h1")
    rows = [row for loads in loads_and_state("1/h0")[0] for row in loads]
    assert [row.cache for row in rows[:2]] == ["c0", "c1"]
    assert all(0 <= row.out <= 4 and 0 <= row.rate <= 20 for row in rows)
    state = SyntheticState("1/h0", ["c0"])
    assert state.adopt([loads_and_state("1/h1")[1]]) == 4
