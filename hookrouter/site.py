"""The operator's file: INI, each section and key known, each value with its unit, all faults found in one
pass.

A section that is not there is a feature that is off. Secrets are in files of their own that it names.
"""

import configparser
import hmac
import os
import re
import stat
from typing import Any, Callable, NamedTuple

from .errors.site import Refused, Wrong
from .purges import words as w
from .terms import SECOND, TENTHS

VARIABLE = "HOOKROUTER_SITE"
SPANS = {"ms": TENTHS, "s": SECOND, "min": 60 * SECOND, "h": 3_600 * SECOND, "d": 86_400 * SECOND}
SIZES = {"B": 1, "kB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000}
LEAST_SECRET = 16  # bytes: fewer can be guessed
MOST_DESKS = 5  # as many as there are keepers
WANTED = object()  # a key without a default


class Key(NamedTuple):
    read: Callable
    default: Any
    about: str  # what an operator reads in `check --explain`


# ---- values


def amount(units, least, most, example):
    """Reads a number with its unit, in whole units of the program, from least to most of them."""
    pattern = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z%]+)")

    def read(text, folder):
        found = pattern.fullmatch(text)
        if found is None or found[2] not in units:
            raise Wrong(f"{text!r} has no number and unit; wanted as in {example}, units {', '.join(units)}")
        value = round(float(found[1]) * units[found[2]])
        if not least <= value <= most:
            raise Wrong(f"{text} is out of range; wanted is {shown(least, units)} to {shown(most, units)}")
        return value

    return read


def shown(value, units):
    unit = max(
        (u for u in units if units[u] <= max(1, value)), key=lambda u: units[u], default=next(iter(units))
    )
    return f"{value / units[unit]:g} {unit}"


def span(least, most, example="250 ms"):
    return amount(SPANS, least, most, example)


def count(least, most):
    def read(text, folder):
        if not text.isdecimal() or not least <= int(text) <= most:
            raise Wrong(f"{text!r}; a whole number from {least} to {most} is wanted")
        return int(text)

    return read


def word(*words):
    def read(text, folder):
        if text not in words:
            raise Wrong(f"{text!r}; one of {', '.join(words)} is wanted")
        return text

    return read


def address(text, folder):
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise Wrong(f"{text!r}; an address and a port are wanted, as in 127.0.0.1:9100")
    return host, int(port)


def addresses(text, folder):
    """One address, or several in a row: ((host, port), ...)."""
    found = tuple(address(part.strip(), folder) for part in text.split(","))
    if len(found) > MOST_DESKS or len(set(found)) != len(found):
        raise Wrong(f"{text!r}; one address is wanted, or up to {MOST_DESKS} different ones")
    return found


def keepers(text, folder):
    """{name: (host, port)} of three or five, in order."""
    found = {}
    for part in text.split(","):
        who, _, where = part.strip().partition(" ")
        found[name(who.strip(), folder)] = address(where.strip(), folder)
    different = len(set(found.values())) == len(found) == text.count(",") + 1
    if len(found) not in (3, 5) or not different:
        raise Wrong(
            "three or five keepers of different names and addresses are wanted, as in "
            "k1 10.0.0.1:9300, k2 10.0.0.2:9300, k3 10.0.0.3:9300"
        )
    return found


def name(text, folder):
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", text):
        raise Wrong(f"{text!r}; 1 to 64 letters, digits, dots, dashes or underscores are wanted")
    return text


def path(text, folder):
    """A file, beside the operator's file where it is not absolute."""
    return os.path.join(folder, text)


def file(text, folder):
    found = path(text, folder)
    if not os.path.isfile(found):
        raise Wrong(f"{found}: there is no such file")
    return found


def directory(text, folder):
    found = path(text, folder)
    if not os.path.isdir(found) or not os.access(found, os.W_OK | os.X_OK):
        raise Wrong(f"{found}: there is no such folder, or it cannot be written")
    return found


def secret(text, folder):
    """A file with a secret that only its owner may read."""
    found = file(text, folder)
    if stat.S_IMODE(os.stat(found).st_mode) & 0o077:
        raise Wrong(f"{found}: others may read it; wanted is a file of its owner's only (chmod 600)")
    try:
        with open(found, "rb") as opened:
            value = opened.read().strip()
    except OSError as wrong:
        raise Wrong(f"{found}: {wrong.strerror}") from None
    if len(value) < LEAST_SECRET or not value.isascii() or b"\n" in value:
        raise Wrong(f"{found}: one line of {LEAST_SECRET} characters of ASCII or more is wanted")
    return Secret(value)


class Secret:
    """Bytes that no log, trace or print shows."""

    __slots__ = ("value",)

    def __init__(self, value):
        self.value = value

    def __eq__(self, other):
        return isinstance(other, Secret) and hmac.compare_digest(self.value, other.value)

    def __repr__(self):
        return "<secret>"


