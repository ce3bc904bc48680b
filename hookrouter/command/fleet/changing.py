"""The commands fleet drill, declare, hand-over and replace, which change the fleet."""

import click

from ...errors.commands import FleetRefused, UsageError
from .. import site_option
from . import fleet
from .queries import fleet_section, run_command


@fleet.command()
@click.argument("name")
@click.option("--fault", type=click.Choice(["kill", "stop", "cut"]), required=True)
@click.option(
    "--for",
    "span",
    type=click.FloatRange(0.5, 30.0),
    default=3.0,
    help="Seconds of a stop or cut; what follows is watched for as long again, 5 s at least.",
)
@site_option
def drill(name, fault, span, site_file):
    """Kill, stop or cut off a keeper of a fleet on this machine, and report what follows, by the second.

    Only on loopback, and a cut only where [fleet] drill is set. A killed one is left for you to start.

    Example: hookrouter fleet drill k1 --fault stop --for 3 --site site.ini
    """
    section = fleet_section(site_file)
    if name not in section["keepers"]:
        raise UsageError(f"{name} is no keeper; {', '.join(section['keepers'])} are")
    if any(not host.startswith("127.") for host, _ in section["keepers"].values()):
        raise UsageError("a drill is for a fleet on loopback; this one has other addresses")
    from .drill import run_drill

    if run_drill(section, name, fault, span):
        raise FleetRefused("the drill ended with duties that have no owner, or was not begun")


@fleet.command()
@click.argument("duty")
@site_option
def declare(duty, site_file):
    """Make a duty: some live member will own it.

    Example: hookrouter fleet declare drill/one --site site.ini
    """
    answer = run_command(site_file, "declare", [duty])
    if answer[0] != "declared":
        raise FleetRefused(f"{duty}: {answer[0]}")
    print(f"{duty} is declared")


@fleet.command("hand-over")
@click.argument("duty")
@click.option("--to", help="A member's name; without it the one that bears least.")
@site_option
def hand_over(duty, to, site_file):
    """Have a duty go to another member: its owner gives it up first.

    Example: hookrouter fleet hand-over drill/one --to k2 --site site.ini
    """
    answer = run_command(site_file, "hand-over", [duty, to])
    if answer[0] != "moving":
        raise FleetRefused(f"{duty}: {answer[0]}")
    print(f"{duty} goes to {answer[1]}")


@fleet.command()
@click.option("--add", help="A keeper that the file names and that runs: it learns first, then counts.")
@click.option("--strike", help="A keeper that shall not count any more.")
@site_option
def replace(add, strike, site_file):
    """Change who keeps: one at a time.

    Example: hookrouter fleet replace --strike k3 --site site.ini
    """
    if (add is None) == (strike is None):
        raise UsageError("one of --add NAME and --strike NAME is wanted")
    answer = run_command(site_file, "replace", [add, strike])
    if answer[0] != "changing":
        raise FleetRefused(answer[0])
    print("the change is under way; hookrouter fleet status shows it")
