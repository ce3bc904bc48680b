"""Slices of sealed purges: filters merged, bytes written and read, slices taken over by a router."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.purges.shapes import HOLD, LEASE, SEALED, SKEW
from hookrouter.errors.wire import MalformedSlice
from hookrouter.purges import Guard, Purge, PurgeTerms, slice_codec, types
from hookrouter.purges.catalogue import Catalogue
from hookrouter.purges.retention import BitSlicedBloom, BloomFilter
from hookrouter.purges.retention.archive import Archive, SliceKey, SliceState
from hookrouter.purges.retention.filters import resized

SECOND = 10_000
TERMS = PurgeTerms(
    lease=LEASE,
    hold=HOLD,
    grace=5_000,
    skew=SKEW,
    fenced=types.YOUNG,
    most_names=6,
    most_tagged=9,
    most_sealed=SEALED,
)

# ---- filters and slices


@settings(max_examples=40, deadline=None)
@given(
    st.lists(st.integers(0, (1 << 128) - 1), max_size=60),
    st.integers(10, 15),
    st.integers(10, 15),
    st.integers(0, 31),
)
def test_a_filter_merged_into_a_column_holds_all_of_it_and_is_as_good(digests, log2, log2_rows, column):
    made, bank, beside = BloomFilter(log2, 6), BitSlicedBloom(log2_rows, 6), BitSlicedBloom(log2_rows, 6)
    for digest in digests:
        made.add(digest)
        beside.add(column, digest)
    bits, start = resized(made.bits(), bank.log2_bits()), 0
    while start < len(bits):
        start = bank.merge(column, bits, start)
    assert all(bank.matches(digest) >> column & 1 for digest in digests)
    others = [n * 0x9E3779B97F4A7C15F39CC0605CEDC834 % (1 << 128) for n in range(200)]
    if log2 >= log2_rows:  # nothing but what the filter of that size holds
        assert [bank.matches(one) for one in others] == [beside.matches(one) for one in others]
    assert all(bank.matches(one) in (0, 1 << column) for one in others)


def purge(n, kind=types.OBJECT, what=None, at=None, epoch=1):
    return Purge(epoch, n, 100 * n if at is None else at, kind, what or f"o{n}")


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 30), st.sampled_from(types.SEALABLE_KINDS)), max_size=40), st.randoms()
)
def test_slices_come_out_the_same_in_any_order_however_often_and_wherever_they_were_merged(rows, dice):
    purges = [purge(n, kind, f"{kind}/{n}" * 3, at=n * HOLD // 24) for n, kind in rows]
    once, parts = Archive(HOLD, SEALED), [Archive(HOLD, SEALED) for _ in range(2)]
    for one in purges:
        once.add(one)
        parts[dice.randrange(2)].add(one)
    merged, states = Archive(HOLD, SEALED), [one.state() for part in parts for one in part.live()]
    for state in dice.sample(states, len(states)) + states[:3]:
        merged.merge(state)

    def facts(archive):
        return {one.key: one.state()._replace(keys=0) for one in archive.live()}

    assert facts(merged) == facts(once)
    assert [one.key.span for one in once.live()] == sorted((key.span for key in once.slices), reverse=True)


def test_a_slice_is_dropped_once_its_newest_purge_is_older_than_the_hold():
    archive = Archive(2_400, SEALED)
    for at in (0, 99, 100):
        archive.add(purge(1, at=at))
    assert len(archive) == 3 and archive.fold(99) == [] and archive.fold(100) == [SliceKey(types.OBJECT, 0)]
    assert len(archive) == 1 and archive.bytes() == 256


# ---- bytes


def state_of(count=40, span=3):
    archive = Archive(HOLD, SEALED)
    for n in range(count):
        archive.add(purge(n + 1, types.PREFIX, "p" * n, at=span * archive.length + n))
    (one,) = archive.live()
    return one.state()


def test_a_slice_is_read_as_it_was_written_and_nothing_else_is():
    state = state_of()
    encoded = slice_codec.encode(state)
    row, body = encoded
    assert slice_codec.decode_row(row, body) == state and slice_codec.encode(state) == encoded
    dice = Random(2)
    for _ in range(200):
        spoilt = bytearray(body)
        spoilt[dice.randrange(len(body))] ^= 1 << dice.randrange(8)
        with pytest.raises(MalformedSlice):
            slice_codec.decode_row(row, bytes(spoilt))
    for wrong in (body[:-1], body + b"x", b""):
        with pytest.raises(MalformedSlice, match="bytes of slice"):
            slice_codec.decode_row(row, wrong)
    for field in ({"span": 4}, {"bound": row.bound + 1}, {"last": 1}, {"kind": "tag"}):
        other = slice_codec.Row(**{name: getattr(row, name) for name in row.__struct_fields__} | field)
        with pytest.raises(MalformedSlice, match="not the one"):
            slice_codec.decode_row(other, body)


def sealed_as(**fields):
    """The bytes of a slice some fields of which are another's, under their right digest."""
    import msgspec
    import zstandard

    values = {"version": 1, "kind": "object", "span": 1, "bound": 1, "last": 1, "keys": 1, "lengths": []}
    values |= {"bits": bytes(128)} | fields
    body = zstandard.ZstdCompressor().compress(msgspec.msgpack.encode(list(values.values())))
    return body, slice_codec.digest_of(body)


