"""trace: what routers decided, read back from their traces."""

import json
import os
import sys

import click

from ..errors import HookrouterError
from ..errors.commands import FileUnavailable, TraceNotReplayable
from ..errors.stores import NoTraceFound, UnreadableTrace
from ..terms import SECOND
from . import FAILED, ended_by
from .shown import table


@click.group()
def trace():
    """Read the traces of decisions that routers leave where [trace] is on.

    Example: hookrouter trace account traces/
    """


def found(paths):
    """Segments of files and folders, those of one router in their order."""
    from ..stores.trace_log import list_segments

    files = []
    for path in paths:
        files += [path for _, path in list_segments(path)] if os.path.isdir(path) else [path]
    if not files:
        raise NoTraceFound(
            f"{', '.join(paths)}: no traces there; " "wanted are NAME.NUMBER.trace or folders of them"
        )
    return files


def rows(files):
    """(router's name, Header) for each life, then (name, Row) a line; faults go to standard error.

    A life has a header in each of its segments: the first one is told.
    """
    from ..stores.trace_log import read_lines
    from ..trace import read_header, read_row

    lives = {}  # name -> when its life began
    for path in files:
        name, bad = None, 0
        try:
            for line in read_lines(path):
                try:
                    if name is None:
                        header = read_header(line)
                        name = header.router
                        if lives.get(name) != header.began:
                            lives[name] = header.began
                            yield name, header
                    else:
                        yield name, read_row(line)
                except UnreadableTrace as wrong:
                    if name is None:
                        raise UnreadableTrace(f"{path}: {wrong}") from None
                    bad += 1
        except HookrouterError as wrong:
            ended_by(wrong)
        except OSError as wrong:
            ended_by(FileUnavailable(f"{path}: {wrong.strerror}"))
        if bad:
            print(f"hookrouter: {path}: {bad} lines cannot be read, left out", file=sys.stderr)


paths_argument = click.argument("paths", nargs=-1, required=True, type=click.Path(exists=True))
json_option = click.option("--json", "as_json", is_flag=True, help="JSON on standard output.")


@trace.command()
@paths_argument
@click.option("--lookup", metavar="ID", help="Only the lookup with this id of the client's.")
@click.option("--cache", metavar="NAME", help="Only decisions that concern this cache.")
@click.option("--last", type=click.IntRange(1), help="So many of the last.")
@json_option
def show(paths, lookup, cache, last, as_json):
    """Decisions as they were made, one a line.

    Example: hookrouter trace show traces/n3.00000001.trace --lookup 9b1f03aa5c7e2d41
    """
    from collections import deque

    wanted, kept = set(), deque(maxlen=last)
    for name, row in rows(found(paths)):
        if not hasattr(row, "event"):
            began = row.began
            wanted = {number for number in wanted if number[0] != name}
            continue
        if lookup is not None:
            number = name, row.fields[0] if row.fields else None
            if row.event == "Lookup":  # numbers are used again
                wanted.discard(number)
                if row.ref == lookup:
                    wanted.add(number)
            named = any(
                (name, fields[0]) in wanted
                for word, fields, _ in row.effects
                if word in ("Ask", "Obtain", "Nack", "Fail", "Give")
            )
            if not named and (row.event not in ("Lookup", "SendEnd", "ClientGone") or number not in wanted):
                continue
        if (
            cache is not None
            and cache not in row.fields
            and not any(cache in fields for _, fields, _ in row.effects)
        ):
            continue
        kept.append((name, began, row))
        if last is None:
            shown(*kept.popleft(), as_json)
    for entry in kept:
        shown(*entry, as_json)


def shown(name, began, row, as_json):
    if as_json:
        print(json.dumps([name, *row]))
        return
    fields = " ".join(str(field) for field in row.fields[:8])
    said = "; ".join(
        f"{word} {' '.join(str(field) for field in fields[1:])}"
        + (
            f" (out {belief[0]} of {bound(belief[1])}, feeding {belief[2]} of {bound(belief[3])})"
            if belief
            else ""
        )
        for word, fields, belief in row.effects
        if word != "SetAlarm"
    )
    print(
        f"{(row.at - began) / SECOND:10.4f} {name} {row.event} {row.ref or ''} {fields[:120]}"
        f" -> {said or '-'}"
    )


def bound(window):
    return "any" if window is None else f"{window:.2f}"


