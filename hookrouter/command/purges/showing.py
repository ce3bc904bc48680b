"""purges status and list: what is in effect, and who is behind."""

import json
import sys

import click

from ...errors.commands import UsageError
from .. import sections_of, site_option
from ..shown import table
from . import purges
from .calls import Desk, good
from .formats import behind, clock, dated


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
        except InvalidValue as wrong:
            raise UsageError(f"--at: {wrong}") from None
    desk = Desk(sections, address)
    facts = good(desk.call("GET", f"/v1/purges/{number}" if number else "/v1/status"))
    if as_json:
        print(json.dumps(facts))
    elif number:
        print(
            f"{facts['number']}: {facts['sort']} {facts['what']}, by {facts['key']}, "
            f"accepted {clock(facts['accepted_ms'])}, "
            + (
                f"in effect since {clock(facts['in_effect_ms'])}{' at the latest' if facts['by'] else ''}"
                if facts["in_effect_ms"]
                else f"in effect by {clock(facts['latest_ms'])} at the latest, behind: {behind(facts)}"
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
def newest(site_file, last, as_json):
    """The newest purges, by whom, and from when each is in effect: those of before a restart too.

    Example: hookrouter purges list --site site.ini --last 5
    """
    found = good(Desk(sections_of(site_file, "purges")).call("GET", f"/v1/purges?last={last}"))
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
                dated(row["accepted_ms"]),
                ("by " if row["by"] else "") + clock(row["in_effect_ms"])
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
