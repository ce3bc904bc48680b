"""fleet status, members, explain, owners: what the keepers say of the fleet."""

import json
import time

import click

from ...errors.commands import KeepersUnreachable
from .. import FAILED, site_option
from ..shown import table
from . import fleet, json_option
from .queries import ask, leading, looked, section_of


@fleet.command()
@site_option
@json_option
def status(site_file, as_json):
    """Whether there is a majority, who leads, and what is wrong in words. Exit code 1 without a leader.

    Example: hookrouter fleet status --site site.ini
    """
    section = section_of(site_file)
    found = looked(section)
    leader = leading(found)
    wrong = [f"{name} does not answer" for name in section["keepers"] if name not in found]
    wrong += [f"{name}: {row['aside']}" for name, row in found.items() if row["aside"]]
    wrong += [f"{name} cannot write its store" for name, row in found.items() if row["state"] == "broken"]
    if leader is not None:
        wrong += [f"{row[0]} has no owner" for row in leader["duties"] if row[1] is None or not row[4]]
    if as_json:
        print(
            json.dumps(
                {
                    "leader": leader and leader["keeper"],
                    "term": leader and leader["term"],
                    "keepers": found,
                    "wrong": wrong,
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
        for line in wrong:
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

    section = section_of(site_file)
    if watch:
        # A reactor runs once in a process: each look is a command of its own.
        import subprocess
        import sys

        try:
            while True:
                again = [sys.executable, "-m", "hookrouter", "fleet", "members", "--site", site_file]
                again += ["--json"] if as_json else []
                print(subprocess.run(again, capture_output=True, text=True).stdout, flush=True)
                time.sleep(1)
        except KeyboardInterrupt:
            return
    found = ask(section, lambda who, life: protocol.RosterRequest(f"{who}#{life}/1"), True)
    if not found:
        raise KeepersUnreachable("no keeper answers")
    if as_json:
        print(json.dumps(found))
        return
    for name, row in sorted(found.items()):
        said = "not settled" if row["settled_ms"] is None else f"settled for {row['settled_ms'] / 1000:.1f} s"
        print(
            f"{name}: {row['alive']} members, {said}, view {row['digest']}"
            + (f", slow itself ({row['slow_itself']})" if row["slow_itself"] else "")
            + "".join(f", another process named {twin}" for twin in row["twins"])
        )
    best = max(found.values(), key=lambda row: row["alive"])
    table(
        ("member", "state", "zone", "role", "address", "version", "incarnation", "life"),
        [(row[0], row[7], row[3], row[4], row[2], row[5], row[6], row[1]) for row in best["members"]],
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

    found = ask(
        section_of(site_file), lambda who, life: protocol.RosterRequest(f"{who}#{life}/1", name), True
    )
    rows = sorted((at, teller, *rest) for teller, told in found.items() for at, *rest in told)
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
    leader = leading(looked(section_of(site_file)))
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
