"""Both data files as one: figures of the scale run converted to the layout of the size, and of the tables."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import ceil
from pathlib import Path

from .assumptions import assumed
from .figures import Figure, Standing
from .measurements import Measurement, StateFile, read_state
from .scale_file import ScaleFile, SlopeName, read_scale
from .size import BOUNDS, SIZE

KILO, MEGA = 1e-3, 1e-6
MICRO = 1e-6
MOST_ROUTERS = 1_000_000  # beyond it nothing breaks by its slope


@dataclass(frozen=True)
class Inputs:
    """What the page is computed from."""

    scale: ScaleFile
    state: StateFile
    routers: int = SIZE.routers  # of the fleet that the figures are for

    # ---- of the program's own tables

    def measured(self, name: str) -> Measurement:
        """A measurement of state.json; MissingMeasurement names it."""
        return self.state.find(name)

    def each(self, name: str) -> Figure:
        """What one more entry takes."""
        return Figure(self.measured(name).each, Standing.MEASURED)

    def table_bytes(self, name: str, entries: Figure) -> Figure:
        """Bytes of so many entries: extrapolated beyond the largest size that was measured."""
        measurement = self.measured(name)
        standing = Standing.MEASURED if measurement.covers(entries.value) else Standing.EXTRAPOLATED
        return entries * Figure(measurement.each, standing)

    def seconds(self, name: str, entries: Figure) -> Figure:
        """Time that so many entries take, of a measurement in microseconds."""
        return self.table_bytes(name, entries) * Figure(MICRO, Standing.MEASURED)

    # ---- of the scale run

    @property
    def zones_in_run(self) -> float:
        """Zone relays of the scale run."""
        relays = self.scale.runs[-1].relays if self.scale.runs else 0
        return max(1.0, round(relays * assumed("zone_relays_in_run").value))

    @property
    def regions_in_run(self) -> float:
        """Relays of the upper tier, which follow the desk."""
        relays = self.scale.runs[-1].relays if self.scale.runs else 0
        return max(1.0, relays - self.zones_in_run)

    @property
    def keepers_in_run(self) -> float:
        """Keepers of the scale run."""
        told = self.scale.runs[-1].keepers if self.scale.runs else 0
        return told or assumed("keepers_in_run").value

    def of_fleet(self, role: str, kind: str, direction: str, quantity: str) -> Figure:
        """What grows with all routers, at the size."""
        return self.scale.figure(SlopeName(role, kind, direction, quantity), self.routers)

    def of_zone(self, role: str, kind: str, direction: str, quantity: str) -> Figure:
        """What grows with the routers of a zone: the run's size at which its zones are as large."""
        routers = self.routers / SIZE.zones * self.zones_in_run
        return self.scale.figure(SlopeName(role, kind, direction, quantity), routers)

    def of_followers(self, role: str, kind: str, direction: str, quantity: str, followers: float) -> Figure:
        """What grows with the followers of a relay: the run's size at which it has as many."""
        return self.scale.figure(SlopeName(role, kind, direction, quantity), followers * self.zones_in_run)

    def of_desk(self, kind: str, direction: str, quantity: str) -> Figure:
        """What grows with the relays that follow the desk; the run has fewer than the size."""
        figure = self.of_fleet("desk", kind, direction, quantity)
        return _beyond(figure, SIZE.machines / self.regions_in_run)

    def of_leader(self, kind: str, direction: str, quantity: str) -> Figure:
        """What grows with the keepers that follow the leader; the run has fewer than the size."""
        figure = self.of_fleet("keeper_leader", kind, direction, quantity)
        return _beyond(figure, (BOUNDS.keepers - 1) / max(1.0, self.keepers_in_run - 1))

    @property
    def followers_of_relay(self) -> int:
        """Routers of one relay, all machines there."""
        return ceil(self.routers / SIZE.machines)


def breaks_at(inputs: Inputs, value: Callable[[Inputs], Figure], most: float) -> int | None:
    """The smallest fleet whose value is over that, by bisection; None where none up to MOST_ROUTERS is."""

    def over(routers: int) -> bool:
        return value(replace(inputs, routers=routers)).value > most

    low, high = 0, MOST_ROUTERS
    if not over(high):
        return None
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if over(middle) else (middle, high)
    return high


def _beyond(figure: Figure, factor: float) -> Figure:
    """Scaled to a layout that was not run."""
    if not figure.known:
        return figure
    standing = figure.standing if factor == 1 else max(figure.standing, Standing.EXTRAPOLATED)
    return Figure(figure.value * factor, standing, figure.missing)


def read_inputs(results: Path) -> Inputs:
    """Both files of that folder."""
    return Inputs(read_scale(results / "scale.json"), read_state(results / "state.json"))
