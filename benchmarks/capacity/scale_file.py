"""docs/results/scale.json: how bytes, messages, processor time and memory grow with the number of routers."""

from pathlib import Path

import msgspec

from ..scale.slopes import FORMULAS, value_of
from .errors import MissingSlope, UnreadableData
from .figures import Figure, Standing, not_measured
from .measurements import Machine

SCHEMA = 1


class SlopeName(msgspec.Struct, frozen=True):
    """Which slope: as the file names it."""

    role: str
    kind: str
    direction: str
    quantity: str

    def __str__(self) -> str:
        """As errors and the page name it."""
        return f"{self.role}/{self.kind}/{self.direction}/{self.quantity}"


class Slope(msgspec.Struct, frozen=True):
    """One quantity over the number of routers, hollow and real. residual: in units of the quantity."""

    role: str
    kind: str
    direction: str
    quantity: str
    formula: str
    coefficients: tuple[float, ...]
    sizes: tuple[int, ...]
    residual: float
    spread: float

    @property
    def name(self) -> SlopeName:
        """What it is a slope of."""
        return SlopeName(self.role, self.kind, self.direction, self.quantity)

    def at(self, routers: float) -> float:
        """What the formula gives for so many routers."""
        return value_of(self.formula, self.coefficients, routers)

    def covers(self, routers: float) -> bool:
        """Whether so many routers lie within the range that was measured."""
        return min(self.sizes) <= routers <= max(self.sizes)


class RunMeasurement(msgspec.Struct, frozen=True):
    """One mean value of a role in one window."""

    role: str
    kind: str
    direction: str
    quantity: str
    value: float

    @property
    def name(self) -> SlopeName:
        """What it is a value of."""
        return SlopeName(self.role, self.kind, self.direction, self.quantity)


class Run(msgspec.Struct, frozen=True):
    """What the page needs of one window of the scale run."""

    hollow: int
    real: int
    keepers: int = 0
    relays: int = 0
    seconds: float = 0.0
    lag_worst_s: float = 0.0
    purges_per_s: float = 0.0
    measurements: tuple[RunMeasurement, ...] = ()


class ScaleFile(msgspec.Struct, frozen=True):
    """The whole file."""

    schema: int
    machine: Machine
    commit: str
    measured_at: str
    runs: tuple[Run, ...]
    slopes: tuple[Slope, ...]

    def find(self, name: SlopeName) -> Slope | None:
        """The slope of that name, or None."""
        return next((slope for slope in self.slopes if slope.name == name), None)

    def figure(self, name: SlopeName, routers: float) -> Figure:
        """Its value for so many routers. MissingSlope where it is missing and REQUIRED, else not measured."""
        slope = self.find(name)
        if slope is None:
            if name in REQUIRED:
                raise MissingSlope(
                    f"scale.json has no slope of role {name.role!r}, kind {name.kind!r}, "
                    f"direction {name.direction!r}, quantity {name.quantity!r}"
                )
            return not_measured(str(name))
        if slope.covers(routers):
            return Figure(slope.at(routers), Standing.MEASURED)
        # A cost that falls with the size is not followed beyond the range: it would end below nothing.
        value = (
            max(slope.at(routers), slope.at(max(slope.sizes)))
            if routers > max(slope.sizes)
            else slope.at(routers)
        )
        return Figure(value, Standing.EXTRAPOLATED)


BYTES, MESSAGES, CPU, MEMORY = "bytes_per_s", "messages_per_s", "cpu_core_share", "memory_mb"

# Without these the budget of a router cannot be worked out at all; all others may be "not measured".
REQUIRED = (
    SlopeName("router", "purge_feed", "in", BYTES),
    SlopeName("router", "purge_feed", "out", BYTES),
    SlopeName("router", "all", "none", CPU),
    SlopeName("router", "all", "none", MEMORY),
)


def read_scale(path: Path) -> ScaleFile:
    """The file as typed values; UnreadableData where it is missing or of another form."""
    try:
        scale = msgspec.json.decode(path.read_bytes(), type=ScaleFile)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as wrong:
        raise UnreadableData(f"{path}: {wrong}") from None
    if scale.schema != SCHEMA:
        raise UnreadableData(f"{path}: schema {scale.schema}, this program reads {SCHEMA}")
    for slope in scale.slopes:
        wanted = 1 if slope.formula == "constant" else 2
        if slope.formula not in FORMULAS or len(slope.coefficients) != wanted or not slope.sizes:
            raise UnreadableData(f"{path}: the slope {slope.name} has no usable formula")
    return scale
