"""The capacity page: its arithmetic, its data files, and that it stays what they give.

The figures of capacity_fixture are invented; they are used here alone.
"""

import math
import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import capacity_fixture as fixture
import msgspec
import pytest

from benchmarks.capacity import arithmetic as a
from benchmarks.capacity import (
    command,
    errors,
    fit,
    formulas,
    inputs,
    missing,
    page,
    ranking,
    retention,
    scale_file,
    sealed_filters,
)
from benchmarks.capacity.assumptions import ASSUMPTIONS, assumed
from benchmarks.capacity.figures import (
    Figure,
    Standing,
    bound,
    given,
    least,
    not_measured,
    plain,
    shown,
    total,
)
from benchmarks.capacity.measurements import read_state, write_state
from benchmarks.capacity.placement import Process, after_loss, place, quorum
from benchmarks.capacity.size import BOUNDS, SIZE
from benchmarks.capacity.tables import DOES_NOT_FIT, FITS, NOT_KNOWN, table, verdict
from hookrouter.purges.bounds import Bound
from hookrouter.purges.retention.sealed import SealedNames

ROOT = Path(__file__).parent.parent


# ---- figures and their standing


def test_a_sum_has_the_worst_standing_of_its_parts_and_names_what_is_missing():
    measured, extrapolated = Figure(2.0, Standing.MEASURED), Figure(3.0, Standing.EXTRAPOLATED)
    assert total((measured, extrapolated)) == Figure(5.0, Standing.EXTRAPOLATED)
    partial = total((measured, not_measured("router/view/in/bytes_per_s")))
    assert partial == Figure(2.0, Standing.MEASURED, ("router/view/in/bytes_per_s",))
    assert shown(partial, "B") == "at least 2 B (measured; not measured: router/view/in/bytes_per_s)"


def test_a_product_with_what_is_not_known_is_not_known():
    product = Figure(2.0, Standing.MEASURED) * not_measured("x")
    assert not product.known and product.missing == ("x",)
    assert shown(product) == "not measured (x)"
    assert (given(6) / bound(2)) == Figure(3.0, Standing.BOUND)


def test_a_lower_bound_under_its_budget_is_not_called_fitting():
    part = total((given(2), not_measured("x")))
    assert verdict(part, 5) == NOT_KNOWN and verdict(part, 1) == DOES_NOT_FIT
    assert verdict(given(5), 5) == FITS and verdict(not_measured("x"), 5) == NOT_KNOWN


def test_numbers_are_written_with_three_digits_and_whole_ones_whole():
    assert [plain(value) for value in (0, 7, 2_764_800, 1234.5, 0.012345, 99.96, 1e-9)] == [
        "0", "7", "2,764,800", "1,230", "0.0123", "100",
        "1e-09",
    ]  # fmt: skip
    assert least((given(3), bound(2))) == bound(2)


def test_a_table_with_rows_of_other_widths_is_refused():
    assert table(("a", "b"), [("1", "2")]) == "| a | b |\n| --- | --- |\n| 1 | 2 |"
    with pytest.raises(ValueError):
        table(("a", "b"), [("1",)])


# ---- arithmetic


def test_a_line_of_least_squares_and_its_residual():
    line = fit.fit_line((1, 2, 3), (3, 5, 7))
    assert line.intercept == pytest.approx(1) and line.slope == pytest.approx(2)
    assert line.residual == pytest.approx(0)
    assert fit.fit_line((1, 2, 3), (3, 6, 7)).residual > 0.05
    assert fit.relative_spread((9, 11)) == pytest.approx(0.2)
    with pytest.raises(ValueError):
        fit.fit_line((2, 2), (1, 1))


def test_live_purges_of_a_hold():
    assert a.live_purges(32, 3_600) == 115_200
    assert a.live_purges(32, 86_400) == 2_764_800
    assert a.live_purges(32, 86_400, 0.5) == 1_382_400


