"""Which keeper leads the log and which owns the desk, asked and changed by the program's own commands."""

import json
import subprocess
import sys
import time
from typing import NamedTuple

from hookrouter.fleet.member.records import DUTY
from standins.crowd.region_crowd import NotReady, RegionCrowd
from standins.crowd.remote import ROOT

ASKED_AT_MOST = 10  # times, for the leader and the owner of the desk
COMMAND_WITHIN = 20.0  # seconds


class Roles(NamedTuple):
    """Which keeper leads the log, and which owns the desk."""

    leader: str
    desk: str


def who_has_what(crowd: RegionCrowd) -> Roles:
    """The leader and the desk's owner; where it is one keeper, the desk is handed to another."""
    for _ in range(ASKED_AT_MOST):
        status = json.loads(_command(crowd, "status", "--json") or "{}")
        if status.get("leader") is None:
            time.sleep(0.5)
            continue
        owners = {duty: owner for duty, owner, *_ in status["keepers"][status["leader"]]["duties"]}
        owner = (owners.get(DUTY) or "").partition("#")[0]
        if owner and owner != status["leader"]:
            return Roles(status["leader"], owner)
        other = next(name for name in crowd.keepers if name != status["leader"])
        hand_over_desk(crowd, other)
        time.sleep(0.5)
    raise NotReady("no keeper but the leader has the desk")


def hand_over_desk(crowd: RegionCrowd, to: str) -> None:
    """Its owner gives it up, that keeper takes it."""
    _command(crowd, "hand-over", DUTY, "--to", to)


def _command(crowd: RegionCrowd, *words: str) -> str:
    site = crowd.layout.site("people")
    ran = subprocess.run(
        [sys.executable, "-m", "hookrouter", "fleet", *words, "--site", site],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_WITHIN,
    )
    return ran.stdout