@pytest.mark.parametrize(
    "fields, said",
    [
        ({"version": 2}, "of version 2"),
        ({"bits": bytes(100)}, "no power of two"),
        ({"bits": bytes(64)}, "no power of two"),
        ({"lengths": [25]}, "lengths"),
        ({"kind": "glob"}, "cannot be read"),
        ({"bits": bytes(2 * slice_codec.MOST_ENCODED)}, "larger than"),
        ({"span": -1}, "cannot be read"),
    ],
)
def test_a_slice_that_no_desk_of_this_version_makes_is_refused(fields, said):
    with pytest.raises(MalformedSlice, match=said):
        slice_codec.decode(*sealed_as(**fields))


def test_what_is_listed_stays_the_same_while_more_is_sealed_and_what_was_listed_last_can_still_be_had():
    archive = Archive(HOLD, SEALED)
    catalogue = Catalogue(archive, most_unlisted=3, most_former=1)

    def sealed(n):
        archive.add(purge(n))
        catalogue.add(purge(n))

    sealed(1)
    (first,), unlisted = catalogue.listed()
    assert unlisted == []
    for n in (2, 3, 4):
        sealed(n)
    assert catalogue.listed() == ([first], [purge(2), purge(3), purge(4)])
    sealed(5)
    (second,), unlisted = catalogue.listed()
    assert second.last == 5 and unlisted == [] and second.digest != first.digest
    assert slice_codec.decode_row(first, catalogue.body(first.digest)).last == 1
    for n in range(6, 10):
        sealed(n)
    (third,), _ = catalogue.listed()
    assert catalogue.body(first.digest) is None and catalogue.body(second.digest) is not None
    catalogue.forget()
    assert catalogue.listed() == ([third], [])  # nothing was added: the same bytes


# ---- a router takes a slice over


def test_a_slice_without_a_column_of_its_own_goes_into_a_later_one_and_binds_there():
    guard = Guard(TERMS._replace(hold=24 * SECOND))
    guard.granted(0, 1 << 60)
    length = guard.index.objects.sealed.slices.length
    for span in range(1, 60):
        archive = Archive(24 * SECOND, SEALED)
        archive.add(purge(span, what=f"n{span}", at=span * length + 5))
        (one,) = archive.live()
        for _ in guard.adopt(60 * length, one.state()):
            pass
    sealed = guard.index.objects.sealed
    assert len(sealed.slices) <= 32
    for span in range(1, 60):
        assert guard.index.newest("clip", f"n{span}", "1", ()) >= span * length + 5


def test_slices_of_another_hold_stand_in_the_order_of_their_times():
    """After the operators changed the hold, those of before are still dropped, and stretches begin anew."""
    for former, hold in ((24 * SECOND, 240 * SECOND), (240 * SECOND, 24 * SECOND)):
        before, after = Archive(former, SEALED), Archive(hold, SEALED)
        for n in range(1, 500):
            before.add(purge(n, at=n * SECOND))
        guard = Guard(TERMS._replace(hold=hold))
        guard.granted(0, 1 << 60)
        for one in before.live():
            after.merge(one.state())
            for _ in guard.adopt(500 * SECOND, one.state()):
                pass
        assert all(one.bound // after.length == one.key.span for one in after.live())
        sealed = guard.index.objects.sealed.slices
        spans = [one.span for one in sealed.live()]
        assert spans == sorted(spans) and spans[-1] == 499 * SECOND // sealed.length
        for n in range(500, 1_500):
            guard.told(n * SECOND, purge(n, at=n * SECOND))
        assert guard.index.newest("clip", "o400", "1", ()) == 0 and len(sealed) <= 26


def test_a_slice_that_is_dropped_while_it_is_merged_leaves_nothing_behind():
    guard = Guard(TERMS._replace(hold=24 * SECOND, most_sealed=3_000_000))
    guard.granted(0, 1 << 60)
    archive = Archive(24 * SECOND, SEALED)
    archive.add(purge(1, what="gone", at=SECOND))
    (one,) = archive.live()
    steps = guard.adopt(2 * SECOND, one.state())
    next(steps)
    for at in range(30, 400):
        guard.told(at * SECOND, purge(at, what=f"x{at}", at=at * SECOND))
    for _ in steps:
        pass
    assert guard.index.newest("clip", "gone", "1", ()) == 0


def test_a_slice_of_tags_binds_objects_whose_tags_are_not_known():
    guard = Guard(TERMS)
    archive = Archive(HOLD, SEALED)
    archive.add(purge(7, types.TAG, "red", at=HOLD))
    (one,) = archive.live()
    for _ in guard.adopt(2 * HOLD, one.state()):
        pass
    assert (
        guard.index.newest("clip", "a", "1", None) >= HOLD > guard.index.newest("clip", "a", "1", ("blue",))
    )
    assert guard.latest == guard.unleased == 2 * HOLD


def test_a_state_says_all_that_a_slice_holds():
    state = state_of()
    assert isinstance(state, SliceState) and state.lengths == (*range(1, 25), 32)
    assert (state.last, state.keys, state.bound) == (40, 40, 3 * Archive(HOLD, SEALED).length + 39)
