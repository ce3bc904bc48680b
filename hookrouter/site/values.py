"""Readers of values in the operator's file: convert text to internal units, or raise InvalidValue."""

import hmac
import os
import re
import stat
from collections.abc import Callable, Mapping
from typing import Any

from ..errors.site import InvalidValue
from ..terms import SECOND, UNITS_PER_MS

DURATION_UNITS = {
    "ms": UNITS_PER_MS,
    "s": SECOND,
    "min": 60 * SECOND,
    "h": 3_600 * SECOND,
    "d": 86_400 * SECOND,
}
SIZE_UNITS = {"B": 1, "kB": 1_000, "MB": 1_000_000, "GB": 1_000_000_000}
MIN_SECRET_BYTES = 16  # shorter ones can be guessed
MAX_DESKS = 5  # as many as there are keepers

Address = tuple[str, int]
Reader = Callable[[str, str], Any]  # (text of the value, folder of the file) -> value; raises InvalidValue


def amount(units: Mapping[str, int], least: int, most: int, example: str) -> Reader:
    """Returns a reader of a number with a unit, as an integer in internal units from least to most."""
    pattern = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z%]+)")

    def read(text: str, folder: str) -> int:
        match = pattern.fullmatch(text)
        if match is None or match[2] not in units:
            raise InvalidValue(
                f"{text!r} has no number and unit; wanted as in {example}, units {', '.join(units)}"
            )
        value = round(float(match[1]) * units[match[2]])
        if not least <= value <= most:
            raise InvalidValue(
                f"{text} is out of range; wanted is {format_value(least, units)} "
                f"to {format_value(most, units)}"
            )
        return value

    return read


def format_value(value: int, units: Mapping[str, int]) -> str:
    """Formats a value in the largest unit that does not exceed it."""
    unit = max(
        (candidate for candidate in units if units[candidate] <= max(1, value)),
        key=lambda candidate: units[candidate],
        default=next(iter(units)),
    )
    return f"{value / units[unit]:g} {unit}"


def duration(least: int, most: int, example: str = "250 ms") -> Reader:
    """Returns a reader of a duration, in tenths of a millisecond."""
    return amount(DURATION_UNITS, least, most, example)


def count(least: int, most: int) -> Reader:
    """Returns a reader of a whole number."""

    def read(text: str, folder: str) -> int:
        if not text.isdecimal() or not least <= int(text) <= most:
            raise InvalidValue(f"{text!r}; a whole number from {least} to {most} is wanted")
        return int(text)

    return read


def choice(*choices: str) -> Reader:
    """Returns a reader of one of several words."""

    def read(text: str, folder: str) -> str:
        if text not in choices:
            raise InvalidValue(f"{text!r}; one of {', '.join(choices)} is wanted")
        return text

    return read


def address(text: str, folder: str) -> Address:
    """Reads HOST:PORT."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise InvalidValue(f"{text!r}; an address and a port are wanted, as in 127.0.0.1:9100")
    return host, int(port)


def addresses(text: str, folder: str) -> tuple[Address, ...]:
    """Reads one or several distinct addresses, separated by commas."""
    found = tuple(address(part.strip(), folder) for part in text.split(","))
    if len(found) > MAX_DESKS or len(set(found)) != len(found):
        raise InvalidValue(f"{text!r}; one address is wanted, or up to {MAX_DESKS} different ones")
    return found


def keepers(text: str, folder: str) -> dict[str, Address]:
    """Reads the names and addresses of three or five keepers, in order."""
    found = {}
    for part in text.split(","):
        keeper, _, location = part.strip().partition(" ")
        found[name(keeper.strip(), folder)] = address(location.strip(), folder)
    different = len(set(found.values())) == len(found) == text.count(",") + 1
    if len(found) not in (3, 5) or not different:
        raise InvalidValue(
            "three or five keepers of different names and addresses are wanted, as in "
            "k1 10.0.0.1:9300, k2 10.0.0.2:9300, k3 10.0.0.3:9300"
        )
    return found


def name(text: str, folder: str) -> str:
    """Reads a name of 1 to 64 characters."""
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", text):
        raise InvalidValue(f"{text!r}; 1 to 64 letters, digits, dots, dashes or underscores are wanted")
    return text


def path(text: str, folder: str) -> str:
    """Reads a path, relative to the folder of the operator's file."""
    return os.path.join(folder, text)


def file(text: str, folder: str) -> str:
    """Reads the path of a file that exists."""
    found = path(text, folder)
    if not os.path.isfile(found):
        raise InvalidValue(f"{found}: there is no such file")
    return found


def directory(text: str, folder: str) -> str:
    """Reads the path of a folder that can be written."""
    found = path(text, folder)
    if not os.path.isdir(found) or not os.access(found, os.W_OK | os.X_OK):
        raise InvalidValue(f"{found}: there is no such folder, or it cannot be written")
    return found


def secret(text: str, folder: str) -> "Secret":
    """Reads the secret in a file that only its owner may read."""
    found = file(text, folder)
    if stat.S_IMODE(os.stat(found).st_mode) & 0o077:
        raise InvalidValue(f"{found}: others may read it; wanted is a file of its owner's only (chmod 600)")
    try:
        with open(found, "rb") as opened:
            value = opened.read().strip()
    except OSError as error:
        raise InvalidValue(f"{found}: {error.strerror}") from None
    if len(value) < MIN_SECRET_BYTES or not value.isascii() or b"\n" in value:
        raise InvalidValue(f"{found}: one line of {MIN_SECRET_BYTES} characters of ASCII or more is wanted")
    return Secret(value)


class Secret:
    """Secret bytes that repr() hides from logs, traces and prints."""

    __slots__ = ("value",)

    def __init__(self, value: bytes) -> None:
        """value: the secret itself."""
        self.value = value

    def __eq__(self, other: object) -> bool:
        """Compares in constant time."""
        return isinstance(other, Secret) and hmac.compare_digest(self.value, other.value)

    def __repr__(self) -> str:
        """Returns a placeholder."""
        return "<secret>"
