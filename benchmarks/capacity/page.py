"""The page: a template whose marked blocks are filled from the data files."""

import re
from collections.abc import Callable
from itertools import zip_longest
from pathlib import Path

from . import (
    days,
    formulas,
    lines_budget,
    lines_service,
    lookups,
    machines,
    missing,
    provenance,
    purge_work,
    ranking,
    roles_messages,
    roles_state,
    times,
)
from .errors import CapacityError, PageDiffers
from .inputs import Inputs
from .size_line import lines_table

LINES = (*lines_service.LINES, *lines_budget.LINES)
TEMPLATE = Path(__file__).with_name("page.md")
BLOCK = re.compile(r"^<!-- block: ([a-z-]+) -->$", re.M)

BLOCKS: dict[str, Callable[[Inputs], str]] = {
    "lines": lambda inputs: lines_table(LINES, inputs),
    "ranking": ranking.ranking_table,
    "missing": missing.missing_table,
    "retention": lambda inputs: missing.retention_table(),
    "unknown-tags": lambda inputs: missing.tags_text(),
    "router-budget": roles_messages.router_budget,
    "router-state": lambda inputs: roles_state.state_table(roles_state.router(), inputs),
    "router-messages": lambda inputs: roles_messages.messages_table(
        roles_messages.router(inputs), roles_messages.router_rows(inputs)
    ),
    "purge-work": purge_work.work_table,
    "held": purge_work.held_table,
    "renewals": roles_messages.renewals_text,
    "relay-state": lambda inputs: roles_state.state_table(roles_state.relay(inputs), inputs),
    "relay-messages": lambda inputs: roles_messages.messages_table(
        roles_messages.relay_traffic(inputs, inputs.followers_of_relay)
    ),
    "leader-messages": lambda inputs: roles_messages.messages_table(
        roles_messages.keeper_traffic(inputs, True)
    ),
    "follower-messages": lambda inputs: roles_messages.messages_table(
        roles_messages.keeper_traffic(inputs, False)
    ),
    "keeper-state": lambda inputs: roles_state.state_table(roles_state.keeper(), inputs),
    "desk-state": lambda inputs: roles_state.state_table(roles_state.desk(), inputs),
    "desk-messages": lambda inputs: roles_messages.messages_table(roles_messages.desk_traffic(inputs)),
    "processes": roles_messages.process_table,
    "machine": roles_messages.machine_table,
    "formulas": formulas.formulas_table,
    "times": times.times_table,
    "restarts": days.restarts_table,
    "failures": days.failures_table,
    "region": lambda inputs: days.region_table(),
    "mixes": days.mixes_table,
    "lookups": lookups.lookups_table,
    "by-machine": lookups.by_machine_table,
    "placement": lambda inputs: machines.placement_table(),
    "survival": machines.survival_table,
    "runs": lambda inputs: provenance.runs_table(inputs.scale),
    "files": provenance.runs_text,
    "slopes": provenance.slopes_table,
    "measurements": provenance.state_table,
    "assumptions": lambda inputs: provenance.assumptions_table(),
}


def render(inputs: Inputs, template: str | None = None) -> str:
    """The whole page. CapacityError names a block that the template wants and nothing fills."""
    text = TEMPLATE.read_text() if template is None else template

    def filled(match: re.Match) -> str:
        name = match[1]
        if name not in BLOCKS:
            raise CapacityError(f"page.md: the block {name!r} is not known")
        return BLOCKS[name](inputs)

    return BLOCK.sub(filled, text)


def check(page: Path, wanted: str) -> None:
    """PageDiffers names the first line that is not as it was computed."""
    found = page.read_text() if page.exists() else ""
    for number, (one, other) in enumerate(zip_longest(found.splitlines(), wanted.splitlines()), 1):
        if one != other:
            raise PageDiffers(f"{page}, line {number}: {_said(one)} stands there, {_said(other)} is computed")
    if found != wanted:
        raise PageDiffers(f"{page}: its last line does not end as it should")


def _said(line: str | None) -> str:
    return "nothing" if line is None else repr(line)
