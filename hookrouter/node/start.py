"""Settings that a router reads at start: EDGE_NAME, EDGE_LISTEN and the file that EDGE_CONFIG names."""

import json
from typing import NamedTuple

from .. import interface, terms
from ..feed import read_known
from ..feed.events import read_address
from ..terms import Malformed

MEGABYTE = 1_000_000  # bytes; the limit could also mean 2**20, this is the safe reading
PROGRAM_MEGABYTES = 40  # MB that the idle program takes, its shared libraries included: resident memory
DESCRIPTOR_BYTES = 8_000  # of a connection beside what is counted: protocol, transport, parser, timers
MIN_MEGABYTES = 4  # MB at least for bodies, frames and copies, however small the limit is
PATTERN_SHARE = 0.15  # share of the available memory for compiled patterns, with [purges]
OWN_COPY_SHARE = 0.3  # share of the available memory for own copies; the other shares are in node/router.py


def available_memory(memory, sockets):
    """Bytes left for bodies, frames and copies under limits of so many MB and descriptors."""
    return max(MIN_MEGABYTES * MEGABYTE, (memory - PROGRAM_MEGABYTES) * MEGABYTE - sockets * DESCRIPTOR_BYTES)


def pattern_memory(memory, sockets):
    """Bytes for compiled patterns of purges under the same limits."""
    return int(PATTERN_SHARE * available_memory(memory, sockets))


def room_for_bodies(memory, sockets, has_purges):
    """Bytes left for bodies, frames and copies, beside patterns where there are purges."""
    return available_memory(memory, sockets) - (pattern_memory(memory, sockets) if has_purges else 0)


def memory_shortage(start):
    """What to say where the limits leave less than the program needs, or None."""
    needed = PROGRAM_MEGABYTES + MIN_MEGABYTES + start.sockets * DESCRIPTOR_BYTES / MEGABYTE
    if start.memory >= needed:
        return None
    return (
        f"limits.memory_mb is {start.memory}, the program needs {needed:.0f} with {start.sockets} sockets; "
        "do: raise memory_mb or lower sockets, the process may pass its limit"
    )


class Start(NamedTuple):
    """Settings of one router, as read at start."""

    name: str
    listen: tuple
    seed: str | int
    memory: int  # limit of the process, MB
    sockets: int  # limit of the process, descriptors
    feed: tuple
    terms: interface.Terms
    purges: dict | None  # section [purges] of the operator's file, or None
    paced: bool  # with [admission]: reconnects to the purge feed when the server says so
    tags: dict | None  # object -> its tags, if these are read from a file
    trace: dict | None  # section [trace] of the operator's file, or None
    last_event: int  # number of the newest event in known
    known: list


def read_seed(value, key):
    """A seed: text or an integer. key: its name, for the error."""
    if type(value) not in (str, int):
        raise Malformed(f"{key}: text or a whole number is wanted, not {terms.excerpt(value)}")
    return value


def read_purges(purges, kinds, open_file):
    """(section, tags by object or None): the two files together; Malformed if they contradict each other or
    the tag file cannot be read.
    """
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
        with open_file(purges["tag file"], encoding="utf-8") as file:
            return purges, read_list(file)
    except (OSError, ValueError) as error:
        raise Malformed(f"[purges] tag file: {error}") from None


def read_start(environment, open_file=open, sections=None):
    """Reads all settings. sections: of the operator's file. Malformed names the variable or key that is
    invalid.
    """
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise Malformed("EDGE_CONFIG is not set")
    try:
        with open_file(path, encoding="utf-8") as file:
            config = json.load(file)
    except OSError as error:
        raise Malformed(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise Malformed(f"EDGE_CONFIG: {path}: {error}") from None
    config = terms.SettingsReader(config, "config")
    limits = config.section("limits")
    sockets = limits.get("sockets", terms.read_integer)
    if sockets < 64:
        raise Malformed(f"config.limits.sockets: {sockets} is too few, 64 at least")
    memory, flow_rate, link_rate = (
        limits.get("memory_mb", terms.read_integer),
        config.get("flow_bytes_per_s", terms.read_number),
        config.get("link_bytes_per_s", terms.read_number),
    )
    if flow_rate <= 0 or link_rate <= 0:
        raise Malformed("config.flow_bytes_per_s and config.link_bytes_per_s must be above 0")
    known = config.get("known", terms.read_object)
    last_event, events = read_known(known)
    deployment_terms = terms.read_terms(config.get("settings", terms.read_object))
    if sections and "fleet" in sections and not deployment_terms.may_message_peers:
        raise Malformed("[fleet]: the platform's settings forbid talk among routers; take it out")
    purges, tags = None, None
    if sections and "purges" in sections:
        purges, tags = read_purges(sections["purges"], deployment_terms.kinds, open_file)
    return Start(
        name=environment.get("EDGE_NAME") or config.get("name", terms.read_text),
        listen=read_address(
            environment.get("EDGE_LISTEN") or config.get("listen", terms.read_text), "EDGE_LISTEN"
        ),
        seed=config.get("seed", read_seed),
        memory=memory,
        sockets=sockets,
        feed=config.get("feed", read_address),
        terms=deployment_terms._replace(
            own_copy_bytes=int(OWN_COPY_SHARE * room_for_bodies(memory, sockets, purges is not None)),
            own_concurrent_answers=link_rate / flow_rate,
            own_answer_rate=flow_rate / terms.SECOND,
        ),
        purges=purges,
        paced="admission" in (sections or {}),
        tags=tags,
        trace=(sections or {}).get("trace"),
        last_event=last_event,
        known=events,
    )
