"""The configuration of a process of hollow routers: CONFIG.json and the operator's file of each router."""

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from hookrouter.errors import HookrouterError
from hookrouter.errors.site import InvalidSiteFile
from hookrouter.site import read as read_site

NEEDS_LOOKUPS = ("spread", "warming")  # sections of features that depend on a router's own lookups

Sections = dict[str, dict[str, Any]]  # of an operator's file, as hookrouter.site reads it


class ConfigurationRefused(HookrouterError):
    """CONFIG.json, or an operator's file that it names, cannot be used; the text names the key."""

    code = "hollow-configuration"
    advice = "correct what is named in CONFIG.json or in that operator's file; nothing was started"
    exit_code = 2


class RouterPlace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A hollow router. site: path of its operator's file, as for `hookrouter serve --site`."""

    name: str
    site: str


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """CONFIG.json. caches: the caches whose loads each router reports; [] for synthetic ones of its zone."""

    seed: int
    routers: list[RouterPlace]
    report_every_s: float = 1.0
    caches: list[str] = []


def read_configuration(path: str | Path) -> Configuration:
    """Reads and checks the file; ConfigurationRefused names what is wrong."""
    try:
        configuration = msgspec.json.decode(Path(path).read_bytes(), type=Configuration)
    except OSError as error:
        raise ConfigurationRefused(f"{path}: {error.strerror}") from None
    except msgspec.MsgspecError as error:
        raise ConfigurationRefused(f"{path}: {error}") from None
    if not configuration.routers:
        raise ConfigurationRefused(f"{path}: routers: at least one is required")
    if configuration.report_every_s <= 0:
        raise ConfigurationRefused(f"{path}: report_every_s: must be above 0")
    names = Counter(router.name for router in configuration.routers)
    for name, count in names.items():
        if count > 1:
            raise ConfigurationRefused(
                f"{path}: routers: {name} is listed {count} times; names must be unique"
            )
    return configuration


def read_sections(router: RouterPlace) -> Sections:
    """Reads the operator's file of a hollow router; ConfigurationRefused if it cannot run with it."""
    try:
        sections = read_site(router.site)
    except InvalidSiteFile as error:
        raise ConfigurationRefused(f"router {router.name}: {'; '.join(error.lines)}") from None
    where = f"router {router.name}: {router.site}"
    if "fleet" not in sections:
        raise ConfigurationRefused(f"{where}: [fleet] is missing; a hollow router is a member of a fleet")
    fleet = sections["fleet"]
    if fleet["name"] != router.name:
        raise ConfigurationRefused(f"{where}: [fleet] name is {fleet['name']}, not {router.name}")
    if fleet["name"] in fleet["keepers"]:
        raise ConfigurationRefused(f"{where}: [fleet] keepers names it; a hollow router cannot be a keeper")
    for section in NEEDS_LOOKUPS:
        if section in sections:
            raise ConfigurationRefused(
                f"{where}: [{section}] needs lookups, which a hollow router does not have"
            )
    return sections