# ---- sections: key -> how it is read, what it is without, what it means

SECTIONS = {
    "purges": {
        "desk": Key(addresses, WANTED, "where purges are submitted; the keepers' where a fleet has the desk"),
        "follow": Key(address, None, "where routers follow: a relay, or else the desk"),
        "secret": Key(secret, WANTED, "file with the secret that submitters and followers share"),
        "lease": Key(
            span(5_000, 60 * SECOND, "2 s"),
            2 * SECOND,
            "without word of the desk for that long a router fences itself",
        ),
        "hold": Key(
            span(60 * SECOND, 30 * 86_400 * SECOND, "24 h"),
            24 * 3_600 * SECOND,
            "no copy older than that answers; purges are folded away then",
        ),
        "grace": Key(
            span(0, SECOND), 5_000, "from that long after it was told a purge binds sends that were out"
        ),
        "skew": Key(span(0, 4_000, "20 ms"), 200, "between the clocks of desk, origin and routers, at most"),
        "fenced": Key(
            word(w.YOUNG, w.NACK),
            w.YOUNG,
            "a router without a lease answers from copies younger than the lease, or nacks",
        ),
        "tags": Key(word(w.ANSWERS, w.FILE), w.ANSWERS, "where the tags of objects come from"),
        "tag file": Key(file, None, "a line an object: its id, then its tags"),
        "names": Key(count(100, 10_000_000), 25_000, "objects and tags that a router keeps one by one"),
        "sealed": Key(
            count(0, 100_000_000), 3_000_000, "purges in a hold that a router's slices are sized for"
        ),
        "tagged": Key(count(0, 10_000_000), 50_000, "objects whose tags a router remembers"),
    },
    "desk": {
        "listen": Key(address, WANTED, "address and port of the desk"),
        "store": Key(path, WANTED, "file of the store, on a disk that lasts"),
        "most live": Key(count(100, 10_000_000), 200_000, "distinct purges that followers must keep"),
        "most patterns": Key(count(0, 4_000), 1_000, "distinct patterns that followers must keep"),
    },
    "relay": {
        "name": Key(name, WANTED, "its name among the members"),
        "listen": Key(address, WANTED, "address and port of the relay"),
        "above": Key(address, None, "the desk, or the relay above"),
        "store": Key(path, WANTED, "file with the names of its members, on a disk that lasts"),
    },
    "admission": {
        "share": Key(
            amount({"%": 1}, 10, 99, "95 %"),
            95,
            "of a desk's or relay's time that returns may take; what each takes is measured",
        ),
        "secret": Key(secret, None, "file with the secret of tickets; without it they bear that of [purges]"),
    },
    "trace": {
        "folder": Key(directory, WANTED, "where each router keeps its trace of decisions, under its name"),
        "size": Key(amount(SIZES, 1_000_000, 1 << 40, "64 MB"), 64_000_000, "on disk for each, at most"),
    },
    "fleet": {
        "name": Key(name, WANTED, "this member's name, its own in the fleet"),
        "listen": Key(address, WANTED, "address and port for other members"),
        "address": Key(address, None, "where other members reach it, if that is not where it listens"),
        "seeds": Key(addresses, None, "members that are asked who is there; without it the keepers"),
        "zone": Key(name, "-", "where it stands: members of a zone that vanish together are one event"),
        "keepers": Key(keepers, WANTED, "the three or five that decide: NAME ADDRESS:PORT, ..."),
        "secret": Key(secret, WANTED, "file with the secret that all members share"),
        "store": Key(path, None, "a keeper's file, on a disk that lasts"),
        "lease": Key(
            span(2_000, 60 * SECOND, "1 s"), SECOND, "of a duty: without word for that long it is lost"
        ),
        "drill": Key(address, None, "a register at which duties named drill/... are worked"),
    },
    "sharing": {
        "silent after": Key(
            span(2 * SECOND, 60 * SECOND, "8 s"),
            8 * SECOND,
            "who hears nothing of its zone for that long decides alone",
        ),
        "pull within": Key(
            span(0, 10 * SECOND, "1 s"),
            SECOND,
            "a router that starts waits for what neighbours learnt, at most",
        ),
        "lend": Key(
            amount(SIZES, 20_000, 100_000_000, "256 kB"),
            256_000,
            "of lists a second that this router lends, to all together",
        ),
    },
    "spread": {
        "lease": Key(
            span(SECOND, 10 * SECOND, "2 s"),
            2 * SECOND,
            "of a share of a cold cache that one router cedes to another",
        ),
    },
    "warming": {
        "lenders": Key(count(1, 16), 5, "routers of the zone whose lists the owner of a warming borrows"),
        "slots": Key(count(1, 64), 4, "fills out at one source, for all warmings together"),
        "room": Key(
            amount(SIZES, 1_000_000, 1 << 50, "200 GB"),
            None,
            "what a cache keeps; without it names count as asked for half a minute ahead",
        ),
    },
    "log": {
        "format": Key(word("text", "json"), "text", "lines for people, or a JSON object each"),
    },
}


