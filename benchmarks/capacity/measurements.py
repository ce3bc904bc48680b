"""docs/results/state.json: what an entry of each table of the program takes, and what its work costs."""

from pathlib import Path

import msgspec

from .errors import MissingMeasurement, UnreadableData

SCHEMA = 1


class Machine(msgspec.Struct, frozen=True):
    """Where a measurement was made."""

    cores: int
    memory_mb: int
    python: str
    system: str


class Measurement(msgspec.Struct, frozen=True):
    """One quantity over sizes: coefficients [intercept, slope] of a line, or [value] of a constant."""

    name: str
    unit: str  # "bytes", "us", "share", "ratio"
    per: str  # what one step of the size is: "live purge", "member", ...
    method: str  # "tracemalloc", "resident memory", "encoded length", "file size", "processor time"
    formula: str  # "constant", "linear", or "points" where no formula fits: then values alone count
    coefficients: tuple[float, ...]
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    residual: float
    spread: float | None  # None: each size was measured once

    @property
    def each(self) -> float:
        """What one more entry takes; of a constant, the value itself."""
        return self.coefficients[-1]

    def at(self, size: float) -> float:
        """What the fitted formula gives at that size."""
        if self.formula == "constant":
            return self.coefficients[0]
        return self.coefficients[0] + self.coefficients[1] * size

    def covers(self, size: float) -> bool:
        """Whether that size is no larger than the largest that was measured."""
        return self.formula == "constant" or size <= max(self.sizes)


class StateFile(msgspec.Struct, frozen=True):
    """The whole file, with the machine and the commit that the measurement was made on."""

    schema: int
    machine: Machine
    commit: str
    measured_at: str
    command: str
    measurements: tuple[Measurement, ...]

    def find(self, name: str) -> Measurement:
        """The measurement of that name; MissingMeasurement where there is none."""
        for measurement in self.measurements:
            if measurement.name == name:
                return measurement
        raise MissingMeasurement(f"state.json has no measurement {name!r}")


def read_state(path: Path) -> StateFile:
    """The file as typed values; UnreadableData where it is missing or of another schema."""
    try:
        state = msgspec.json.decode(path.read_bytes(), type=StateFile)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as wrong:
        raise UnreadableData(f"{path}: {wrong}") from None
    if state.schema != SCHEMA:
        raise UnreadableData(f"{path}: schema {state.schema}, this program reads {SCHEMA}")
    return state


def write_state(path: Path, state: StateFile) -> None:
    """The file, one measurement a few lines, so that a change of one shows in a diff."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(state), indent=1) + b"\n")
