"""Reads the operator's file and reports all errors in it with their line numbers."""

import configparser
import os
import re
from collections.abc import Callable, Mapping
from typing import IO, Any, NamedTuple

from ..errors.site import InvalidSiteFile, InvalidValue
from .sections import REQUIRED, SECTIONS, Key, contradictions

Sections = dict[str, dict[str, Any]]  # section -> key -> value, for the sections present


class Fault(NamedTuple):
    """An error and the line that it is about."""

    line: int
    text: str


class Faults:
    """Collects the errors of one file."""

    def __init__(self, name: str, text: str) -> None:
        """name: the file name to print; text: its content, for the line numbers."""
        self._name, self._lines = name, line_numbers(text)
        self._found: list[Fault] = []

    def __bool__(self) -> bool:
        """Whether any error was added."""
        return bool(self._found)

    def add(self, section: str, key: str | None, problem: str) -> None:
        """Adds an error at the line of the key, or else of the section."""
        line = self._lines.get((section, key)) or self._lines.get((section, None), 1)
        place = f"[{section}] {key}" if key else f"[{section}]"
        self._found.append(Fault(line, f"{self._name}:{line}: {place}: {problem}"))

    def as_error(self) -> InvalidSiteFile:
        """Returns all of them as one exception, ordered by line."""
        return InvalidSiteFile([fault.text for fault in sorted(self._found)])


def read(name: str, open_file: Callable[..., IO[str]] = open) -> Sections:
    """Reads a file; raises InvalidSiteFile with all errors."""
    try:
        with open_file(name, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidSiteFile([f"{name}:1: {getattr(error, 'strerror', None) or 'not UTF-8 text'}"]) from None
    return read_text(name, text)


def read_text(name: str, text: str) -> Sections:
    """Parses the content of the file of that name; raises InvalidSiteFile with all errors."""
    parser = parse_ini(name, text)
    faults, folder = Faults(name, text), os.path.dirname(os.path.abspath(name))
    sections = {}
    for section in parser.sections():
        if section in SECTIONS:
            sections[section] = read_section(section, parser[section], folder, faults)
        else:
            faults.add(section, None, f"no section of that name; {', '.join(SECTIONS)} are")
    if not faults:
        for contradiction in contradictions(sections):
            faults.add(contradiction.section, contradiction.key, contradiction.what)
    if faults:
        raise faults.as_error()
    return sections


def parse_ini(name: str, text: str) -> configparser.ConfigParser:
    """Parses the text into sections and keys; raises InvalidSiteFile if it is not INI."""
    parser = configparser.ConfigParser(interpolation=None, default_section="\0", strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text, name)
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or next((n for n, _ in getattr(error, "errors", ())), 1)
        reason = error.message.splitlines()[0].replace(f"'{name}'", "the file")
        raise InvalidSiteFile([f"{name}:{line}: {reason}"]) from None
    return parser


def read_section(section: str, texts: Mapping[str, str], folder: str, faults: Faults) -> dict[str, Any]:
    """Returns the values of one section; adds errors to faults."""
    known = SECTIONS[section]
    for key in texts:
        if key not in known:
            faults.add(section, key, f"no key of that name; {', '.join(known)} are")
    parsed = {}
    for name, key in known.items():
        try:
            parsed[name] = read_value(key, texts.get(name), folder)
        except InvalidValue as error:
            faults.add(section, name, str(error))
    return parsed


def read_value(key: Key, text: str | None, folder: str) -> object:
    """Returns the value of a key, or its default if missing; raises InvalidValue."""
    if text is not None:
        return key.read(text.strip(), folder)
    if key.default is REQUIRED:
        raise InvalidValue("is missing")
    return key.default


def line_numbers(text: str) -> dict[tuple[str | None, str | None], int]:
    """Maps (section, key) to its line number, and (section, None) to that of the section."""
    lines, section = {}, None
    for number, line in enumerate(text.splitlines(), 1):
        if match := re.match(r"\[(.+)\]", line):
            section = match[1]
            lines[section, None] = number
        elif match := re.match(r"([^\s#;=:][^=:]*?)\s*[=:]", line):
            lines.setdefault((section, match[1]), number)
    return lines