def test_the_share_of_names_held_is_none_up_to_the_bound_and_nearly_all_far_beyond_it():
    assert a.held_share(100_000, 100_000, 16_384) == 0
    assert a.held_share(100_001, 100_000, 16_384) == pytest.approx(1 / 16_384)
    assert a.held_share(200_000, 100_000, 16_384) == pytest.approx(0.9978, abs=0.0002)


def test_the_time_until_a_purge_is_in_effect_and_the_longest_lease_are_each_others_inverse():
    seconds = a.effect_latest_s(1.0, 0.01, 0.02, 0.002, 0.05)
    assert seconds == pytest.approx(0.05 + 1.01 + 0.042)
    assert a.longest_lease_s(seconds, 0.01, 0.02, 0.002, 0.05) == pytest.approx(1.0)


def test_catching_up_takes_its_share_of_the_link_and_then_the_taking_in():
    size = a.snapshot_bytes(1_000, 70, 60, 500)
    assert size == 1_000 * 70 + 2 * 60
    assert a.catch_up_s(size, 1_000, 1.0, 0.0) == pytest.approx(70.12)
    assert a.catch_up_s(size, 1_000, 0.5, 3.0) == pytest.approx(143.24)
    assert a.seconds_until(200_000, 32) == pytest.approx(6_250)
    assert math.isinf(a.seconds_until(200_000, 0))


@pytest.mark.parametrize("exponent", [0.8, 1.0, 1.2])
def test_sums_of_zipfs_law_agree_with_a_plain_sum(exponent):
    plain_sum = math.fsum(rank**-exponent for rank in range(1, 50_001))
    assert a.harmonic(50_000, exponent) == pytest.approx(plain_sum, rel=1e-5)
    top = math.fsum(rank**-exponent for rank in range(1, 501))
    assert a.top_share(500, 50_000, exponent) == pytest.approx(top / plain_sum, rel=1e-5)


def test_different_objects_of_so_many_requests_agree_with_a_plain_sum():
    norm = math.fsum(rank**-0.8 for rank in range(1, 20_001))
    wanted = math.fsum(1 - (1 - rank**-0.8 / norm) ** 5_000 for rank in range(1, 20_001))
    assert a.distinct_objects(5_000, 20_000, 0.8) == pytest.approx(wanted, rel=0.002)
    assert a.distinct_objects(1, 20_000, 0.8) == pytest.approx(1, rel=0.002)


def test_the_share_refilled_falls_with_the_age_that_copies_may_have():
    shares = [a.refilled_share(1_000, age, 1e6, 0.8) for age in (0.1, 10, 1_000)]
    assert shares == sorted(shares, reverse=True) and 0 < shares[-1] < shares[0] <= 1
    fills = a.origin_fills_per_s(1_000, 10, 1e6, 0.8)
    assert fills == pytest.approx(1_000 * shares[1])


# ---- twelve machines


def test_twelve_machines_stand_in_twelve_regions_with_five_keepers():
    machines = place(12, 5, 13)
    assert sum(Process.KEEPER in machine.processes for machine in machines) == 5
    assert all(Process.RELAY in machine.processes for machine in machines)
    assert len({machine.region for machine in machines}) == 12
    with pytest.raises(ValueError):
        place(3, 5, 13)


def test_after_two_are_lost_five_keepers_go_on_and_three_do_not():
    five, three = (after_loss(place(12, keepers, 13), 2, 13, 1_200) for keepers in (5, 3))
    assert (five.keepers_left, five.quorum, five.owner) == (3, 3, True)
    assert (three.keepers_left, three.quorum, three.owner) == (1, 2, False)
    assert five.routers_per_relay == 120 and five.routers_without_relay == 200
    assert five.regions_without_machine == 3
    assert [quorum(keepers) for keepers in (3, 5)] == [2, 3]


# ---- mixes and holds


