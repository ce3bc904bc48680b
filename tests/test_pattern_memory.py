"""The memory that a router's patterns take, whatever names are matched with them, stays within its bound."""

from random import Random

import pytest
import re2
from fleet import configuration, members
from purging import SECOND, site
from scenes import FLEET, read_config
from test_patterns import large_regex, newest, object_of

from hookrouter.node.limits import divide
from hookrouter.node.memory_watch import read_memory
from hookrouter.node.start import DESCRIPTOR_BYTES, MEGABYTE, PROGRAM_MEGABYTES, pattern_memory, read_start
from hookrouter.purges import PurgeTerms, types
from hookrouter.purges.expressions import expression
from hookrouter.purges.index import MOST_PATTERNS, Index
from hookrouter.purges.names import Kept
from hookrouter.purges.patterns import MAX_REMEMBERED_BOUNDS

TERMS = PurgeTerms(2 * SECOND, 24 * 3_600 * SECOND, SECOND // 2, 10, types.YOUNG, 100, 100)
NAMES = 4_000  # that are matched, each for the first time
OVERHEAD = 6 * MEGABYTE  # for what is remembered of names, and what the allocator keeps

KINDS = {
    "globs": (types.GLOB, lambda number: f"clip/*{number:03x}*", 1_024),
    "globs of every name": (
        types.GLOB,
        lambda number: f"clip/*[!g{chr(0x47 + number % 50)}]*[!{number}gh]*",
        500,
    ),
    "regexes": (types.REGEX, lambda number: f"(clip|page)/([0-9a-f]{{2}})*{number:03x}[0-9a-f]*", 512),
    "large regexes": (types.REGEX, large_regex, 16),
}


def new_names(seed=1):
    dice = Random(seed)
    return (f"{dice.getrandbits(64):016x}" for _ in range(NAMES))


# Guards against a router that is killed for its memory as names are matched with many patterns (review/9).
@pytest.mark.parametrize("kind, pattern, count", KINDS.values(), ids=KINDS)
def test_names_that_were_not_seen_before_take_no_memory_beyond_the_bound(kind, pattern, count):
    index = Index(TERMS)
    for number in range(count):
        assert index.add(kind, pattern(number), number + 1, number + 1) is Kept.EXACT
    before, _ = read_memory()
    for name in new_names():
        newest(index, name)
    after, _ = read_memory()
    assert after - before <= index.patterns.memory_used() + OVERHEAD
    assert sum(one.memory() for one in index.patterns.sets) <= TERMS.pattern_memory


# Guards against a match that is missed as RE2 drops its states to stay within the memory of a set.
@pytest.mark.parametrize(
    "kind, pattern, count", [(*row[:2], min(130, row[2])) for row in KINDS.values()], ids=KINDS
)
def test_a_set_within_its_memory_finds_what_each_pattern_finds_alone(kind, pattern, count):
    index = Index(TERMS)
    alone = []
    for number in range(count):
        index.add(kind, pattern(number), number + 1, number + 1)
        alone.append(re2.compile(expression(kind, pattern(number))))
    for name in list(new_names())[:400]:
        matching = [number + 1 for number, one in enumerate(alone) if one.fullmatch(f"clip/{name}")]
        assert newest(index, name) == max(matching, default=0)


# Guards against the memory of what is remembered of names, where each name matches most patterns.
def test_matches_of_names_are_remembered_within_a_bound():
    kind, pattern, count = KINDS["globs of every name"]
    index = Index(TERMS)
    for number in range(count):
        index.add(kind, pattern(number), number + 1, number + 1)
    for name in new_names():
        newest(index, name)
    held = sum(len(matches.bounds) for matches in index.patterns._remembered.values())
    assert held == index.patterns._remembered_bounds <= MAX_REMEMBERED_BOUNDS
    index.add(kind, pattern(0), 9_999, 9_999)
    assert all(newest(index, name) == 9_999 for name in list(new_names())[:50])


@pytest.mark.parametrize("memory", [100_000, 1 << 20])
def test_a_pattern_beyond_the_memory_counts_against_every_name(memory):
    index, kept = Index(TERMS._replace(pattern_memory=memory)), []
    for number in range(400):
        kept.append(index.add(types.GLOB, f"*{object_of(number)}", number + 1, number + 1))
        assert index.patterns.memory_used() <= memory
        assert newest(index, object_of(number)) >= number + 1
    exact = kept.index(Kept.EVERY_NAME)
    assert exact > 0 and set(kept[:exact]) == {Kept.EXACT}
    assert index.add(types.REGEX, large_regex(1), 1_000, 1_000) is Kept.EVERY_NAME
    assert newest(index, "zz") == 1_000
    index.forget(1_000 + TERMS.hold + 1)  # all are older than the hold: there is room again
    assert index.patterns.memory_used() == 0
    assert index.add(types.GLOB, "clip/zz*", 2_000_000, 2_000_000) is Kept.EXACT


def test_a_router_at_the_largest_limits_keeps_as_many_globs_as_the_desk_lets_live():
    index = Index(TERMS._replace(pattern_memory=pattern_memory(192, 1_024)))
    kept = {index.add(types.GLOB, f"clip/*{number:03x}*", 1, 1) for number in range(MOST_PATTERNS)}
    assert kept == {Kept.EXACT}


@pytest.mark.parametrize("memory, sockets", [(64, 256), (96, 1_024), (192, 1_024), (2_048, 64)])
def test_patterns_have_their_part_of_the_memory_limit_only_where_purges_are_on(tmp_path, memory, sockets):
    config = configuration(members(1, *FLEET, whole=True))
    config["limits"] |= {"memory_mb": memory, "sockets": sockets}
    off = read_config(tmp_path, config)
    on = read_start({"EDGE_CONFIG": str(tmp_path / "config.json")}, sections=site(tmp_path))
    assert divide(on).cache_bodies < divide(off).cache_bodies
    assert on.terms.own_copy_bytes < off.terms.own_copy_bytes
    limits = divide(on)
    bounds = limits.cache_bodies + limits.client_bodies + limits.partial_frames + on.terms.own_copy_bytes
    bounds += pattern_memory(memory, sockets) + sockets * DESCRIPTOR_BYTES
    assert PROGRAM_MEGABYTES * MEGABYTE + bounds <= memory * MEGABYTE