@trace.command()
@paths_argument
@click.option("--step", type=click.IntRange(1, 3600), default=5, help="Seconds in one row of the course.")
@json_option
def account(paths, step, as_json):
    """Where the utility went, over all routers: by time, by kind, by cause.

    Example: hookrouter trace account traces/ --step 5
    """
    from ..trace import Account

    made = Account()
    for name, row in rows(found(paths)):
        if hasattr(row, "event"):
            made.add(name, row)
        else:
            made.begin(row)
    if not made.ended_lookups:
        nothing = NoTraceFound("no lookup has its end in these traces")
        nothing.exit_code = FAILED
        raise nothing
    course, kinds, lost, sends, beliefs, sizes = (
        made.by_second(step),
        made.by_kind(),
        made.lost(),
        made.sends(),
        made.by_load(),
        made.by_size(),
    )
    if as_json:
        print(
            json.dumps(
                {
                    "lookups": len(made.ended_lookups),
                    "rows": made.rows,
                    "skipped": made.skipped,
                    "course": course,
                    "kinds": kinds,
                    "lost": [[*key, count, share] for key, count, share in lost],
                    "sends": [[*key, *row] for key, row in sends.items()],
                    "beliefs": beliefs,
                    "sizes": sizes,
                }
            )
        )
        return
    percent = lambda share: f"{100 * share:.1f}"  # noqa: E731
    words = ("in budget", "late", "nacked", "failed", "left")
    print(f"{len(made.ended_lookups)} lookups, {made.rows} decisions")
    table(
        ("from s", "lookups", *words, "utility %", "sends"),
        [
            (second, count, *(percent(ends[word]) for word in words), percent(worth), f"{tries:.2f}")
            for second, count, ends, worth, tries in course
        ],
    )
    table(
        ("kind", "lookups", *words, "utility %"),
        [
            (kind, count, *(percent(ends[word]) for word in words), percent(worth))
            for kind, (count, ends, worth) in kinds.items()
        ],
    )
    table(
        ("kind", "lookups", "answered %", "of it the largest tenth", "the next fifth"),
        [
            (kind, count, percent(whole), f"{largest:.2f}", f"{after:.2f}")
            for kind, (count, whole, largest, after) in sizes.items()
        ],
    )
    table(
        ("kind", "end", "cause", "lookups", "% of all utility"),
        [(*key, count, f"{100 * share:.2f}") for key, count, share in lost[:20]],
    )
    table(
        ("sends", "ended", "count", "median ms"),
        [(*key, count, f"{middle / 10:.0f}") for key, (count, middle) in sends.items()],
    )
    table(
        ("out there of all routers", "sends", "own out", "window", "in budget %"),
        [
            (f"{least} to {most}", count, f"{own:.2f}", bound(window), percent(good))
            for least, most, count, own, window, good in beliefs
        ],
    )


@trace.command()
@paths_argument
@json_option
def replay(paths, as_json):
    """Make the decisions again by this build, from each router's start, and show where they differ.

    Example: hookrouter trace replay traces/
    """
    from ..trace import Replay

    made, lives = {}, []
    for name, row in rows(found(paths)):
        if not hasattr(row, "event"):
            made[name] = Replay(row)
            lives.append((name, made[name]))
            if row.guarded:
                print(
                    f"hookrouter: {name}: purges of the fleet were on; what they refused will differ",
                    file=sys.stderr,
                )
            continue
        try:
            made[name].play(row)
        except (KeyError, TypeError, IndexError, AttributeError) as wrong:
            raise TraceNotReplayable(
                f"{name}: a {row.event} at {row.at} that this build cannot play: {wrong!r}; "
                "wanted is the trace of a whole life, from its first segment on"
            ) from None
    if as_json:
        print(
            json.dumps(
                [
                    {"router": name, "decisions": life.rows, "different": life.different}
                    for name, life in lives
                ]
            )
        )
    else:
        table(
            ("router", "decisions", "different"), [(name, life.rows, life.different) for name, life in lives]
        )
        for name, life in lives:
            for row, effects in life.differences[:3]:
                print(
                    f"{name} at {row.at}, {row.event} {row.fields[:3]}: was "
                    f"{[effect[:2] for effect in row.effects]}, is now {effects}"[:400]
                )
    if any(life.different for _, life in lives):
        raise SystemExit(FAILED)