def test_the_desk_refuses_by_what_is_full_first_and_never_where_the_hold_ends_before():
    objects = retention.Mix("objects", 1.0, 0.0, 0.0, 0.0)
    assert retention.Retained(objects, 7 * 86_400).desk_refuses_after_s == pytest.approx(4_000_000 / 32)
    assert math.isinf(retention.Retained(objects, 86_400).desk_refuses_after_s)
    patterns = retention.Mix("patterns", 0.9, 0.0, 0.0, 0.1)
    assert retention.Retained(patterns, 86_400).desk_refuses_after_s == pytest.approx(4_000 / 3.2)


def test_more_patterns_than_a_router_keeps_hold_every_name():
    few = retention.Retained(retention.Mix("few", 1.0, 0.0, 0.0, 0.0), 3_600)
    many = retention.Retained(retention.Mix("many", 0.5, 0.0, 0.0, 0.5), 3_600)
    assert few.held_by_patterns().value == 0 and many.held_by_patterns().value == 1
    assert many.held().value == 1


def test_the_geometry_of_the_slices_is_the_codes_own():
    for kind, most in (("object", 3_000_000), ("tag", 750_000), ("prefix", 375_000)):
        geometry = sealed_filters.of_kind(kind, 86_400)
        names = SealedNames(kind, 86_400 * 10_000, most)
        names.seal("one", Bound(1, 1))
        assert geometry.bytes == names.slices.bytes() == geometry.rows * 4
        assert geometry.capacity == names.slices.capacity and geometry.most >= most
    assert set(sealed_filters.geometries(3_600, 1_000)) == {"object", "tag", "prefix"}


