"""What a process of hollow routers reads at its start: CONFIG.json and each router's operator's file."""

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from hookrouter.errors import HookrouterError
from hookrouter.errors.site import InvalidSiteFile
from hookrouter.site import read as read_site

NEEDS_LOOKUPS = ("spread", "warming")  # sections whose parts decide by a router's own lookups

Sections = dict[str, dict[str, Any]]  # of an operator's file, as hookrouter.site reads it


class ConfigurationRefused(HookrouterError):
    """CONFIG.json, or an operator's file that it names, cannot be used; the text names the key."""

    code = "hollow-configuration"
    advice = "correct what is named in CONFIG.json or in that operator's file; nothing was started"
    exit_code = 2


class RouterPlace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One hollow router. site: its operator's file, as `hookrouter serve --site` reads it."""

    name: str
    site: str


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """CONFIG.json. caches: names of which each router tells loads; [] for made-up ones of its zone."""

    seed: int
    routers: list[RouterPlace]
    report_every_s: float = 1.0
    caches: list[str] = []


def read_configuration(path: str | Path) -> Configuration:
    """The file, read and checked; ConfigurationRefused names what is wrong."""
    try:
        configuration = msgspec.json.decode(Path(path).read_bytes(), type=Configuration)
    except OSError as wrong:
        raise ConfigurationRefused(f"{path}: {wrong.strerror}") from None
    except msgspec.MsgspecError as wrong:
        raise ConfigurationRefused(f"{path}: {wrong}") from None
    if not configuration.routers:
        raise ConfigurationRefused(f"{path}: routers: one at least is wanted")
    if configuration.report_every_s <= 0:
        raise ConfigurationRefused(f"{path}: report_every_s: a number above 0 is wanted")
    names = Counter(router.name for router in configuration.routers)
    for name, count in names.items():
        if count > 1:
            raise ConfigurationRefused(f"{path}: routers: {name} stands {count} times; names are unique")
    return configuration


def read_sections(router: RouterPlace) -> Sections:
    """The operator's file of one hollow router; ConfigurationRefused where a hollow one cannot run by it."""
    try:
        sections = read_site(router.site)
    except InvalidSiteFile as wrong:
        raise ConfigurationRefused(f"router {router.name}: {'; '.join(wrong.lines)}") from None
    where = f"router {router.name}: {router.site}"
    if "fleet" not in sections:
        raise ConfigurationRefused(f"{where}: [fleet] is missing; a hollow router is a member of a fleet")
    fleet = sections["fleet"]
    if fleet["name"] != router.name:
        raise ConfigurationRefused(f"{where}: [fleet] name is {fleet['name']}, not {router.name}")
    if fleet["name"] in fleet["keepers"]:
        raise ConfigurationRefused(f"{where}: [fleet] keepers names it; a hollow router keeps nothing")
    for section in NEEDS_LOOKUPS:
        if section in sections:
            raise ConfigurationRefused(f"{where}: [{section}] needs lookups, which a hollow router has not")
    return sections
