"""Slices of sealed purges at the size: memory by the code's own geometry, false positives by arithmetic."""

import math
from functools import cache
from typing import NamedTuple

from hookrouter.purges import types as w
from hookrouter.purges.bounds import Bound
from hookrouter.purges.index import Index
from hookrouter.purges.retention.bank import ROW_BYTES
from hookrouter.purges.retention.geometry import PROBES, SEALED_LENGTHS, SLICES
from hookrouter.purges.retention.sealed import SealedNames
from hookrouter.purges.types import SEALABLE_KINDS

from .assumptions import assumed
from .figures import Figure, Standing, bound
from .size import BOUNDS, TENTHS_A_SECOND

BITS_IN_A_BYTE = 8
LIVE_SLICES = SLICES + 1  # of a hold: the oldest is dropped once its newest purge is older
LACKING_AN_HOUR = 2  # slices of an hour that a lack of one touches


class Geometry(NamedTuple):
    """One bank of filters. capacity: purges for which one of its slices is sized."""

    bytes: int
    rows: int
    capacity: int

    @property
    def most(self) -> int:
        """Purges of a hold for which all of its slices are sized."""
        return self.capacity * SLICES

    def false_positives(self, sealed: float) -> float:
        """Share of names never purged that some slice may contain, sealed purges spread over time evenly.

        Slices that are opened early are left out: a slice past its capacity counts as overfull at once.
        """
        filled = -math.expm1(-PROBES * sealed / SLICES / self.rows)
        return any_of(filled**PROBES, SLICES + 1)  # the oldest one is dropped once its newest purge is


def any_of(share: float, tries: float) -> float:
    """The share of those that are met by one of so many independent tries."""
    return -math.expm1(tries * math.log1p(-share)) if share < 1 else 1.0


@cache
def geometries(hold_s: float, most_sealed: int) -> dict[str, Geometry]:
    """By kind of purge, as the index of a router makes its slices for that hold and `sealed`."""
    hold = int(hold_s * TENTHS_A_SECOND)
    index = Index(
        w.PurgeTerms(
            lease=int(BOUNDS.lease_s * TENTHS_A_SECOND),
            hold=hold,
            grace=int(BOUNDS.grace_s * TENTHS_A_SECOND),
            skew=int(BOUNDS.skew_s * TENTHS_A_SECOND),
            fenced=w.YOUNG,
            most_names=BOUNDS.names,
            most_tagged=BOUNDS.tagged,
            most_sealed=most_sealed,
        )
    )
    tables = {w.OBJECT: index.objects, w.TAG: index.tags, w.PREFIX: index.prefixes}
    return {kind: _geometry(table.sealed) for kind, table in tables.items()}


def of_kind(kind: str, hold_s: float) -> Geometry:
    """Of one kind of purge, with the default `sealed`."""
    return geometries(hold_s, BOUNDS.most_sealed)[kind]


def probes_of_lookup(kind: str) -> Figure:
    """How many names of that kind one lookup asks the slices for, at most."""
    if kind == w.TAG:
        return assumed("tags_of_object")
    return bound(len(SEALED_LENGTHS)) if kind == w.PREFIX else bound(1)


def past(live: Figure, most: int) -> Figure:
    """Purges that are sealed: those past what stands one by one."""
    return Figure(max(0.0, live.value - most), live.standing)


def bound_share(kind: str, hold_s: float, sealed: Figure) -> Figure:
    """Share of lookups of what was never purged that a false positive of that kind binds, at most."""
    tries = probes_of_lookup(kind)
    one = of_kind(kind, hold_s).false_positives(sealed.value)
    standing = max(Standing.EXTRAPOLATED, sealed.standing, tries.standing)
    return Figure(any_of(one, tries.value), standing)


def bank_bytes(kind: str, hold_s: float, sealed: Figure) -> Figure:
    """Memory of the slices of that kind: all rows, as soon as anything is sealed."""
    return Figure(float(of_kind(kind, hold_s).bytes if sealed.value else 0), Standing.EXTRAPOLATED)


def archive_bytes(hold_s: float, slices: int) -> Figure:
    """So many slices of each kind as desk, relay and store keep them, and as they are sent: a filter each."""
    bits = sum(of_kind(kind, hold_s).rows for kind in SEALABLE_KINDS)
    return Figure(float(slices * bits / BITS_IN_A_BYTE), Standing.EXTRAPOLATED)


def _geometry(names: SealedNames) -> Geometry:
    names.seal("", Bound(1, 1))  # the bank is made with the first purge
    size = names.slices.bytes()
    return Geometry(size, size // ROW_BYTES, names.slices.capacity)
