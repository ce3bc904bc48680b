"""What a router reads at start: EDGE_NAME, EDGE_LISTEN and the file that EDGE_CONFIG names."""

import json
from typing import NamedTuple

from .. import interface, terms
from ..feed import read_known
from ..feed.events import read_address
from ..terms import Malformed

MEGABYTE = 1_000_000  # bytes, the smaller reading of the limit
PROGRAM = 24  # MB that the program takes itself, before it holds anything
LEAST = 2  # MB for all that it holds, however little the program leaves
COPIES = 0.3  # of what the program leaves, for copies of its own; the shares of the rest are node/router.py's


def room_left(memory):
    """Bytes for what the router holds."""
    return max(LEAST, memory - PROGRAM) * MEGABYTE


class Start(NamedTuple):
    name: str
    listen: tuple
    seed: str | int
    memory: int  # MB in all
    sockets: int  # descriptors in all
    feed: tuple
    terms: interface.Terms
    purges: dict | None  # the operator's section, where fleet-wide purges are on
    paced: bool  # with [admission]: it comes back to whom it follows as it is told
    tags: dict | None  # object -> its tags, where these come from a file
    trace: dict | None  # the operator's section, where decisions are traced
    last: int  # number of the newest known event
    known: list


def seed(value, what):
    if type(value) not in (str, int):
        raise Malformed(f"{what}: text or a whole number is wanted, not {terms.excerpt(value)}")
    return value


def read_purges(purges, kinds, opened):
    """(section, tags by object or None): what the two files say together, or Malformed."""
    for kind in kinds:
        if kind.fresh_duration + kind.stale_grace > purges["hold"]:
            raise Malformed(
                f"[purges] hold: shorter than copies of {kind.name} may answer, "
                f"{(kind.fresh_duration + kind.stale_grace) / terms.SECOND:g} s"
            )
    if purges["tag file"] is None:
        return purges, None
    from ..purges.tags import read_list

    try:
        with opened(purges["tag file"], encoding="utf-8") as file:
            return purges, read_list(file)
    except (OSError, ValueError) as wrong:
        raise Malformed(f"[purges] tag file: {wrong}") from None


def read_start(environment, opened=open, sections=None):
    """sections: of the operator's file. Malformed names the variable or key that cannot be used."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise Malformed("EDGE_CONFIG is not set")
    try:
        with opened(path, encoding="utf-8") as file:
            stated = json.load(file)
    except OSError as wrong:
        raise Malformed(f"EDGE_CONFIG: {path}: {wrong.strerror}") from None
    except (ValueError, RecursionError) as wrong:
        raise Malformed(f"EDGE_CONFIG: {path}: {wrong}") from None
    stated = terms.SettingsReader(stated, "config")
    limits = stated.section("limits")
    sockets = limits.get("sockets", terms.read_integer)
    if sockets < 64:
        raise Malformed(f"config.limits.sockets: {sockets} is too few, 64 at least")
    memory, flow, link = (
        limits.get("memory_mb", terms.read_integer),
        stated.get("flow_bytes_per_s", terms.read_number),
        stated.get("link_bytes_per_s", terms.read_number),
    )
    if flow <= 0 or link <= 0:
        raise Malformed("config.flow_bytes_per_s and config.link_bytes_per_s must be above 0")
    known = stated.get("known", terms.read_object)
    last, events = read_known(known)
    stated_terms = terms.read_terms(stated.get("settings", terms.read_object))
    if sections and "fleet" in sections and not stated_terms.may_message_peers:
        raise Malformed("[fleet]: the platform's settings forbid talk among routers; take it out")
    purges, tags = None, None
    if sections and "purges" in sections:
        purges, tags = read_purges(sections["purges"], stated_terms.kinds, opened)
    return Start(
        name=environment.get("EDGE_NAME") or stated.get("name", terms.read_text),
        listen=read_address(
            environment.get("EDGE_LISTEN") or stated.get("listen", terms.read_text), "EDGE_LISTEN"
        ),
        seed=stated.get("seed", seed),
        memory=memory,
        sockets=sockets,
        feed=stated.get("feed", read_address),
        terms=stated_terms._replace(
            own_copy_bytes=int(COPIES * room_left(memory)),
            own_concurrent_answers=link / flow,
            own_answer_rate=flow / terms.SECOND,
        ),
        purges=purges,
        paced="admission" in (sections or {}),
        tags=tags,
        trace=(sections or {}).get("trace"),
        last=last,
        known=events,
    )
