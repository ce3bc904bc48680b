"""Patterns that compile one by one where RE2 has no room for a set of them: none is lost."""

import re2
from purging import SECOND

from hookrouter.decisions.warming import RecentPurges
from hookrouter.purges import Purge, PurgeTerms, expressions, types
from hookrouter.purges.index import Index
from hookrouter.purges.names import Kept
from hookrouter.purges.pattern_sets import MAX_GROWING

TERMS = PurgeTerms(2 * SECOND, 24 * 3_600 * SECOND, SECOND // 2, 10, types.YOUNG, 100, 100)


def large_regex(number):
    """A regex that the desk accepts and that takes some 4,600 instructions of RE2's program."""
    return f"[^/]{{1,255}}/{number:04x}[^/]{{0,255}}"


def object_of(number):
    """The object that only the regex of that number matches."""
    return f"{number:04x}7a9c21e0b4d6"


def newest(index, name):
    return index.newest("clip", name, "1", ())


def refuse_sets(monkeypatch, is_refused):
    """RE2 compiles no set of patterns for which is_refused(expressions) holds."""
    add, compile_set, expressions_of = re2.Set.Add, re2.Set.Compile, {}

    def recording_add(self, expression):
        expressions_of.setdefault(self, []).append(expression)
        return add(self, expression)

    def refusing_compile(self):
        if is_refused(expressions_of[self]):
            raise re2.error("failed to compile Set")
        return compile_set(self)

    monkeypatch.setattr(re2.Set, "Add", recording_add)
    monkeypatch.setattr(re2.Set, "Compile", refusing_compile)


# Guards against purges that are lost because a growing set of patterns outgrows RE2's memory.
def test_each_of_many_large_patterns_binds_though_no_common_set_holds_them():
    index, count = Index(TERMS), 2 * MAX_GROWING
    for number in range(count):
        assert expressions.refusal(types.REGEX, large_regex(number)) is None
        assert index.add(types.REGEX, large_regex(number), number + 1, number + 1) is Kept.EXACT
        assert newest(index, object_of(number)) == number + 1
    assert index.add(types.GLOB, "clip/zz*", 1_000, 1_000) is Kept.EXACT
    assert newest(index, "zz") == 1_000 and newest(index, "yy") == 0
    assert [newest(index, object_of(number)) for number in range(count)] == list(range(1, count + 1))
    index.add(types.REGEX, large_regex(60), 2_000, 2_000)  # the same pattern once more
    assert newest(index, object_of(60)) == 2_000


# Guards against purges that are lost because sets that are joined outgrow RE2's memory.
def test_sets_that_cannot_be_joined_stay_apart_and_are_not_tried_again(monkeypatch):
    refused = []
    refuse_sets(monkeypatch, lambda texts: len(texts) > MAX_GROWING and not refused.append(texts))
    index, count = Index(TERMS), 6 * MAX_GROWING
    for number in range(count):
        assert index.add(types.GLOB, f"*{object_of(number)}", number + 1, number + 1) is Kept.EXACT
    assert [newest(index, object_of(number)) for number in range(count)] == list(range(1, count + 1))
    assert len(refused) == 1
    index.forget(count + 1 + TERMS.hold)
    assert newest(index, object_of(0)) == 0 and len(index) == 0


# Guards against a pattern that is numbered below those that remembered names were matched with.
def test_a_pattern_binds_remembered_names_after_the_newest_set_has_expired(monkeypatch):
    refuse_sets(monkeypatch, lambda texts: len(texts) > 2)
    index = Index(TERMS)
    for number, made in ((0, 1), (1, 1), (2, 1), (0, 5), (1, 5)):
        index.add(types.GLOB, f"*{object_of(number)}", made, made)
    assert newest(index, "zz") == 0
    index.forget(5 + TERMS.hold)  # the third, alone in the newest set
    assert len(index) == 2
    index.add(types.GLOB, "clip/zz*", 9, 9)
    assert newest(index, "zz") == 9


# Guards against a pattern that fits no set at all: it must bind every name, at its repeats too.
def test_a_pattern_that_no_set_holds_counts_against_every_name_each_time(monkeypatch):
    index = Index(TERMS)
    refuse_sets(monkeypatch, lambda texts: "clip/bad.*" in texts)
    assert index.add(types.GLOB, "clip/good*", 5, 5) is Kept.EXACT
    for made in (6, 7):
        assert index.add(types.GLOB, "clip/bad*", made, made) is Kept.EVERY_NAME
        assert newest(index, "other") == made
    assert index.add(types.GLOB, "clip/new*", 8, 8) is Kept.EXACT
    assert [newest(index, name) for name in ("good1", "bad1", "new1", "other")] == [7, 7, 8, 7]


# Guards against a warmed cache that is filled by a list from before a purge that cannot be compiled.
def test_warming_takes_a_pattern_that_no_set_holds_as_one_of_every_name(monkeypatch):
    refuse_sets(monkeypatch, lambda texts: True)
    is_match = RecentPurges().matcher(Purge(1, 1, 5, types.GLOB, "clip/bad*"))
    assert is_match(("clip", "other", 0), 1)
