"""fleet compare, verify, import: copies of records, and the files that hold them."""

import json
import os

from ...errors.commands import CopiesDiffer, FleetRefused, KeepersUnreachable, UsageError
from ...errors.site import MissingSection
from ...errors.stores import DamagedStore, LockedStore, UnusableStore
from .. import FAILED, sections_of, site_option
from ..shown import table
from . import fleet, json_option
from .queries import ask, looked, section_of


@fleet.command()
@site_option
@json_option
def compare(site_file, as_json):
    """Where the keepers' copies of records differ, and which rule applies. Exit code 1 where any does.

    Example: hookrouter fleet compare --site site.ini
    """
    section = section_of(site_file)
    found = looked(section)
    rows = compared(found, list(section["keepers"]))
    if as_json:
        names = ("duty", "keeper", "state", "newest", "floor", "seal", "rule")
        print(json.dumps([dict(zip(names, row)) for row in rows]))
    else:
        table(("duty", "keeper", "state", "newest", "floor", "seal", "rule"), rows)
    if rows and all(row[6] == SAME for row in rows):
        return
    if as_json:  # it says so itself
        raise SystemExit(FAILED)
    if not found:
        raise KeepersUnreachable("no keeper answers")
    raise CopiesDiffer("not all copies are as agreed" if rows else "no keeper keeps records")


SAME = "as agreed"


def compared(found, keepers):
    """A row for each keeper and order of records; found: what `look` gave. The log's seal says what is right,
    where it speaks of the number that the copy ends at.
    """
    agreed = {}
    for row in found.values():
        for duty, _, newest, seal, _ in row.get("orders", ()):
            agreed.setdefault(duty, {})[newest] = seal
    rows = []
    for duty, seals in sorted(agreed.items()):
        most = max(seals)
        for name in keepers:
            copy = next((copy for copy in found.get(name, {}).get("copies", ()) if copy[0] == duty), None)
            if copy is None:
                why = "keeps no copy: give it [purges] and [desk]"
                why = why if name in found else "does not answer: start it"
                rows.append((duty, name, "", "", "", "", why))
                continue
            _, state, newest, floor, seal = copy
            if seals.get(newest, seal) != seal:
                why = "differs from what is agreed: it is put away and filled anew at its next start"
            elif state == "broken":
                why = "cannot be written: make room, it opens itself again"
            elif state == "lacking" or newest < most:
                why = f"lacks {most - newest}: it fetches them, and owns nothing meanwhile"
            else:
                why = SAME
            rows.append((duty, name, state, newest, floor, seal, why))
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
    wrong, held = [], False
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
                last, doubt = found.base + len(found.entries), found.integrity_error
                print(f"{path}: entries up to {last}, term {found.term}, written {found.write_count} times")
                wrong += [f"{path}: {doubt}"] if doubt else []
            else:
                log = PurgeLog(path, must_exist=True)
                sound, faults = log.verify()
                print(f"{path}: {sound} purges are sound")
                wrong += faults
            log.close()
        except UnusableStore as why:
            wrong.append(str(why))
            held |= isinstance(why, LockedStore)
    for line in wrong:
        print(line)
    if wrong:
        raise (
            LockedStore("end the keeper before its files are looked at")
            if held
            else DamagedStore(
                "start the keeper: what is damaged is put away or set aside, and comes from the others"
            )
        )


@fleet.command("import")
@site_option
def take_over(site_file):
    """Go on with the order of a desk of its own: its store was put in place as one keeper's [desk] store.

    Only before the fleet has taken a purge of its own; numbers and keys stay as they are.

    Example: hookrouter fleet import --site site.ini
    """
    from ...decisions.owners import protocol

    wrong, held = [], []

    def decide(found, who, life):
        if any(row[2] for each in found.values() for row in each["orders"]):
            wrong.append("the fleet has an order of purges already; a second one cannot be gone on with")
            return None
        copies = [(name, copy) for name, each in found.items() for copy in each["copies"] if copy[2]]
        if len(copies) != 1:
            wrong.append(
                f"{len(copies)} keepers hold a store with purges, one is wanted: put the store in "
                "place as its [desk] store while that keeper is down, and start it"
            )
            return None
        ((name, (duty, _, newest, _, seal)),) = copies
        held.extend((name, newest))
        return protocol.CommandRequest(f"{who}#{life}/2", "adopt", [duty, life, newest, bytes.fromhex(seal)])

    section = section_of(site_file)
    answers = ask(section, lambda who, life: protocol.StatusRequest(f"{who}#{life}/1"), True, decide)
    if wrong:
        raise UsageError(wrong[0])
    answer = answers.get("answer")
    if answer is None or answer[0] != "adopted":
        raise FleetRefused(f"not taken over: {'no keeper took it' if answer is None else answer[0]}")
    name, newest = held
    print(f"{newest} purges of {name} are the fleet's; hookrouter fleet compare shows when all have them")
