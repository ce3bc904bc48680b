"""The command fleet shared: the loads known to the keepers that serve lookups."""

import json

from ...errors.commands import KeepersUnreachable
from .. import site_option
from ..shown import table
from . import fleet, json_option
from .queries import fleet_section, query_keepers


@fleet.command()
@site_option
@json_option
def shared(site_file, as_json):
    """What each keeper with [sharing] knows of its zone's loads, from whom, and how old it is. Exit code 1
    where none answers.

    Example: hookrouter fleet shared --site site.ini
    """
    from ...decisions.owners import protocol

    found = query_keepers(
        fleet_section(site_file),
        lambda client_name, generation: protocol.RosterRequest(f"{client_name}#{generation}/1"),
        True,
    )
    rows = {name: row["shared"] for name, row in sorted(found.items()) if "shared" in row}
    if not rows:
        raise KeepersUnreachable(
            "no keeper that shares answers: [sharing] is not set there, or it runs no lookups"
        )
    if as_json:
        print(json.dumps(rows))
        return
    for name, row in rows.items():
        print(
            f"{name}: zone {row['zone']}, {row['routers']} routers, {len(row['tellers'])} tell, "
            f"{row['speaker'] or 'nobody'} speaks for it"
        )
        table(("cache", "out", "a second", "age ms", "tell", "of", "doubted"), row["caches"])