def contradictions(sections):
    """(section, key, what is wrong) for each pair of values that cannot both be meant."""
    if (fleet := sections.get("fleet")) is not None and (fleet["name"] in fleet["keepers"]) != (
        fleet["store"] is not None
    ):
        yield "fleet", "store", "wanted where this member is one of the keepers, and only there"
    if "admission" in sections and "purges" not in sections:
        yield "admission", None, "[purges] is missing; what is paced are returns to its desk and relays"
    if "sharing" in sections and "fleet" not in sections:
        yield "sharing", None, "[fleet] is missing; routers share with members of their fleet"
    if "spread" in sections and "sharing" not in sections:
        yield "spread", None, "[sharing] is missing; load is spread by what routers tell each other"
    if "warming" in sections and not {"fleet", "sharing"} <= set(sections):
        yield "warming", None, "[fleet] and [sharing] are missing; lists are borrowed from members"
    if (purges := sections.get("purges")) is None:
        for section in ("desk", "relay"):
            if section in sections:
                yield section, None, "[purges] is missing; it has the secret, lease and hold"
        return
    if purges["grace"] < 2 * purges["skew"]:
        yield "purges", "grace", "shorter than twice the skew, so what the origin gives out anew is refused"
    if purges["hold"] < 10 * purges["lease"]:
        yield "purges", "hold", "ten leases at least are wanted"
    if (purges["tags"] == w.FILE) != (purges["tag file"] is not None):
        yield "purges", "tag file", "wanted where tags = file, and only there"


# ---- the file


def read(name, opened=open):
    """{section: {key: value}} for the sections that are there; Refused with every fault."""
    try:
        with opened(name, encoding="utf-8") as found:
            text = found.read()
    except (OSError, UnicodeDecodeError) as wrong:
        raise Refused([f"{name}:1: {getattr(wrong, 'strerror', None) or 'not UTF-8 text'}"]) from None
    return read_text(name, text)


def read_text(name, text):
    parser = configparser.ConfigParser(interpolation=None, default_section="\0", strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text, name)
    except configparser.Error as wrong:
        line = getattr(wrong, "lineno", None) or next((n for n, _ in getattr(wrong, "errors", ())), 1)
        said = wrong.message.splitlines()[0].replace(f"'{name}'", "the file")
        raise Refused([f"{name}:{line}: {said}"]) from None
    lines, folder = places(text), os.path.dirname(os.path.abspath(name))
    faults, sections = [], {}

    def fault(section, key, what):
        line = lines.get((section, key)) or lines.get((section, None), 1)
        faults.append((line, f"{name}:{line}: [{section}]{f' {key}' if key else ''}: {what}"))

    for section in parser.sections():
        known = SECTIONS.get(section)
        if known is None:
            fault(section, None, f"no section of that name; {', '.join(SECTIONS)} are")
            continue
        values = sections[section] = {}
        for key in parser[section]:
            if key not in known:
                fault(section, key, f"no key of that name; {', '.join(known)} are")
        for key, (reader, default, _) in known.items():
            if key not in parser[section]:
                if default is WANTED:
                    fault(section, key, "is missing")
                values[key] = default
                continue
            try:
                values[key] = reader(parser[section][key].strip(), folder)
            except Wrong as wrong:
                fault(section, key, str(wrong))
    if not faults:
        for section, key, what in contradictions(sections):
            fault(section, key, what)
    if faults:
        raise Refused([line for _, line in sorted(faults)])
    return sections


def places(text):
    """(section, key) -> its line; (section, None) -> the section's."""
    lines, section = {}, None
    for number, line in enumerate(text.splitlines(), 1):
        if found := re.match(r"\[(.+)\]", line):
            section = found[1]
            lines[section, None] = number
        elif found := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", line):
            lines.setdefault((section, found[1]), number)
    return lines


def purge_terms(purges):
    """The section [purges] as a router's PurgeTerms."""
    return w.PurgeTerms(
        lease=purges["lease"],
        hold=purges["hold"],
        grace=purges["grace"],
        skew=purges["skew"],
        fenced=purges["fenced"],
        most_names=purges["names"],
        most_tagged=purges["tagged"],
        most_sealed=purges["sealed"],
    )


def follows(purges):
    """Addresses of the section [purges] of which a router follows one at a time."""
    return (purges["follow"],) if purges["follow"] else purges["desk"]