def test_false_positives_by_arithmetic_agree_with_slices_that_are_full():
    hold, most = 24_000_000, 48_000
    names = SealedNames("object", hold, most)
    for number in range(most):
        names.seal(f"purged-{number}", Bound(number * (hold // most) + 1, 0))
    found = sum(names.find(f"never-{number}") is not None for number in range(20_000)) / 20_000
    wanted = sealed_filters.geometries(hold / 10_000, most)["object"].false_positives(most)
    assert 0.004 < wanted < 0.02 and found == pytest.approx(wanted, rel=0.25)


def test_a_share_that_is_bound_grows_with_what_is_sealed_and_nothing_sealed_takes_nothing():
    none, day = Figure(0.0, Standing.ASSUMED), 86_400
    for kind in ("object", "tag", "prefix"):
        assert sealed_filters.bound_share(kind, day, none).value == 0
        assert sealed_filters.bank_bytes(kind, day, none).value == 0
        shares = [
            sealed_filters.bound_share(kind, day, Figure(n, Standing.ASSUMED)).value for n in (1e5, 1e6, 1e8)
        ]
        assert shares == sorted(shares) and shares[0] < 0.01 and shares[2] == pytest.approx(1)
    assert sealed_filters.any_of(0.5, 2) == pytest.approx(0.75) and sealed_filters.any_of(1.0, 3) == 1


def test_prefixes_are_sealed_and_globs_and_regexes_are_not():
    prefixes = retention.Retained(retention.Mix("prefixes", 0.5, 0.0, 0.5, 0.0), 3_600)
    assert prefixes.live(0.5).value > BOUNDS.router_patterns
    assert prefixes.held_by_patterns().value == 0 and 0 < prefixes.held_by_slices().value < 0.01
    assert retention.held_by_all_patterns(prefixes).value == 1


def test_the_mixes_are_whole():
    assert all(
        mix.objects + mix.tags + mix.prefixes + mix.patterns == pytest.approx(1) for mix in retention.MIXES
    )


# ---- the data files


def test_the_three_formulas():
    values = {
        "constant": ((7.0,), 7.0),
        "linear": ((1.0, 0.5), 601.0),
        "logarithmic": ((1.0, 2.0), 1 + 2 * math.log(1_200)),
    }
    for formula, (coefficients, wanted) in values.items():
        one = scale_file.Slope(
            "router", "view", "in", "bytes_per_s", formula, coefficients, (60, 300), 0.0, 0.0
        )
        assert one.at(1_200) == pytest.approx(wanted)


def test_what_lies_beyond_the_sizes_is_extrapolated():
    scale, name = fixture.inputs().scale, scale_file.SlopeName("router", "view", "in", "bytes_per_s")
    assert scale.figure(name, 300).standing == Standing.MEASURED
    assert scale.figure(name, 301).standing == Standing.EXTRAPOLATED


def test_a_cost_that_falls_is_not_followed_beyond_the_sizes_that_were_measured():
    old = next(one for one in fixture.slopes() if one.kind == "view")
    falling = msgspec.structs.replace(old, coefficients=(1_000.0, -1.0))
    scale = fixture.inputs(changed={str(old.name): falling}).scale
    assert scale.figure(old.name, 1_200) == Figure(700.0, Standing.EXTRAPOLATED)
    assert scale.figure(old.name, 140) == Figure(860.0, Standing.MEASURED)


def test_sharing_is_taken_where_the_zones_of_the_run_are_as_large():
    data = fixture.inputs()
    assert data.zones_in_run == 6 and data.regions_in_run == 3
    figure = data.of_zone("router", "sharing", "in", "bytes_per_s")
    assert figure == Figure(1_000 + 1_200 / 38 * 6, Standing.MEASURED)


def test_a_required_slope_that_is_missing_is_named_and_others_are_not_measured():
    required = scale_file.REQUIRED[0]
    with pytest.raises(errors.MissingSlope) as wrong:
        page.render(fixture.inputs(without=(str(required),)))
    for part in (required.role, required.kind, required.quantity, required.direction):
        assert repr(part) in str(wrong.value)
    optional = "router/sharing/in/bytes_per_s"
    text = page.render(fixture.inputs(without=(optional,)))
    assert f"not measured ({optional})" in text and f"not measured: {optional}" in text


@pytest.mark.parametrize("name", [str(one.name) for one in fixture.slopes()])
def test_each_slope_may_be_missing_and_only_the_required_ones_end_the_command(name):
    data = fixture.inputs(without=(name,))
    if name in map(str, scale_file.REQUIRED):
        with pytest.raises(errors.MissingSlope):
            page.render(data)
    else:
        assert "not measured" in page.render(data)


def test_a_measurement_that_is_missing_is_named():
    data = fixture.inputs()
    kept = tuple(one for one in data.state.measurements if one.name != "tail")
    with pytest.raises(errors.MissingMeasurement, match="'tail'"):
        page.render(replace(data, state=msgspec.structs.replace(data.state, measurements=kept)))


@pytest.mark.parametrize(
    "text", ["", "{", '{"schema": 1}', "[]", '{"schema": 1, "machine": {}, "commit": 3}', "\udcff"]
)
def test_files_that_cannot_be_read_are_refused_by_their_name(tmp_path, text):
    for name, read in (("scale.json", scale_file.read_scale), ("state.json", read_state)):
        path = tmp_path / name
        with pytest.raises(errors.UnreadableData, match=name):
            read(path)
        path.write_bytes(text.encode("utf-8", "surrogateescape"))
        with pytest.raises(errors.UnreadableData, match=name):
            read(path)


def test_files_of_another_schema_or_without_a_usable_formula_are_refused(tmp_path):
    data, path = fixture.inputs(), tmp_path / "scale.json"
    path.write_bytes(msgspec.json.encode(msgspec.structs.replace(data.scale, schema=2)))
    with pytest.raises(errors.UnreadableData, match="schema 2"):
        scale_file.read_scale(path)
    for wrong in ({"formula": "cubic"}, {"coefficients": (1.0,)}, {"sizes": ()}):
        slopes = (msgspec.structs.replace(data.scale.slopes[0], **wrong),)
        path.write_bytes(msgspec.json.encode(msgspec.structs.replace(data.scale, slopes=slopes)))
        with pytest.raises(errors.UnreadableData, match="router/view/in/bytes_per_s"):
            scale_file.read_scale(path)
    write_state(path, msgspec.structs.replace(data.state, schema=7))
    with pytest.raises(errors.UnreadableData, match="schema 7"):
        read_state(path)


def test_the_size_at_which_a_line_breaks_is_found_by_its_slope():
    data = fixture.inputs()

    def value(at):
        return at.of_fleet("router", "view", "in", "bytes_per_s")

    assert inputs.breaks_at(data, value, 5_000) == 4_001
    assert inputs.breaks_at(data, value, 10) == 1
    assert inputs.breaks_at(data, lambda at: given(1), 5_000) is None


def test_a_straight_line_through_the_windows_stands_beside_the_formula():
    data = fixture.inputs()
    name = scale_file.SlopeName("desk", "all", "none", "cpu_core_share")
    assert formulas.straight_line(data, name, 1_200).missing == (str(name),)
    runs = tuple(
        msgspec.structs.replace(
            run,
            measurements=(
                scale_file.RunMeasurement("desk", "all", "none", "cpu_core_share", run.hollow / 100),
            ),
        )
        for run in data.scale.runs
    )
    data = replace(data, scale=msgspec.structs.replace(data.scale, runs=runs))
    assert formulas.straight_line(data, name, 1_200).value == pytest.approx(11.88)
    assert "11.9 (extrapolated)" in formulas.formulas_table(data)


# ---- the page


@pytest.fixture
def files(tmp_path, monkeypatch):
    """A folder with data files and a page that is computed from them."""
    data = fixture.inputs()
    (tmp_path / "scale.json").write_bytes(msgspec.json.encode(data.scale))
    write_state(tmp_path / "state.json", data.state)
    monkeypatch.setattr(command, "RESULTS", tmp_path)
    monkeypatch.setattr(command, "PAGE", tmp_path / "CAPACITY.md")
    command.run()
    return tmp_path


def test_a_page_that_was_just_computed_passes_the_check(files):
    before = (files / "CAPACITY.md").read_bytes()
    command.run(only_check=True)
    assert (files / "CAPACITY.md").read_bytes() == before


def test_a_changed_slope_makes_the_check_fail_and_the_first_line_is_named(files, capsys):
    old = fixture.slopes()[0]
    new = msgspec.structs.replace(old, coefficients=(old.coefficients[0] * 1.5, old.coefficients[1]))
    scale = fixture.inputs(changed={str(old.name): new}).scale
    (files / "scale.json").write_bytes(msgspec.json.encode(scale))
    with pytest.raises(SystemExit) as end:
        command.run(only_check=True)
    assert end.value.code == 1
    told = capsys.readouterr().err
    number = int(re.search(r"CAPACITY.md, line (\d+): ", told)[1])
    was = (files / "CAPACITY.md").read_text().splitlines()
    command.run()
    now = (files / "CAPACITY.md").read_text().splitlines()
    assert was[: number - 1] == now[: number - 1] and was[number - 1] != now[number - 1]


def test_a_changed_measurement_and_a_page_edited_by_hand_make_the_check_fail(files):
    data = fixture.inputs()
    first = msgspec.structs.replace(data.state.measurements[0], coefficients=(0.0, 401.0))
    changed = (first, *data.state.measurements[1:])
    write_state(files / "state.json", msgspec.structs.replace(data.state, measurements=changed))
    with pytest.raises(SystemExit):
        command.run(only_check=True)
    command.run()
    path = files / "CAPACITY.md"
    for text in (path.read_text().replace("1,200", "1,201", 1), path.read_text() + "more\n", ""):
        path.write_text(text)
        with pytest.raises(SystemExit):
            command.run(only_check=True)
        command.run()


def test_a_missing_page_and_missing_data_end_with_a_line_that_says_what_to_do(files, capsys):
    (files / "CAPACITY.md").unlink()
    with pytest.raises(SystemExit):
        command.run(only_check=True)
    assert "(capacity-page)" in capsys.readouterr().err
    (files / "scale.json").unlink()
    with pytest.raises(SystemExit):
        command.run()
    assert "(capacity-data)" in capsys.readouterr().err
    assert not (files / "CAPACITY.md").exists()


def test_a_block_that_nothing_fills_is_named():
    with pytest.raises(errors.CapacityError, match="'unheard-of'"):
        page.render(fixture.inputs(), "<!-- block: unheard-of -->\n")


def test_every_block_stands_in_the_template_once():
    assert sorted(page.BLOCK.findall(page.TEMPLATE.read_text())) == sorted(page.BLOCKS)


def test_each_module_that_is_named_exists():
    paths = [path for line in page.LINES for path in line.paths]
    assert paths and all((ROOT / path).exists() for path in paths)


def test_each_line_of_the_size_has_a_mechanism_and_a_place_where_it_breaks():
    data = fixture.inputs()
    assert all(line.mechanism and line.paths for line in page.LINES)
    assert all(line.value(data) and line.breaks_at(data) and line.fits(data) for line in page.LINES)
    wanted = ("1,200 routers", "59 sites", "200 caches", "1.2 million lookups", "4 Tbit/s", "3.9 billion objects",
              "32 purges", "1.4 s", "13 regions", "38 zones", "5,800 changes", "2.3 % of a core", "64 MB",
              "5 KB a second", "12 machines", "4 machines a day", "350 restarts", "rack", "zone once", "regions apart")  # fmt: skip
    for figure in wanted:
        assert any(figure in line.figure for line in page.LINES), figure


def test_prose_by_hand_holds_no_figure_of_measurements():
    prose = page.BLOCK.sub("", page.TEMPLATE.read_text())
    assert not re.findall(r"\d+(?:\.\d+)? ?(?:MB|GB|KB|bytes|us|ms|%)", prose)


def test_the_ranking_puts_harm_before_distance_and_the_mechanisms_follow_it():
    data = fixture.inputs()
    lines = ranking.ranked(data)
    keys = [(line.harm, -line.factor) for line in lines]
    assert keys == sorted(keys) and all(line.factor > 1 for line in lines)
    order = missing.in_order(data)
    assert order[0] is lines[0].missing and set(order) == {line.missing for line in lines}
    assert set(missing.COSTS) == set(ranking.Missing)


def test_all_assumptions_stand_on_the_page_with_their_reasons():
    text = page.render(fixture.inputs())
    assert len({assumption.name for assumption in ASSUMPTIONS}) == len(ASSUMPTIONS)
    assert all(each.reason and f"| `{each.name}` |" in text for each in ASSUMPTIONS)
    sources = "".join(path.read_text() for path in (ROOT / "benchmarks" / "capacity").glob("*.py"))
    used = re.findall(r"assumed\([\"'](\w+)[\"']\)", sources)
    assert {each.name for each in ASSUMPTIONS} == set(used)
    with pytest.raises(KeyError):
        assumed("unheard-of")


def test_bounds_are_those_of_the_operators_file():
    text = (ROOT / "deploy" / "hookrouter.ini").read_text()
    for line in (f"names = {BOUNDS.names}", f"tagged = {BOUNDS.tagged}", f"most live = {BOUNDS.most_live}",
                 f"most patterns = {BOUNDS.most_desk_patterns}", f"hold = {BOUNDS.hold_s // 3_600} h",
                 f"lease = {BOUNDS.lease_s:g} s", f"skew = {BOUNDS.skew_s * 1_000:g} ms", f"grace = {BOUNDS.grace_s * 1_000:g} ms"):  # fmt: skip
        assert line in text, line
    assert SIZE.purges_per_s * 86_400 == 2_764_800


def test_the_page_is_the_one_that_the_files_give():
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks", "capacity", "--check"], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr


def test_options_that_a_benchmark_does_not_know_are_refused():
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks", "lab", "--check"], cwd=ROOT, capture_output=True, text=True
    )
    assert done.returncode == 2 and "lab knows no --check" in done.stderr
