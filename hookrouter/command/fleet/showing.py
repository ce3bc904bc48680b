"""The commands fleet status, members, explain and owners: the keepers' views of the fleet."""

import json
import time

import click

from ...errors.commands import KeepersUnreachable
from .. import FAILED, site_option
from ..shown import table
from . import fleet, json_option
from .queries import find_leader, fleet_section, query_keepers, query_status


@fleet.command()
@site_option
@json_option
def status(site_file, as_json):
    """Whether there is a majority, who leads, and what is wrong in words. Exit code 1 without a leader.

    Example: hookrouter fleet status --site site.ini
    """
    section = fleet_section(site_file)
    found = query_status(section)
    leader = find_leader(found)
    problems = [f"{name} does not answer" for name in section["keepers"] if name not in found]
    problems += [f"{name}: {row['aside']}" for name, row in found.items() if row["aside"]]
    problems += [f"{name} cannot write its store" for name, row in found.items() if row["state"] == "broken"]
    if leader is not None:
        problems += [f"{row[0]} has no owner" for row in leader["duties"] if row[1] is None or not row[4]]
    if as_json:
        print(
            json.dumps(
                {
                    "leader": leader and leader["keeper"],
                    "term": leader and leader["term"],
                    "keepers": found,
                    "wrong": problems,
                }
            )
        )
    else:
        answer = f"{len(found)} of {len(section['keepers'])} keepers answer"
        print(
            f"{leader['keeper']} leads in term {leader['term']}, {answer}, {len(leader['duties'])} duties, "
            f"{len(leader['members'])} members"
            if leader
            else f"no leader: {answer}, duties stand still"
        )
        for line in problems:
            print(line)
    if leader is None:
        raise SystemExit(FAILED) if as_json else KeepersUnreachable("no keeper leads")


@fleet.command()
@site_option
@json_option
@click.option("--watch", is_flag=True, help="Again each second, until it is ended.")
def members(site_file, as_json, watch):
    """Who is in the fleet, as the keepers see it, and whether each of their views has settled. Exit code 1
    where no keeper answers.

    Example: hookrouter fleet members --site site.ini
    """
    from ...decisions.owners import protocol

    section = fleet_section(site_file)
    if watch:
        # A reactor runs only once in a process, so each poll is a command of its own.
        import subprocess
        import sys

        try:
            while True:
                command = [sys.executable, "-m", "hookrouter", "fleet", "members", "--site", site_file]
                command += ["--json"] if as_json else []
                print(subprocess.run(command, capture_output=True, text=True).stdout, flush=True)
                time.sleep(1)
        except KeyboardInterrupt:
            return
    found = query_keepers(
        section, lambda client_name, generation: protocol.RosterRequest(f"{client_name}#{generation}/1"), True
    )
    if not found:
        raise KeepersUnreachable("no keeper answers")
    if as_json:
        print(json.dumps(found))
        return
    for name, row in sorted(found.items()):
        settled = (
            "not settled" if row["settled_ms"] is None else f"settled for {row['settled_ms'] / 1000:.1f} s"
        )
        print(
            f"{name}: {row['alive']} members, {settled}, view {row['digest']}"
            + (f", slow itself ({row['slow_itself']})" if row["slow_itself"] else "")
            + "".join(f", another process named {twin}" for twin in row["twins"])
        )
    fullest = max(found.values(), key=lambda row: row["alive"])
    table(
        ("member", "state", "zone", "role", "address", "version", "incarnation", "life"),
        [(row[0], row[7], row[3], row[4], row[2], row[5], row[6], row[1]) for row in fullest["members"]],
    )


@fleet.command()
@click.argument("name")
@site_option
@json_option
def explain(name, site_file, as_json):
    """What each keeper thought of a member, since when, why, and on whose word.

    Example: hookrouter fleet explain k2 --site site.ini
    """
    from ...decisions.owners import protocol

    found = query_keepers(
        fleet_section(site_file),
        lambda client_name, generation: protocol.RosterRequest(f"{client_name}#{generation}/1", name),
        True,
    )
    rows = sorted(
        (wall_ms, reporter, *rest) for reporter, history in found.items() for wall_ms, *rest in history
    )
    if not rows:
        raise KeepersUnreachable(f"no keeper has heard of {name}" if found else "no keeper answers")
    if as_json:
        names = ("at_ms", "teller", "life", "before", "state", "incarnation", "why", "by")
        print(json.dumps([dict(zip(names, row)) for row in rows]))
        return
    table(
        ("at", "teller", "life", "was", "is", "inc.", "why", "by"),
        [
            (
                f"{time.strftime('%H:%M:%S', time.localtime(row[0] / 1000))}.{row[0] % 1000:03d}",
                *row[1:3],
                row[3] or "",
                *row[4:7],
                ",".join(row[7]),
            )
            for row in rows
        ],
    )


@fleet.command()
@site_option
@json_option
def owners(site_file, as_json):
    """Each duty's owner, number, last step and time left, as the leader has it.

    Example: hookrouter fleet owners --site site.ini --json
    """
    leader = find_leader(query_status(fleet_section(site_file)))
    if leader is None:
        raise KeepersUnreachable("no keeper leads; hookrouter fleet status says why")
    rows = leader["duties"]
    if as_json:
        print(
            json.dumps(
                [
                    dict(zip(("duty", "owner", "number", "step", "left_ms"), (*row[:4], (row[4] or 0) / 10)))
                    for row in rows
                ]
            )
        )
    else:
        table(
            ("duty", "owner", "number", "step", "left ms"),
            [(*row[:4], round((row[4] or 0) / 10)) for row in rows],
        )
