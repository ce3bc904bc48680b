"""The commands purges status and list: which purges are in effect, and which members are behind."""

import json
import sys

import click

from ...errors.commands import UsageError
from .. import sections_of, site_option
from ..shown import table
from . import purges
from .calls import Desk, require_ok
from .formats import format_behind, format_time, format_timestamp


@purges.command()
@site_option
@click.argument("number", required=False)
@click.option("--at", metavar="HOST:PORT", help="A relay, in place of the desk.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def status(site_file, number, at, as_json):
    """The desk's members and positions, or from when one purge is in effect and who is behind.

    The part of its number behind the point is enough.

    Example: hookrouter purges status --site site.ini 42
    """
    sections = sections_of(site_file, "purges")
    address = None
    if at:
        from ...site import InvalidValue
        from ...site import address as read_address

        try:
            address = read_address(at, "")
        except InvalidValue as error:
            raise UsageError(f"--at: {error}") from None
    desk = Desk(sections, address)
    facts = require_ok(desk.call("GET", f"/v1/purges/{number}" if number else "/v1/status"))
    if as_json:
        print(json.dumps(facts))
    elif number:
        print(
            f"{facts['number']}: {facts['sort']} {facts['what']}, by {facts['key']}, "
            f"accepted {format_time(facts['accepted_ms'])}, "
            + (
                f"in effect since {format_time(facts['in_effect_ms'])}"
                f"{' at the latest' if facts['by'] else ''}"
                if facts["in_effect_ms"]
                else f"in effect by {format_time(facts['latest_ms'])} at the latest, "
                f"behind: {format_behind(facts)}"
            )
        )
    else:
        print(
            f"{facts['role']}: epoch {facts['epoch']}, newest {facts['newest']}, {facts['live']} live, "
            f"{facts['followers']} followers, {facts['undone']} not in effect yet"
        )
        table(
            ("member", "state", "applied", "of all below", "relay", "heard ms ago"),
            [
                (
                    row["name"],
                    row["state"],
                    row["n"],
                    row["all"],
                    "yes" if row["relay"] else "",
                    row["heard_ms_ago"],
                )
                for row in facts["members"]
            ],
        )


@purges.command("list")
@site_option
@click.option("--last", type=click.IntRange(1, 1_000), default=20, help="So many of the newest.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
def list_purges(site_file, last, as_json):
    """The newest purges, by whom, and from when each is in effect: those of before a restart too.

    Example: hookrouter purges list --site site.ini --last 5
    """
    found = require_ok(Desk(sections_of(site_file, "purges")).call("GET", f"/v1/purges?last={last}"))
    rows, more = found["purges"], found["of"] - len(found["purges"])
    if as_json:
        print(json.dumps({"purges": rows, "of": found["of"]}))
        return
    table(
        ("number", "what", "by", "accepted", "in effect", "after ms"),
        [
            (
                row["number"],
                f"{row['sort']} {row['what']}",
                row["key"],
                format_timestamp(row["accepted_ms"]),
                ("by " if row["by"] else "") + format_time(row["in_effect_ms"])
                if row["in_effect_ms"]
                else "not yet",
                row["in_effect_ms"] - row["accepted_ms"] if row["in_effect_ms"] else "",
            )
            for row in rows
        ],
    )
    if more > 0:
        print(
            f"{more} more are kept that are older"
            + (
                f"; --last {min(1_000, found['of'])} shows {'them' if found['of'] <= 1_000 else 'more'}"
                if last < 1_000
                else ""
            ),
            file=sys.stderr,
        )
