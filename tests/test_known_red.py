"""The list of tests that are expected to fail: parsing, and the check that its tests exist and stand once."""

import known_red
import pytest

LINE = "tests/test_it.py::test_one | the cause | 41\n"


def read_list(tmp_path, text):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(
        "def test_one():\n    pass\n\n\ndef test_two(n):\n    pass\n"
    )
    (tmp_path / known_red.NAME).write_text(text)
    return known_red.read(tmp_path)


def test_without_a_list_nothing_is_red(tmp_path):
    assert known_red.read(tmp_path) == []


def test_a_line_names_its_test_with_all_or_some_of_its_parameters(tmp_path):
    one, two = read_list(tmp_path, LINE + "\ntests/test_it.py::test_two[a] | of a alone | 41\n")
    assert one.matches("tests/test_it.py::test_one") and one.matches("tests/test_it.py::test_one[x]")
    assert not one.matches("tests/test_it.py::test_one_more") and not two.matches(
        "tests/test_it.py::test_two[b]"
    )
    assert two.matches("tests/test_it.py::test_two[a]") and one.cause == "the cause" and one.issue == "41"


@pytest.mark.parametrize(
    "text",
    [
        LINE * 2,
        LINE + "tests/test_it.py::test_one[a] | a cause | 41\n",
        "tests/test_it.py::test_none | a cause | 41\n",
        "tests/test_no.py::test_one | a cause | 41\n",
        "tests/test_it.py::test_one | a cause\n",
        "tests/test_it.py::test_one |  | 41\n",
        "tests/test_it.py | a cause | 41\n",
    ],
)
def test_a_test_that_stands_twice_one_that_does_not_exist_and_a_line_without_cause_or_issue_are_refused(
    tmp_path, text
):
    with pytest.raises(known_red.Wrong):
        read_list(tmp_path, text)


def test_the_list_of_this_project_can_be_read(request):
    assert known_red.read(request.config.rootpath) is not None


def test_a_list_may_have_any_number_of_lines(tmp_path):
    lines = [f"tests/test_it.py::test_two[{number}] | a cause | 41" for number in range(9)]
    assert len(read_list(tmp_path, "\n".join(lines))) == 9
