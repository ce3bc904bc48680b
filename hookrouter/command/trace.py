"""The group trace: shows, accounts and replays the decisions recorded in traces."""

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


def segment_files(paths):
    """Returns the trace segments in files and folders, those of one router in order."""
    from ..stores.trace_log import list_segments

    files = []
    for path in paths:
        files += [path for _, path in list_segments(path)] if os.path.isdir(path) else [path]
    if not files:
        raise NoTraceFound(
            f"{', '.join(paths)}: no traces there; " "wanted are NAME.NUMBER.trace or folders of them"
        )
    return files


def read_rows(files):
    """Yields (router name, Header) for each run of a router, then (name, Row) for each line.

    A run has a header in each of its segments; only the first is given. Errors go to standard error.
    """
    from ..stores.trace_log import read_lines
    from ..trace import read_header, read_row

    runs = {}  # name -> start time of its current run
    for path in files:
        name, unreadable = None, 0
        try:
            for line in read_lines(path):
                try:
                    if name is None:
                        header = read_header(line)
                        name = header.router
                        if runs.get(name) != header.began:
                            runs[name] = header.began
                            yield name, header
                    else:
                        yield name, read_row(line)
                except UnreadableTrace as error:
                    if name is None:
                        raise UnreadableTrace(f"{path}: {error}") from None
                    unreadable += 1
        except HookrouterError as error:
            ended_by(error)
        except OSError as error:
            ended_by(FileUnavailable(f"{path}: {error.strerror}"))
        if unreadable:
            print(f"hookrouter: {path}: {unreadable} lines cannot be read, left out", file=sys.stderr)


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

    matching, matched = set(), deque(maxlen=last)
    for name, row in read_rows(segment_files(paths)):
        if not hasattr(row, "event"):
            started_at = row.began
            matching = {lookup_key for lookup_key in matching if lookup_key[0] != name}
            continue
        if lookup is not None:
            lookup_key = name, row.fields[0] if row.fields else None
            if row.event == "Lookup":  # numbers are reused
                matching.discard(lookup_key)
                if row.ref == lookup:
                    matching.add(lookup_key)
            named = any(
                (name, fields[0]) in matching
                for effect, fields, _ in row.effects
                if effect in ("Ask", "Obtain", "Nack", "Fail", "Give")
            )
            if not named and (
                row.event not in ("Lookup", "SendEnd", "ClientGone") or lookup_key not in matching
            ):
                continue
        if (
            cache is not None
            and cache not in row.fields
            and not any(cache in fields for _, fields, _ in row.effects)
        ):
            continue
        matched.append((name, started_at, row))
        if last is None:
            print_row(*matched.popleft(), as_json)
    for entry in matched:
        print_row(*entry, as_json)


def print_row(name, started_at, row, as_json):
    """Prints a decision on one line."""
    if as_json:
        print(json.dumps([name, *row]))
        return
    fields = " ".join(str(field) for field in row.fields[:8])
    effects_text = "; ".join(
        f"{effect} {' '.join(str(field) for field in fields[1:])}"
        + (
            f" (out {load_estimate[0]} of {format_bound(load_estimate[1])}, "
            f"feeding {load_estimate[2]} of {format_bound(load_estimate[3])})"
            if load_estimate
            else ""
        )
        for effect, fields, load_estimate in row.effects
        if effect != "SetAlarm"
    )
    print(
        f"{(row.at - started_at) / SECOND:10.4f} {name} {row.event} {row.ref or ''} {fields[:120]}"
        f" -> {effects_text or '-'}"
    )


def format_bound(window):
    """Formats a limit of sends in flight; None is unlimited."""
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

    totals = Account()
    for name, row in read_rows(segment_files(paths)):
        if hasattr(row, "event"):
            totals.add(name, row)
        else:
            totals.begin(row)
    if not totals.ended_lookups:
        error = NoTraceFound("no lookup has its end in these traces")
        error.exit_code = FAILED
        raise error
    course, kinds, lost, sends, beliefs, sizes = (
        totals.by_second(step),
        totals.by_kind(),
        totals.lost(),
        totals.sends(),
        totals.by_load(),
        totals.by_size(),
    )
    if as_json:
        print(
            json.dumps(
                {
                    "lookups": len(totals.ended_lookups),
                    "rows": totals.rows,
                    "skipped": totals.skipped,
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
    format_percent = lambda share: f"{100 * share:.1f}"  # noqa: E731
    outcomes = ("in budget", "late", "nacked", "failed", "left")
    print(f"{len(totals.ended_lookups)} lookups, {totals.rows} decisions")
    table(
        ("from s", "lookups", *outcomes, "utility %", "sends"),
        [
            (
                second,
                count,
                *(format_percent(ends[outcome]) for outcome in outcomes),
                format_percent(utility),
                f"{sends_per_lookup:.2f}",
            )
            for second, count, ends, utility, sends_per_lookup in course
        ],
    )
    table(
        ("kind", "lookups", *outcomes, "utility %"),
        [
            (kind, count, *(format_percent(ends[outcome]) for outcome in outcomes), format_percent(utility))
            for kind, (count, ends, utility) in kinds.items()
        ],
    )
    table(
        ("kind", "lookups", "answered %", "of it the largest tenth", "the next fifth"),
        [
            (kind, count, format_percent(whole), f"{largest:.2f}", f"{after:.2f}")
            for kind, (count, whole, largest, after) in sizes.items()
        ],
    )
    table(
        ("kind", "end", "cause", "lookups", "% of all utility"),
        [(*key, count, f"{100 * share:.2f}") for key, count, share in lost[:20]],
    )
    table(
        ("sends", "ended", "count", "median ms"),
        [(*key, count, f"{median / 10:.0f}") for key, (count, median) in sends.items()],
    )
    table(
        ("out there of all routers", "sends", "own out", "window", "in budget %"),
        [
            (f"{least} to {most}", count, f"{own:.2f}", format_bound(window), format_percent(in_budget))
            for least, most, count, own, window, in_budget in beliefs
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

    replays, runs = {}, []
    for name, row in read_rows(segment_files(paths)):
        if not hasattr(row, "event"):
            replays[name] = Replay(row)
            runs.append((name, replays[name]))
            if row.guarded:
                print(
                    f"hookrouter: {name}: purges of the fleet were on; what they refused will differ",
                    file=sys.stderr,
                )
            continue
        try:
            replays[name].play(row)
        except (KeyError, TypeError, IndexError, AttributeError) as error:
            raise TraceNotReplayable(
                f"{name}: a {row.event} at {row.at} that this build cannot play: {error!r}; "
                "wanted is the trace of a whole life, from its first segment on"
            ) from None
    if as_json:
        print(
            json.dumps(
                [
                    {"router": name, "decisions": replayed.rows, "different": replayed.different}
                    for name, replayed in runs
                ]
            )
        )
    else:
        table(
            ("router", "decisions", "different"),
            [(name, replayed.rows, replayed.different) for name, replayed in runs],
        )
        for name, replayed in runs:
            for row, effects in replayed.differences[:3]:
                print(
                    f"{name} at {row.at}, {row.event} {row.fields[:3]}: was "
                    f"{[effect[:2] for effect in row.effects]}, is now {effects}"[:400]
                )
    if any(replayed.different for _, replayed in runs):
        raise SystemExit(FAILED)
