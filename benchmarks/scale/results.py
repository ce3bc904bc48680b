"""The data file of scale runs, docs/results/scale.json: typed, checked when read, one form of its bytes."""

import json
from pathlib import Path
from typing import Literal

import msgspec

from .errors import UnreadableResults

SCHEMA = 1
DIGITS = 6  # significant ones that are kept of each measured value

Role = Literal["router", "keeper_leader", "keeper_follower", "relay", "desk"]
Kind = Literal["view", "purge_feed", "keeper_stream", "sharing", "log", "all"]
Direction = Literal["in", "out", "both", "none"]
Quantity = Literal["bytes_per_s", "messages_per_s", "cpu_core_share", "memory_mb"]
Formula = Literal["constant", "linear", "logarithmic"]


class Struct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all parts of the file have in common: they do not change, and unknown keys are refused."""


class Machine(Struct):
    """What the runs were made on."""

    cores: int
    memory_mb: int
    python: str
    system: str


class Measurement(Struct):
    """One value of one process of that role (the mean of them): a rate over the steady window."""

    role: Role
    kind: Kind
    direction: Direction
    quantity: Quantity
    value: float


class Run(Struct):
    """One steady window at one size."""

    hollow: int
    real: int
    keepers: int
    relays: int
    seconds: float
    lag_worst_s: float
    purges_per_s: float
    measurements: tuple[Measurement, ...]


class Slope(Struct):
    """How one quantity grows with the number of routers, hollow and real ones together."""

    role: Role
    kind: Kind
    direction: Direction
    quantity: Quantity
    formula: Formula
    coefficients: tuple[float, ...]
    sizes: tuple[int, ...]
    residual: float
    spread: float


class Results(Struct):
    """The whole file."""

    schema: int
    machine: Machine
    commit: str
    measured_at: str
    runs: tuple[Run, ...]
    slopes: tuple[Slope, ...]


def rounded(value: float) -> float:
    """The value with as many digits as the file keeps."""
    return float(f"{value:.{DIGITS}g}")


def encode(results: Results) -> bytes:
    """The file's bytes: keys in the order of the types, one value a line, so that a change can be read."""
    return json.dumps(msgspec.to_builtins(results), indent=1).encode() + b"\n"


def decode(data: bytes) -> Results:
    """The results in the file's bytes; UnreadableResults where they are of another form."""
    try:
        results = msgspec.json.decode(data, type=Results)
    except msgspec.MsgspecError as wrong:
        raise UnreadableResults(str(wrong)) from None
    if results.schema != SCHEMA:
        raise UnreadableResults(f"schema {results.schema}, {SCHEMA} is known")
    return results


def write(path: Path, results: Results) -> None:
    """Writes the file whole, or leaves the former one."""
    new = path.with_name(f"{path.name}.new")
    new.write_bytes(encode(results))
    new.replace(path)


def read(path: Path) -> Results:
    """Reads the file; UnreadableResults where it is not there or of another form."""
    try:
        return decode(path.read_bytes())
    except OSError as wrong:
        raise UnreadableResults(f"{path}: {wrong.strerror}") from None
