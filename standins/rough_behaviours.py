"""What one connection of a rough client does: a generator of bytes to write, or of seconds to wait.

After the last step the connection stays open until the router ends it.
"""

import random
from collections.abc import Callable, Iterator

from . import client_frames as frames

Step = bytes | float
Behaviour = Callable[[random.Random], Iterator[Step]]

SILENT_PART, LARGE_PART = 9, 7  # parts that stand-in caches never answer, and answer with a long body
MAX_OPEN_CALLS = 32  # of one connection, by the protocol
LONGEST_BODY = bytes(48_000)  # of a write, by the protocol
NEARLY_LARGEST = frames.LARGE_FRAME - frames.ARGUMENTS_ROOM
BATCH = 200  # small messages written at a time
REPEATS = 8
PAUSE = 0.05  # seconds between large calls


def write_slowly(dice: random.Random) -> Iterator[Step]:
    """Writes a large call in pieces of a byte to some kilobytes."""
    data = frames.execute(frames.lookup_fields(dice), 1, bytes(60_000))
    while data:
        size = dice.choice((1, 100, 1_000, 4_000))
        yield data[:size]
        data = data[size:]
        yield dice.choice((0.0, 0.005, 0.02))


def stop_half_way(dice: random.Random) -> Iterator[Step]:
    """Writes a large call up to any place and then nothing."""
    data = frames.execute(frames.lookup_fields(dice), 1, bytes(dice.choice((48_000, 60_000, 65_000))))
    yield data[: dice.randrange(1, len(data))]


def half_of_many_fields(dice: random.Random) -> Iterator[Step]:
    """Writes most of a call of very many short fields."""
    data = frames.many_fields(NEARLY_LARGEST)
    yield data[: dice.randrange(len(data) // 2, len(data))]


def whole_of_many_fields(dice: random.Random) -> Iterator[Step]:
    """Writes whole calls of very many short fields, one after another."""
    for _ in range(REPEATS):
        yield frames.many_fields(dice.choice((1_000, 20_000, 40_000, NEARLY_LARGEST)))
        yield PAUSE


def wide_values(dice: random.Random) -> Iterator[Step]:
    """Writes calls with wide values of every type."""
    for _ in range(REPEATS):
        yield frames.wide_value(dice.choice(tuple(frames.SHORT_VALUES)), NEARLY_LARGEST)
        yield PAUSE


def unsound_lengths(dice: random.Random) -> Iterator[Step]:
    """Announces a frame longer than the bound and writes it."""
    size = dice.choice((65_536, 96_000, 130_048, 261_120, 360_000))
    data = frames.execute(frames.lookup_fields(dice), 1, bytes(size))
    while data:
        yield data[:16_384]
        data = data[16_384:]
        yield 0.005


def leave_unread(dice: random.Random) -> Iterator[Step]:
    """Asks for large objects, again and again, and reads no answer."""
    seqid = 0
    while True:
        for _ in range(MAX_OPEN_CALLS):
            seqid += 1
            yield frames.execute(frames.lookup_fields(dice, LARGE_PART), seqid)
        yield 0.3


def stay_silent(dice: random.Random) -> Iterator[Step]:
    """Connects and says nothing."""
    yield 60.0


def hold_bodies(dice: random.Random) -> Iterator[Step]:
    """Makes as many calls as are allowed, each with a long body, of objects that are never answered."""
    for seqid in range(1, MAX_OPEN_CALLS + 1):
        yield frames.execute(frames.lookup_fields(dice, SILENT_PART, allow_ms=3_000), seqid, LONGEST_BODY)


def hold_calls(dice: random.Random) -> Iterator[Step]:
    """Makes as many calls as are allowed, of objects that are never answered, and again after these."""
    seqid = 0
    while True:
        calls = []
        for _ in range(MAX_OPEN_CALLS):
            seqid += 1
            calls.append(frames.execute(frames.lookup_fields(dice, SILENT_PART, allow_ms=2_000), seqid))
        yield b"".join(calls)
        yield 2.2


def flood_of_unsound_calls(dice: random.Random) -> Iterator[Step]:
    """Small calls of ever new methods and without fields, at full speed."""
    seqid = 0
    while True:
        batch = []
        for _ in range(BATCH):
            seqid += 1
            name = dice.choice((b"%08x" % dice.getrandbits(32), b"check", b"execute", b""))
            batch.append(frames.call_of_nothing(name, seqid))
        yield b"".join(batch)


def flood_of_new_names(dice: random.Random) -> Iterator[Step]:
    """Sound lookups under ever new ids and objects, at full speed."""
    seqid = 0
    while True:
        batch = []
        for _ in range(BATCH):
            seqid += 1
            batch.append(frames.execute(frames.lookup_fields(dice), seqid))
        yield b"".join(batch)


BEHAVIOURS: dict[str, Behaviour] = {
    behaviour.__name__: behaviour
    for behaviour in (
        write_slowly,
        stop_half_way,
        half_of_many_fields,
        whole_of_many_fields,
        wide_values,
        unsound_lengths,
        leave_unread,
        stay_silent,
        hold_bodies,
        hold_calls,
        flood_of_unsound_calls,
        flood_of_new_names,
    )
}
