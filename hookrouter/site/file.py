"""Reads the operator's file: all faults are found in one pass, each with its line."""

import configparser
import os
import re
from collections.abc import Callable, Mapping
from typing import IO, Any, NamedTuple

from ..errors.site import InvalidSiteFile, InvalidValue
from .sections import SECTIONS, WANTED, Key, contradictions

Sections = dict[str, dict[str, Any]]  # section -> key -> value, for the sections that are there


class Fault(NamedTuple):
    """A fault with the line that an operator has to look at."""

    line: int
    text: str


class Faults:
    """The faults of one file, gathered as they are found."""

    def __init__(self, name: str, text: str) -> None:
        """name: the file's, as it is printed. text: its content, for the line numbers."""
        self._name, self._lines = name, line_numbers(text)
        self._found: list[Fault] = []

    def __bool__(self) -> bool:
        """Whether there is any."""
        return bool(self._found)

    def add(self, section: str, key: str | None, what: str) -> None:
        """One more, at the line of the key, or else of the section."""
        line = self._lines.get((section, key)) or self._lines.get((section, None), 1)
        place = f"[{section}] {key}" if key else f"[{section}]"
        self._found.append(Fault(line, f"{self._name}:{line}: {place}: {what}"))

    def refused(self) -> InvalidSiteFile:
        """All of them as one error, in the order of their lines."""
        return InvalidSiteFile([fault.text for fault in sorted(self._found)])


def read(name: str, opened: Callable[..., IO[str]] = open) -> Sections:
    """Reads a file; raises Refused with every fault."""
    try:
        with opened(name, encoding="utf-8") as found:
            text = found.read()
    except (OSError, UnicodeDecodeError) as wrong:
        raise InvalidSiteFile([f"{name}:1: {getattr(wrong, 'strerror', None) or 'not UTF-8 text'}"]) from None
    return read_text(name, text)


def read_text(name: str, text: str) -> Sections:
    """Reads the text of the file of that name; raises Refused with every fault."""
    parser = parsed(name, text)
    faults, folder = Faults(name, text), os.path.dirname(os.path.abspath(name))
    sections = {}
    for section in parser.sections():
        if section in SECTIONS:
            sections[section] = read_section(section, parser[section], folder, faults)
        else:
            faults.add(section, None, f"no section of that name; {', '.join(SECTIONS)} are")
    if not faults:
        for found in contradictions(sections):
            faults.add(found.section, found.key, found.what)
    if faults:
        raise faults.refused()
    return sections


def parsed(name: str, text: str) -> configparser.ConfigParser:
    """The text as sections and keys; raises Refused where it is not INI."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0", strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text, name)
    except configparser.Error as wrong:
        line = getattr(wrong, "lineno", None) or next((n for n, _ in getattr(wrong, "errors", ())), 1)
        said = wrong.message.splitlines()[0].replace(f"'{name}'", "the file")
        raise InvalidSiteFile([f"{name}:{line}: {said}"]) from None
    return parser


def read_section(section: str, given: Mapping[str, str], folder: str, faults: Faults) -> dict[str, Any]:
    """The values of one section; what is wrong with them is added to the faults."""
    known = SECTIONS[section]
    for key in given:
        if key not in known:
            faults.add(section, key, f"no key of that name; {', '.join(known)} are")
    values = {}
    for name, key in known.items():
        try:
            values[name] = read_value(key, given.get(name), folder)
        except InvalidValue as wrong:
            faults.add(section, name, str(wrong))
    return values


def read_value(key: Key, text: str | None, folder: str) -> object:
    """The value of one key, its default where it is not given; raises InvalidValue."""
    if text is not None:
        return key.read(text.strip(), folder)
    if key.default is WANTED:
        raise InvalidValue("is missing")
    return key.default


def line_numbers(text: str) -> dict[tuple[str | None, str | None], int]:
    """(section, key) -> its line; (section, None) -> the section's."""
    lines, section = {}, None
    for number, line in enumerate(text.splitlines(), 1):
        if found := re.match(r"\[(.+)\]", line):
            section = found[1]
            lines[section, None] = number
        elif found := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", line):
            lines.setdefault((section, found[1]), number)
    return lines
