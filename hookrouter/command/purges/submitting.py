"""The command purges submit: purges given by options or a file, optionally waiting until in effect."""

import getpass
import json
import os
import socket
import sys
import time
import uuid

import click

from ...errors.commands import FileUnavailable, InvalidInput, PurgeNotInEffect, UsageError
from .. import sections_of, site_option
from . import purges
from .calls import Desk, require_ok
from .formats import format_behind, format_time, number_range

POLL_INTERVAL = 0.05  # seconds between checks whether a purge is in effect

KINDS = ("object", "group", "tag", "prefix", "glob", "regex")


def kind_options(command):
    """Adds an option for each kind of purge."""
    for kind in reversed(KINDS):
        example = {
            "object": "7f3a9c21e0b4d655",
            "group": "17",
            "tag": "winter-prices",
            "prefix": "clip/7f",
            "glob": "page/*ab",
            "regex": "(clip|page)/0[0-9]+",
        }[kind]
        command = click.option(f"--{kind}", multiple=True, metavar="NAME", help=f"As in {example}.")(command)
    return command


@purges.command()
@site_option
@kind_options
@click.option("--pattern", multiple=True, metavar="GLOB", help="The same as --glob.")
@click.option("--from-file", metavar="FILE", help="A purge a line: SORT NAME; - for standard input.")
@click.option("--everything", is_flag=True, help="A pattern may match every name.")
@click.option("--key", help="The same for all tries of one submission; made up without it.")
@click.option("--wait", is_flag=True, help="Until all are in effect.")
@click.option(
    "--for", "span", type=click.FloatRange(0.1, 3600), default=60.0, help="Seconds to wait at most."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def submit(site_file, pattern, from_file, everything, key, wait, span, as_json, **kinds):
    """Purge objects, groups, tags or patterns in every depot, in one submission.

    Names that patterns are matched with are KIND/OBJECT. All are accepted, or none.

    Example: hookrouter purges submit --site site.ini --tag winter-prices --group 17 --wait
    """
    sections = sections_of(site_file, "purges")
    items = [{"sort": kind, "what": what} for kind in KINDS for what in kinds[kind]]
    items += [{"sort": "glob", "what": what} for what in pattern]
    items += read_items(from_file) if from_file else []
    if not items:
        raise UsageError("nothing to purge; name an object, group, tag or pattern (see --help)")
    desk = Desk(sections)
    body = {"key": key or generate_key(), "purges": items, "everything": everything}
    accepted = require_ok(desk.call("POST", "/v1/purges", body))
    numbers = [row["number"] for row in accepted["purges"]]
    facts = wait_until_in_effect(desk, numbers, span, as_json) if wait else None
    if as_json:
        print(
            json.dumps(
                {
                    "numbers": numbers,
                    "repeated": accepted["repeated"],
                    "key": body["key"],
                    "in_effect_ms": facts and facts["in_effect_ms"],
                }
            )
        )
    else:
        print(f"{'accepted before' if accepted['repeated'] else 'accepted'}: {number_range(numbers)}")
        if facts and facts["in_effect_ms"]:
            elapsed = facts["in_effect_ms"] - facts["accepted_ms"]
            print(f"in effect since {format_time(facts['in_effect_ms'])}, {elapsed} ms after it was accepted")
    if wait and not facts["in_effect_ms"]:
        raise PurgeNotInEffect(
            f"not in effect after {span:g} s; it will be by {format_time(facts['latest_ms'])} at the "
            f"latest, behind: {format_behind(facts)}"
        )


def read_items(name):
    """Reads purges from a file, one per line; - is standard input."""
    try:
        with sys.stdin if name == "-" else open(name, encoding="utf-8") as file:
            lines = file.readlines()
    except UnicodeDecodeError:
        raise InvalidInput(f"{name}: not UTF-8 text") from None
    except OSError as error:
        raise FileUnavailable(f"{name}: {error.strerror}") from None
    items = []
    for number, line in enumerate(lines, 1):
        kind, _, what = line.strip().partition(" ")
        if kind and not kind.startswith("#"):
            if kind not in KINDS or not what:
                raise InvalidInput(
                    f"line {number}: wanted is SORT NAME, and a sort is one of {', '.join(KINDS)}"
                )
            items.append({"sort": kind, "what": what.strip()})
    return items


def generate_key():
    """Returns a unique key that names the user and host; the desk stores it and `list` shows it."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):  # a user without a name
        user = str(os.getuid())
    user = "".join(c for c in f"{user}@{socket.gethostname()}" if c.isprintable())
    return f"{user[:80]}/{uuid.uuid4().hex}"


def wait_until_in_effect(desk, numbers, span, quiet):
    """Polls until the last purge is in effect or the time is over; returns its data.

    Purges take effect in order, so all earlier ones are in effect then.
    """
    deadline, show_progress = time.monotonic() + span, sys.stderr.isatty() and not quiet
    while True:
        facts = require_ok(desk.call("GET", f"/v1/purges/{numbers[-1]}"))
        if show_progress:
            missing = 0 if facts["in_effect_ms"] else len(facts["behind"])
            print(
                f"\r{facts['members'] - missing} of {facts['members']} members have it ",
                end="",
                file=sys.stderr,
            )
        if facts["in_effect_ms"] or time.monotonic() >= deadline:
            if show_progress:
                print(file=sys.stderr)
            return facts
        time.sleep(POLL_INTERVAL)
