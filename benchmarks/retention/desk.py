"""A desk that takes a hold of purges, and what a router is given of it that starts, or lacks an hour.

The program's own decisions with the default limits, in made-up time: no socket, no disk.
"""

import gc
from collections.abc import Iterator
from random import Random
from time import perf_counter
from typing import NamedTuple

from hookrouter.purges import ledger, slice_codec, wire
from hookrouter.purges import types as w
from hookrouter.purges.retention.archive import Archive
from hookrouter.purges.submissions import Submission
from hookrouter.purges.tail import Snapshot, Tail
from hookrouter.purges.types import START, Position
from hookrouter.site import SECTIONS

from .guard_run import GAP, HOLD, RATE, guard, resident_mb
from .guard_run import START as BEGUN
from .stock import ALL_KINDS, KIND, PREFIX_DIGITS, SECOND, Mix, mix

SEED = 46
IN_ONE = 8  # purges of one submission, and of one batch
FOLD_EVERY = 10 * SECOND
AN_HOUR = 3_600 * RATE  # purges
JSON_EVENT = 40  # bytes of an event around its purges
BYTES_IN_MB = 1e6


class Hold(NamedTuple):
    """A desk after so many purges."""

    tail: Tail
    refused: int
    first_refusal: int | None  # purges that were live then
    memory_mb: float
    longest_ms: float  # of one submission: taken, written, published
    hour_ago: Position  # an hour before the end
    now: int


class Catching(NamedTuple):
    """What a follower takes over."""

    mb: float
    slices: int
    seconds: float  # of processor time, to take it in
    longest_ms: float  # of one step of that


def limits() -> ledger.Limits:
    """As an operator's file without keys states them."""
    keys = SECTIONS["desk"]
    return ledger.Limits(keys["most live"].default, keys["most patterns"].default)


def named(number: int, dice: Random, shares: Mix) -> tuple[str, str]:
    """(kind, what) of one purge, all of different names: the worst for who has to keep them."""
    name, drawn = f"{mix(number):016x}", dice.random()
    if drawn < shares.object:
        return w.OBJECT, name
    if drawn < shares.object + shares.tag:
        return w.TAG, f"t{name}"
    if drawn < shares.object + shares.tag + shares.prefix:
        return w.PREFIX, f"{KIND}/{name[:PREFIX_DIGITS]}"
    return w.GLOB, f"{KIND}/{name[:PREFIX_DIGITS]}*"


def submissions(count: int, shares: Mix) -> Iterator[tuple[int, Submission]]:
    """(time, submission) until there were so many purges."""
    dice, now = Random(SEED), BEGUN
    for first in range(0, count, IN_ONE):
        items = tuple(named(number, dice, shares) for number in range(first, first + IN_ONE))
        yield now, Submission(first, f"k{first}", items, False)
        now += GAP * IN_ONE


def hold(count: int, shares: Mix) -> Hold:
    """A desk's decisions on that many purges, each batch durable at once."""
    gc.collect()
    before = resident_mb()
    sealed = SECTIONS["purges"]["sealed"].default
    tail = Tail(HOLD, 1, archive=Archive(HOLD, sealed))
    desk, refused, first, longest = ledger.Ledger(tail, {}, limits()), 0, None, 0.0
    now, folded, hour_ago = BEGUN, BEGUN, START
    for now, submission in submissions(count, shares):
        began = perf_counter()
        effects = desk.submit(now, submission)
        if not any(isinstance(effect, ledger.Refused) for effect in effects):
            desk.written()
        longest = max(longest, perf_counter() - began)
        if any(isinstance(effect, ledger.Refused) for effect in effects):
            refused += len(submission.items)
            first = tail.live() if first is None else first
        if now - folded >= FOLD_EVERY:
            folded = now
            tail.fold(now)
            desk.folded()
        if hour_ago == START and tail.newest.n >= count - AN_HOUR:
            hour_ago = tail.newest
    gc.collect()
    return Hold(tail, refused, first, resident_mb() - before, longest * 1e3, hour_ago, now)


def catching(snapshot: Snapshot, tail: Tail, now: int) -> Catching:
    """A router that is empty takes the snapshot over."""
    keeper, longest, took = guard(), 0.0, 0.0
    exact = wire.write(wire.Event("purges", tail.epoch, purges=snapshot.purges))
    size = len(exact) + JSON_EVENT * (len(snapshot.purges) // wire.MOST_IN_EVENT + 1)
    for purge in snapshot.purges:
        keeper.told(now, purge)
    for row in snapshot.slices:
        body = tail.catalogue.body(row.digest)
        size += len(body)
        steps = keeper.adopt(now, slice_codec.decode_row(row, body))
        while True:
            began = perf_counter()
            ended = next(steps, steps) is steps
            span = perf_counter() - began
            took, longest = took + span, max(longest, span)
            if ended:
                break
    return Catching(size / BYTES_IN_MB, len(snapshot.slices), took, longest * 1e3)


def figures(count: int, shares: Mix = ALL_KINDS) -> dict[str, float | int | None]:
    """Of a desk after that many purges: refused, memory, and what followers are given."""
    made = hold(count, shares)
    began = perf_counter()
    whole = made.tail.snapshot()
    listed = perf_counter() - began
    once = catching(whole, made.tail, made.now)
    again = catching(made.tail.snapshot(made.hour_ago), made.tail, made.now)
    return {
        "refused": made.refused,
        "desk_refuses_at": made.first_refusal,
        "desk_live": made.tail.live(),
        "desk_memory_mb": round(made.memory_mb, 1),
        "desk_longest_ms": round(made.longest_ms, 2),
        "desk_listing_ms": round(listed * 1e3, 1),
        "catch_up_mb": round(once.mb, 2),
        "catch_up_slices": once.slices,
        "catch_up_s": round(once.seconds, 2),
        "catch_up_longest_ms": round(once.longest_ms, 2),
        "catch_up_repeat_mb": round(again.mb, 2),
    }
