"""The commands fleet compare, verify and import, for copies of records and their files."""

import json
import os

from ...errors.commands import CopiesDiffer, FleetRefused, KeepersUnreachable, UsageError
from ...errors.site import MissingSection
from ...errors.stores import DamagedStore, LockedStore, UnusableStore
from .. import FAILED, sections_of, site_option
from ..shown import table
from . import fleet, json_option
from .queries import fleet_section, query_keepers, query_status


@fleet.command()
@site_option
@json_option
def compare(site_file, as_json):
    """Where the keepers' copies of records differ, and which rule applies. Exit code 1 where any does.

    Example: hookrouter fleet compare --site site.ini
    """
    section = fleet_section(site_file)
    found = query_status(section)
    rows = compare_copies(found, list(section["keepers"]))
    if as_json:
        names = ("duty", "keeper", "state", "newest", "floor", "seal", "rule")
        print(json.dumps([dict(zip(names, row)) for row in rows]))
    else:
        table(("duty", "keeper", "state", "newest", "floor", "seal", "rule"), rows)
    if rows and all(row[6] == AGREED for row in rows):
        return
    if as_json:  # the JSON says so
        raise SystemExit(FAILED)
    if not found:
        raise KeepersUnreachable("no keeper answers")
    raise CopiesDiffer("not all copies are as agreed" if rows else "no keeper keeps records")


AGREED = "as agreed"


def compare_copies(found, keepers):
    """Returns a row for each duty and keeper; found: {keeper: status}.

    A copy is compared with the seal in the log that belongs to the last number of the copy.
    """
    agreed = {}
    for row in found.values():
        for duty, _, newest, seal, _ in row.get("orders", ()):
            agreed.setdefault(duty, {})[newest] = seal
    rows = []
    for duty, seals in sorted(agreed.items()):
        newest_agreed = max(seals)
        for name in keepers:
            copy = next((copy for copy in found.get(name, {}).get("copies", ()) if copy[0] == duty), None)
            if copy is None:
                rule = "keeps no copy: give it [purges] and [desk]"
                rule = rule if name in found else "does not answer: start it"
                rows.append((duty, name, "", "", "", "", rule))
                continue
            _, state, newest, floor, seal = copy
            if seals.get(newest, seal) != seal:
                rule = "differs from what is agreed: it is put away and filled anew at its next start"
            elif state == "broken":
                rule = "cannot be written: make room, it opens itself again"
            elif state == "lacking" or newest < newest_agreed:
                rule = f"lacks {newest_agreed - newest}: it fetches them, and owns nothing meanwhile"
            else:
                rule = AGREED
            rows.append((duty, name, state, newest, floor, seal, rule))
    return rows


@fleet.command()
@site_option
def verify(site_file):
    """Check this keeper's own files while it does not run: its log, and its copy of purges. Exit code 1 where
    one is damaged.

    Example: hookrouter fleet verify --site site.ini
    """
    from ...stores import PurgeLog
    from ...stores.keeper_log import KeeperLog

    sections = sections_of(site_file, "fleet")
    store = sections["fleet"]["store"]
    if store is None:
        raise MissingSection("this member is no keeper: it has no files")
    problems, locked = [], False
    for path in (store, sections.get("desk", {}).get("store")):
        if path is None:
            continue
        if not os.path.exists(path):
            print(f"{path}: there is no such file; it is filled from the others at the start")
            continue
        try:
            if path == store:
                log = KeeperLog(path, sections["fleet"]["name"])
                found = log.load()
                last, integrity_error = found.base + len(found.entries), found.integrity_error
                print(f"{path}: entries up to {last}, term {found.term}, written {found.write_count} times")
                problems += [f"{path}: {integrity_error}"] if integrity_error else []
            else:
                log = PurgeLog(path, must_exist=True)
                sound, faults = log.verify()
                print(f"{path}: {sound} purges are sound")
                problems += faults
            log.close()
        except UnusableStore as error:
            problems.append(str(error))
            locked |= isinstance(error, LockedStore)
    for line in problems:
        print(line)
    if problems:
        raise (
            LockedStore("end the keeper before its files are looked at")
            if locked
            else DamagedStore(
                "start the keeper: what is damaged is put away or set aside, and comes from the others"
            )
        )


@fleet.command("import")
@site_option
def import_purges(site_file):
    """Go on with the order of a desk of its own: its store was put in place as one keeper's [desk] store.

    Only before the fleet has taken a purge of its own; numbers and keys stay as they are.

    Example: hookrouter fleet import --site site.ini
    """
    from ...decisions.owners import protocol

    problems, adopted = [], []

    def choose_copy(found, client_name, generation):
        if any(row[2] for status in found.values() for row in status["orders"]):
            problems.append("the fleet has an order of purges already; a second one cannot be gone on with")
            return None
        copies = [(name, copy) for name, status in found.items() for copy in status["copies"] if copy[2]]
        if len(copies) != 1:
            problems.append(
                f"{len(copies)} keepers hold a store with purges, one is wanted: put the store in "
                "place as its [desk] store while that keeper is down, and start it"
            )
            return None
        ((name, (duty, _, newest, _, seal)),) = copies
        adopted.extend((name, newest))
        return protocol.CommandRequest(
            f"{client_name}#{generation}/2", "adopt", [duty, generation, newest, bytes.fromhex(seal)]
        )

    section = fleet_section(site_file)
    answers = query_keepers(
        section,
        lambda client_name, generation: protocol.StatusRequest(f"{client_name}#{generation}/1"),
        True,
        choose_copy,
    )
    if problems:
        raise UsageError(problems[0])
    answer = answers.get("answer")
    if answer is None or answer[0] != "adopted":
        raise FleetRefused(f"not taken over: {'no keeper took it' if answer is None else answer[0]}")
    name, newest = adopted
    print(f"{newest} purges of {name} are the fleet's; hookrouter fleet compare shows when all have them")
